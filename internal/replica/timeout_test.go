package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// pagedLog has many reads' worth of records behind a slow link.
type pagedLog struct {
	platform.PartitionLog
	batches platform.Offset
	takes   time.Duration
	reads   int
}

func (l *pagedLog) Read(ctx context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	l.reads++
	select {
	case <-time.After(l.takes):
	case <-ctx.Done():
		return platform.RecordBatch{}, ctx.Err()
	}
	if from >= l.batches {
		return platform.RecordBatch{Next: from, End: l.batches}, nil
	}
	r := platform.Record{Offset: from, Key: work.Key(work.KindCancellation, work.ID{byte(from)}), Value: work.CancellationValue}
	return platform.RecordBatch{Records: []platform.Record{r}, Next: from + 1, End: l.batches}, nil
}

// Reads that take longer than the least timeout fail once, not every other
// time: each that fails has taken up the link for nothing.
func TestTimeoutOfReadsStaysWhileReadsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pagedLog{batches: 20, takes: 1300 * time.Millisecond}
		f := &Reader{Replica: New(time.Minute, logging.Silent()), Log: l, Timing: DefaultTiming(), Leads: func() bool { return false }}
		f.Replica.restored(0)
		for f.Replica.Position() < l.batches {
			_ = f.read(t.Context(), 0)
		}
		if l.reads > int(l.batches)+2 {
			t.Errorf("%d reads for %d batches", l.reads, l.batches)
		}
	})
}
