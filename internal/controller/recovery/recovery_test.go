package recovery_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller/recovery"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// testSite is a cell that applies proposals immediately. The answers to some proposals
// are lost after they were applied.
type testSite struct {
	*cell.StateMachine
	offset        uint32
	answersToLose int // number of the next answers that are lost
}

func newTestSite() *testSite {
	s := &testSite{}
	s.StateMachine = cell.New(s, nil)
	return s
}

var errAnswerLost = errors.New("answer lost")

func (s *testSite) CellEpoch() api.Epoch                        { return 1 }
func (s *testSite) Cell(time.Time) (api.Epoch, bool, time.Time) { return 1, true, time.Time{} }
func (s *testSite) Propose(_ context.Context, e journal.Entry) error {
	s.offset++
	err := s.Apply(journal.Position{Index: s.offset}, e)
	if s.answersToLose > 0 {
		s.answersToLose--
		return errAnswerLost
	}
	return err
}

// Jobs of a lost data centre arrive in another one by priority, class and age, and only
// once, even if answers are lost on the way.
func TestEvacuationIsOrderedAndIdempotent(t *testing.T) {
	lost, target := newTestSite(), newTestSite()
	propose := func(e journal.Entry) {
		t.Helper()
		if err := lost.Propose(t.Context(), e); err != nil {
			t.Fatal(err)
		}
	}
	oneCore := api.Resources{MilliCPU: 1000}
	propose(cell.VMUpdateEntry(1, []cell.ObservedVM{{ID: "a", Capacity: oneCore.Mul(9)}}, nil))
	submit := func(id api.JobID, class api.Class, priority int, allowed ...api.DataCentre) {
		propose(cell.SubmitEntry(api.JobSpec{ID: id, Class: class, Priority: priority, Tasks: 3, Resources: oneCore, DataCentres: allowed}, 0))
	}
	submit("old-batch", api.ClassBatch, 100)
	submit("stays", api.ClassBatch, 900, "cas1")
	submit("service", api.ClassService, 100)
	submit("urgent", api.ClassBatch, 900)
	submit("held", api.ClassBatch, 900)
	for _, id := range []api.JobID{"old-batch", "held"} {
		e, _ := lost.StartEntry(1, []cell.Start{{Task: api.TaskID{Job: id, Index: 1}, Attempt: 1, VM: "a", Resources: oneCore}})
		propose(e)
	}
	propose(lost.ReportEntry(1, []cell.Report{{Task: api.TaskID{Job: "old-batch", Index: 1}, Attempt: 1, Status: cell.AttemptSucceeded}}))

	log := logrus.New()
	log.SetOutput(io.Discard)
	from := recovery.Cell{DataCentre: "cas1", Machine: lost.StateMachine, Proposer: lost, Authority: lost}
	to := recovery.Cell{DataCentre: "cas2", Machine: target.StateMachine, Proposer: target}
	lost.answersToLose, target.answersToLose = 1, 2
	failures := 0
	for range 10 {
		if _, err := recovery.Evacuate(t.Context(), from, to, time.Unix(0, 0), log); err != nil {
			failures++
		}
	}
	if failures < 3 || len(lost.UnconfirmedMoves()) != 0 {
		t.Errorf("got %d failed evacuations, want at least 3; unconfirmed moves %v", failures, lost.UnconfirmedMoves())
	}
	if got, want := target.Jobs(), []api.JobID{"urgent", "service", "old-batch"}; !slices.Equal(got, want) {
		t.Errorf("got jobs %v, want %v", got, want)
	}
	if got := target.Pending("old-batch"); !slices.Equal(got, []uint32{0, 2}) {
		t.Errorf("got pending tasks %v, want [0 2]; task 1 has ended", got)
	}
	if job, _ := lost.Job("held"); job.Ended {
		t.Error("a job was moved while its task may be running")
	}
}
