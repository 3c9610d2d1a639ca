package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A job whose deletion could not be read is dropped by a restore, because the store
// holds no record of it.
func TestRestoreDropsDeletedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		id := work.ID{1}
		value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
		if err != nil {
			t.Fatal(err)
		}
		f := newReader(newKeyedStore(1, time.Millisecond)) // doesn't hold the job any more
		f.Replica.apply([]platform.Record{{Offset: 0, Key: work.Key(work.KindJob, id), Value: value}}, 1, time.Now())
		f.Replica.completeRestore(1)
		if err := f.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if e, known := f.Replica.Get(id); known {
			t.Errorf("a job that the store doesn't hold is still known, in state %v; a new leader would plan it", e.State())
		}
	})
}

// A job that was written after the end of a restore is not among the records read, and
// is kept.
func TestRestoreKeepsLaterJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		id := work.ID{1}
		value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
		if err != nil {
			t.Fatal(err)
		}
		f := newReader(newKeyedStore(1, time.Millisecond)) // ends at 1
		f.Replica.apply([]platform.Record{{Offset: 1, Key: work.Key(work.KindJob, id), Value: value}}, 2, time.Now())
		f.Replica.completeRestore(2)
		if err := f.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, known := f.Replica.Get(id); !known {
			t.Error("a job written after the end of the restore was dropped")
		}
	})
}
