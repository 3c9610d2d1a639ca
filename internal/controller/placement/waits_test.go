package placement

import (
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// none holds no epoch and counts nothing.
type none struct{}

func (none) CellEpoch() api.Epoch   { return 0 }
func (none) Inc(string, api.Reason) {}

func TestWaitReasonOutlivesItsCycle(t *testing.T) {
	m := cell.New(none{}, none{})
	spec := api.JobSpec{ID: "big", Tasks: 1, Resources: api.Resources{MilliCPU: 1}}
	if err := m.Apply(journal.Position{}, cell.SubmitEntry(spec, 0)); err != nil {
		t.Fatal(err)
	}
	f := &feed{c: &Controller{machine: m}, waits: make(map[api.JobID]cell.WaitReason)}
	f.noteWaits(scheduler.Plan{Infeasible: []scheduler.WaitingJob{{Job: "big", Reason: api.ReasonNeverFits}}})
	f.noteWaits(scheduler.Plan{}) // the scheduler names only news
	if x, _ := m.Explain("big"); x.Wait == nil || x.Wait.Reason != api.ReasonNeverFits || !x.Wait.NeverFits {
		t.Fatalf("explained as %+v", x.Wait)
	}
	f.dropWait("big")
	f.noteWaits(scheduler.Plan{})
	if x, _ := m.Explain("big"); x.Wait != nil {
		t.Fatalf("a dropped note is still shown: %+v", x.Wait)
	}
}
