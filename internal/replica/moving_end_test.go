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

// movingLog is a log whose end moves as fast as its reader reads.
type movingLog struct{ platform.PartitionLog }

func (movingLog) Read(ctx context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	select {
	case <-time.After(400 * time.Millisecond):
	case <-ctx.Done():
		return platform.RecordBatch{}, ctx.Err()
	}
	r := platform.Record{Offset: from, Key: work.Key(work.KindCancellation, work.ID{byte(from)}), Value: work.CancellationValue}
	return platform.RecordBatch{Records: []platform.Record{r}, Next: from + 1, End: from + 3}, nil
}

// Sync waits for the records that the store held when it was called, not for those
// written while it waits, because a machine with a slow link may never reach the latter.
func TestSyncEndsWherePartitionEndedAtCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Reader{Replica: New(time.Minute, logging.Nop()), Log: movingLog{}, Timing: DefaultTiming()}
		f.Replica.completeRestore(0)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if err := f.Sync(ctx); err != nil {
			t.Errorf("Sync failed although reading the 3 records held at the call takes 1.2 s: %v; read up to %d", err, f.Replica.Position())
		}
		time.Sleep(2 * catchUpTimeout) // lets the read end
	})
}
