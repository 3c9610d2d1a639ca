package placement

import (
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// noEpoch returns epoch zero and counts nothing.
type noEpoch struct{}

func (noEpoch) CellEpoch() api.Epoch   { return 0 }
func (noEpoch) Inc(string, api.Reason) {}

func TestWaitReasonOutlivesItsCycle(t *testing.T) {
	m := cell.New(noEpoch{}, noEpoch{})
	spec := api.JobSpec{ID: "big", Tasks: 1, Resources: api.Resources{MilliCPU: 1}}
	if err := m.Apply(journal.Position{}, cell.SubmitEntry(spec, 0)); err != nil {
		t.Fatal(err)
	}
	f := &stateFeed{controller: &Controller{machine: m}, waitReasons: make(map[api.JobID]cell.WaitReason)}
	f.updateWaitReasons(scheduler.Plan{Infeasible: []scheduler.WaitingJob{{Job: "big", Reason: api.ReasonNeverFits}}})
	f.updateWaitReasons(scheduler.Plan{}) // the scheduler reports only changes
	if x, _ := m.Explain("big"); x.Wait == nil || x.Wait.Reason != api.ReasonNeverFits || !x.Wait.NeverFits {
		t.Fatalf("got wait reason %+v", x.Wait)
	}
	f.dropWaitReason("big")
	f.updateWaitReasons(scheduler.Plan{})
	if x, _ := m.Explain("big"); x.Wait != nil {
		t.Fatalf("a dropped wait reason is still shown: %+v", x.Wait)
	}
}
