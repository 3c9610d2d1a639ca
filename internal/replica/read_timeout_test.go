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

// batchLog is a log behind a slow link that returns one record for each read.
type batchLog struct {
	platform.PartitionLog
	batches platform.Offset
	takes   time.Duration // for each read
	reads   int
}

func (l *batchLog) Read(ctx context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
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

// While reads take longer than the minimum timeout, only the first one fails and not every
// other one: each failed read has used the link in vain.
func TestReadTimeoutStaysWhileReadsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &batchLog{batches: 20, takes: 1300 * time.Millisecond}
		f := &Reader{Replica: New(time.Minute, logging.Nop()), Log: l, Timing: DefaultTiming(), Leads: func() bool { return false }}
		f.Replica.completeRestore(0)
		for f.Replica.Position() < l.batches {
			_ = f.read(t.Context(), 0)
		}
		if l.reads > int(l.batches)+2 {
			t.Errorf("%d reads for %d batches", l.reads, l.batches)
		}
	})
}
