package replica

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against a job that is lost on one machine when the leader replaces its records by
// an outcome during that machine's restore. As far as known, the restore had already read
// the keys of outcomes, which come first, so it found the job under no key. The leader
// delivered no update, because the job's state was unchanged. Then the machine was no
// standby any more and did not read the records since the beginning of its restore.
func TestJobReplacedByOutcomeDuringRestoreStaysKnown(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id := work.ID{1}
	leader, machine := New(time.Minute, logging.Nop()), New(time.Minute, logging.Nop())
	leader.completeRestore(0)
	machine.completeRestore(0)
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

	before := machine.beginRestore() // the partition ends at 2; the first page has no outcome
	leader.apply([]platform.Record{
		{Offset: 2, Key: work.Key(work.KindOutcome, id), Value: outcome},
		{Offset: 3, Key: work.Key(work.KindJob, id)},
		{Offset: 4, Key: work.Key(work.KindProgress, id)},
	}, 5, now)
	machine.DropContent() // the other pages have neither submission nor progress
	machine.completeRestore(2)
	machine.completeContent(2, before)

	if e, known := machine.Get(id); !known || e.State() != work.Completed {
		t.Errorf("job is known: %v, in state %v; want it known as completed", known, e.State())
	}
}
