package platform

import (
	"context"
	"time"
)

// beyondKeys is above every key, so that a page after it holds no records.
const beyondKeys = "\x7f"

// ReadNewest passes the newest record of every key of a keyed partition to
// each, and returns from where to read on: what was written before that offset
// has been passed. The offset is asked for before the first record, since a
// page's records may be older than the end that it names. Each call may take
// up to timeout.
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
		after = page.Records[len(page.Records)-1].Key
	}
}

func newestPage(ctx context.Context, log PartitionLog, p Partition, after string, timeout time.Duration) (NewestPage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return log.Newest(ctx, p, after)
}
