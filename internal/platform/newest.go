package platform

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// beyondKeys is above every key, so that a page after it holds no records.
const beyondKeys = "\x7f"

// ReadNewest passes the newest record of every key of a keyed partition to
// each, and returns from where to read on: what was written before that offset
// has been passed. The offset is asked for before the first record, since a
// page's records may be older than the end that it names. Malformed records are
// passed as such, at times more than once. Each call may take up to timeout.
func ReadNewest(ctx context.Context, log PartitionLog, p Partition, timeout time.Duration, each func([]Record)) (Offset, error) {
	page, err := newestPage(ctx, log, p, beyondKeys, timeout)
	if err != nil {
		return 0, err
	}
	end := page.End
	after := ""
	for {
		page, err = newestPage(ctx, log, p, after, timeout)
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

func newestPage(ctx context.Context, log PartitionLog, p Partition, after string, timeout time.Duration) (NewestPage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return log.Newest(ctx, p, after)
}
