package platform

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/pause"
)

// keyAboveAll sorts after every key, so that the page after it has no records.
const keyAboveAll = "\x7f"

// pageRetryDelay is the delay before a failed page is requested again. The store
// answers in 4 ms, and its outages last seconds.
const pageRetryDelay = 100 * time.Millisecond

// PageTimeout limits the time for one page. It should be as long as pages take on a
// slow link but no longer, since a call that an unavailable store does not answer
// delays the read by the whole timeout.
type PageTimeout struct {
	Initial time.Duration
	Max     time.Duration // the timeout doubles up to this; 0: it stays at Initial
}

// ReadNewest passes the newest record of every key of a keyed partition to
// handle, and returns the offset at which reads should continue: the passed records
// cover everything that was written before it. The offset is requested before the
// first page, since the records of a page may be older than the end that it states.
// Malformed records are passed with their error, sometimes more than once.
//
// A failed page is requested again until ctx ends. The pages before it are not
// read again, since a read that restarted after each failure would never finish on
// a link that is slow for its size. Each try may take the initial timeout, which
// doubles after a try that took longer. The error of each failed try is passed to
// onError unless that is nil.
func ReadNewest(ctx context.Context, log PartitionLog, p Partition, timeout PageTimeout, handle func([]Record), onError func(error)) (Offset, error) {
	pages := pageReader{log: log, partition: p, timeout: timeout.Initial, maxTimeout: timeout.Max, onError: onError}
	page, err := pages.pageAfter(ctx, keyAboveAll)
	if err != nil {
		return 0, err
	}
	end := page.End
	after := ""
	for {
		page, err = pages.pageAfter(ctx, after)
		if err != nil {
			return 0, err
		}
		handle(page.Records)
		if !page.More || len(page.Records) == 0 {
			return end, nil
		}
		last := lastKey(page.Records)
		if last <= after {
			return 0, fmt.Errorf("newest records of %s/%d: page of %d records has no key after %q", p.Topic, p.Number, len(page.Records), after)
		}
		after = last
	}
}

// pageReader requests the pages of one ReadNewest.
type pageReader struct {
	log        PartitionLog
	partition  Partition
	timeout    time.Duration // of the next try
	maxTimeout time.Duration
	onError    func(error) // may be nil
}

// pageAfter returns the page after a key. It fails only when ctx ends.
func (r *pageReader) pageAfter(ctx context.Context, key string) (NewestPage, error) {
	for {
		page, timedOut, err := r.tryPage(ctx, key)
		if err == nil {
			return page, nil
		}
		if ctx.Err() != nil {
			return NewestPage{}, err
		}
		if r.onError != nil {
			r.onError(err)
		}
		if timedOut {
			r.timeout = min(2*r.timeout, max(r.timeout, r.maxTimeout))
		}
		pause.For(ctx, pageRetryDelay)
	}
}

// tryPage requests a page once and reports whether the request timed out.
func (r *pageReader) tryPage(ctx context.Context, key string) (page NewestPage, timedOut bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	page, err = r.log.Newest(ctx, r.partition, key)
	return page, ctx.Err() != nil, err
}

// lastKey returns the key after which the next page starts. That is the last key
// that could be read; the records after it are requested again.
func lastKey(records []Record) string {
	for _, r := range slices.Backward(records) {
		if r.Key != "" {
			return r.Key
		}
	}
	return ""
}
