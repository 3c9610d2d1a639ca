package replica

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against an ended job that is unknown on one machine for good: a delivery ended between the job's outcome and the
// deletions that belong to it, and these were read from the store.
func TestDeletionsAfterDeliveredOutcomeKeepJob(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id := work.ID{1}
	deletion := func(at platform.Offset, kind work.Kind) platform.Record {
		return platform.Record{Offset: at, Key: work.Key(kind, id)}
	}
	r := New(time.Minute, logging.Nop())
	r.completeRestore(0)
	r.DropContent()
	r.ApplySummaries(Span{From: 0, To: 3}, []work.Summary{{ID: id, Queue: "q", State: work.Completed}}, now)
	r.apply([]platform.Record{deletion(3, work.KindJob), deletion(4, work.KindProgress), deletion(5, work.KindCancellation)}, 6, now)
	if e, known := r.Get(id); !known || e.State() != work.Completed {
		t.Fatalf("the job is known: %v, in state %v", known, e.State())
	}
	r.apply([]platform.Record{
		deletion(6, work.KindJob), deletion(7, work.KindProgress), deletion(8, work.KindCancellation), deletion(9, work.KindOutcome),
	}, 10, now)
	if _, known := r.Get(id); known {
		t.Error("the job is known after all its keys were deleted")
	}
}
