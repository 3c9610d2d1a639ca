package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A job whose records were deleted while its deletion could not be read is
// unknown after the newest records were read anew: it isn't there.
func TestNewestRecordsReadAnewDropWhatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		id := work.ID{1}
		value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
		if err != nil {
			t.Fatal(err)
		}
		f := newReader(newKeyedStore(1, time.Millisecond)) // it doesn't hold the job any more
		f.Replica.apply([]platform.Record{{Offset: 0, Key: work.Key(work.KindJob, id), Value: value}}, 1, time.Now())
		f.Replica.restored(1)
		if err := f.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if e, known := f.Replica.Get(id); known {
			t.Errorf("a job that the store doesn't hold is known as %v, and would be planned by a new leader", e.State())
		}
	})
}

// A job that was written after the place up to which the newest records tell all
// is not among them, and stays.
func TestNewestRecordsReadAnewKeepWhatCameLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		id := work.ID{1}
		value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
		if err != nil {
			t.Fatal(err)
		}
		f := newReader(newKeyedStore(1, time.Millisecond)) // ends at 1
		f.Replica.apply([]platform.Record{{Offset: 1, Key: work.Key(work.KindJob, id), Value: value}}, 2, time.Now())
		f.Replica.restored(2)
		if err := f.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, known := f.Replica.Get(id); !known {
			t.Error("a job from after that place was dropped")
		}
	})
}
