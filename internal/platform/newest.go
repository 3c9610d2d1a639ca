package platform

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/pause"
)

// beyondKeys is above every key, so that a page after it holds no records.
const beyondKeys = "\x7f"

// pageRetry is the pause before a page is asked for again. The store answers in
// 4 ms; its outages last seconds.
const pageRetry = 100 * time.Millisecond

// PageTimeout is how long a page may take: as long as pages take on a slow link,
// and no longer, since a call that a silent store leaves unanswered is lost for all
// of it.
type PageTimeout struct {
	Initial time.Duration
	Max     time.Duration // up to which it doubles; 0: not at all
}

// ReadNewest passes the newest record of every key of a keyed partition to
// each, and returns from where to read on: what was written before that offset
// has been passed. The offset is asked for before the first record, since a
// page's records may be older than the end that it names. Malformed records are
// passed as such, at times more than once.
//
// A page that fails is asked for again until ctx ends, and the pages before it
// are kept: a reading that began anew whenever a page fails would not end on a
// link that is slow for its size. Each try may take up to the least timeout, which
// doubles after a try that took longer. The error of each is passed to failed, unless that
// is nil.
func ReadNewest(ctx context.Context, log PartitionLog, p Partition, timeout PageTimeout, each func([]Record), failed func(error)) (Offset, error) {
	pages := newestPages{log: log, partition: p, timeout: timeout.Initial, most: timeout.Max, failed: failed}
	page, err := pages.after(ctx, beyondKeys)
	if err != nil {
		return 0, err
	}
	end := page.End
	after := ""
	for {
		page, err = pages.after(ctx, after)
		if err != nil {
			return 0, err
		}
		each(page.Records)
		if !page.More || len(page.Records) == 0 {
			return end, nil
		}
		last := lastKey(page.Records)
		if last <= after {
			return 0, fmt.Errorf("newest records of %s/%d: page of %d records names no key after %q", p.Topic, p.Number, len(page.Records), after)
		}
		after = last
	}
}

// newestPages asks for the pages of one reading.
type newestPages struct {
	log       PartitionLog
	partition Partition
	timeout   time.Duration // of the next try
	most      time.Duration
	failed    func(error) // may be nil
}

// after returns the page that follows a key. It fails only when ctx ends.
func (n *newestPages) after(ctx context.Context, key string) (NewestPage, error) {
	for {
		page, late, err := n.try(ctx, key)
		if err == nil {
			return page, nil
		}
		if ctx.Err() != nil {
			return NewestPage{}, err
		}
		if n.failed != nil {
			n.failed(err)
		}
		if late {
			n.timeout = min(2*n.timeout, max(n.timeout, n.most))
		}
		pause.For(ctx, pageRetry)
	}
}

// try asks once and reports whether the answer came too late.
func (n *newestPages) try(ctx context.Context, key string) (page NewestPage, late bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	page, err = n.log.Newest(ctx, n.partition, key)
	return page, ctx.Err() != nil, err
}

// lastKey returns the key after which the next page begins: the last one that
// could be read. Records after it come once more.
func lastKey(records []Record) string {
	for _, r := range slices.Backward(records) {
		if r.Key != "" {
			return r.Key
		}
	}
	return ""
}
