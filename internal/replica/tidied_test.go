package replica

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A job was accepted and, at one machine, unknown at the end of the day. Order of
// events, as far as it is known: the machine read the newest record of each key, as a
// new standby; it had read those of outcomes, which come first, when the leader left
// only the outcome of a job that had ended; so the job was on no page; what the
// leader told of it since was nothing, as its state was the same. Then the machine
// was no standby any more, and didn't read on from where its reading had begun.
func TestJobThatIsClearedUpDuringAReadingStaysKnown(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id := work.ID{1}
	leader, machine := New(time.Minute, logging.Silent()), New(time.Minute, logging.Silent())
	leader.restored(0)
	machine.restored(0)
	leader.SetPublisher(func(a AppliedBatch) {
		var jobs []work.Summary
		for _, n := range a.Updates {
			jobs = append(jobs, n.Summary)
		}
		first := a.Records[0].Offset
		machine.ApplySummaries(Span{From: first, To: first + platform.Offset(len(a.Records))}, jobs, now)
	})
	job, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	progress, err := work.EncodeProgress(&work.Progress{State: work.Completed})
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := work.EncodeOutcome(&work.Outcome{State: work.Completed, Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	leader.apply([]platform.Record{
		{Offset: 0, Key: work.Key(work.KindJob, id), Value: job},
		{Offset: 1, Key: work.Key(work.KindProgress, id), Value: progress},
	}, 2, now)
	machine.DropContent()
	machine.KeepContent()

	began := machine.restoring() // the partition ends at 2; no outcome is on the first page
	leader.apply([]platform.Record{
		{Offset: 2, Key: work.Key(work.KindOutcome, id), Value: outcome},
		{Offset: 3, Key: work.Key(work.KindJob, id)},
		{Offset: 4, Key: work.Key(work.KindProgress, id)},
	}, 5, now)
	machine.DropContent() // no submission and no progress is on the others
	machine.restored(2)
	machine.gathered(2, began)

	if e, known := machine.Get(id); !known || e.State() != work.Completed {
		t.Errorf("known %v, as %v", known, e.State())
	}
}
