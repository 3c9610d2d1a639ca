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

// site is a cell whose proposals are applied at once, but for those whose
// answer is lost after that.
type site struct {
	*cell.StateMachine
	offset uint32
	lose   int // answers lost from now on
}

func newSite() *site {
	s := &site{}
	s.StateMachine = cell.New(s, nil)
	return s
}

var errLost = errors.New("answer lost")

func (s *site) CellEpoch() api.Epoch                        { return 1 }
func (s *site) Cell(time.Time) (api.Epoch, bool, time.Time) { return 1, true, time.Time{} }
func (s *site) Propose(_ context.Context, e journal.Entry) error {
	s.offset++
	err := s.Apply(journal.Position{Index: s.offset}, e)
	if s.lose > 0 {
		s.lose--
		return errLost
	}
	return err
}

// What ran in a lost data centre arrives in another by priority, class and
// age, once, whatever answers are lost on the way.
func TestEvacuationIsOrderedAndIdempotent(t *testing.T) {
	lost, target := newSite(), newSite()
	must := func(e journal.Entry) {
		t.Helper()
		if err := lost.Propose(t.Context(), e); err != nil {
			t.Fatal(err)
		}
	}
	one := api.Resources{MilliCPU: 1000}
	must(cell.VMUpdateEntry(1, []cell.ObservedVM{{ID: "a", Capacity: one.Mul(9)}}, nil))
	submit := func(id api.JobID, class api.Class, priority int, only ...api.DataCentre) {
		must(cell.SubmitEntry(api.JobSpec{ID: id, Class: class, Priority: priority, Tasks: 3, Resources: one, DataCentres: only}, 0))
	}
	submit("old-batch", api.ClassBatch, 100)
	submit("stays", api.ClassBatch, 900, "cas1")
	submit("service", api.ClassService, 100)
	submit("urgent", api.ClassBatch, 900)
	submit("held", api.ClassBatch, 900)
	for _, id := range []api.JobID{"old-batch", "held"} {
		e, _ := lost.StartEntry(1, []cell.Start{{Task: api.TaskID{Job: id, Index: 1}, Attempt: 1, VM: "a", Resources: one}})
		must(e)
	}
	must(lost.ReportEntry(1, []cell.Report{{Task: api.TaskID{Job: "old-batch", Index: 1}, Attempt: 1, Status: cell.AttemptSucceeded}}))

	log := logrus.New()
	log.SetOutput(io.Discard)
	from := recovery.Cell{DataCentre: "cas1", Machine: lost.StateMachine, Proposer: lost, Authority: lost}
	to := recovery.Cell{DataCentre: "cas2", Machine: target.StateMachine, Proposer: target}
	lost.lose, target.lose = 1, 2
	failures := 0
	for range 10 {
		if _, err := recovery.Evacuate(t.Context(), from, to, time.Unix(0, 0), log); err != nil {
			failures++
		}
	}
	if failures < 3 || len(lost.UnconfirmedMoves()) != 0 {
		t.Errorf("%d failures, left %v", failures, lost.UnconfirmedMoves())
	}
	if got, want := target.Jobs(), []api.JobID{"urgent", "service", "old-batch"}; !slices.Equal(got, want) {
		t.Errorf("arrived %v, want %v", got, want)
	}
	if got := target.Pending("old-batch"); !slices.Equal(got, []uint32{0, 2}) {
		t.Errorf("a task that ended is placed again: %v", got)
	}
	if job, _ := lost.Job("held"); job.Ended {
		t.Error("moved while it may be running")
	}
}
