package learning

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/journal"
)

type fixedEpoch struct{}

func (fixedEpoch) CellEpoch() api.Epoch { return 1 }

// The VMs to avoid for a job are forgotten when the job ends. A late report of one of
// its attempts does not add them again.
func TestAvoidedVMsAreDroppedWithJob(t *testing.T) {
	m := cell.New(fixedEpoch{}, counter.NewSet())
	policy := func() api.PolicySpec { return api.PolicySpec{} }
	c := New(policy, m, nil, nil, counter.NewSet(), time.Now)
	task := api.TaskID{Job: "j"}
	apply := func(e journal.Entry) {
		t.Helper()
		if err := m.Apply(journal.Position{}, e); err != nil {
			t.Fatal(err)
		}
	}
	apply(cell.SubmitEntry(api.JobSpec{ID: "j", Tasks: 1, Resources: api.Resources{MilliCPU: 1}}, 0))
	c.ObserveEnd("v", task, cell.AttemptFailed)
	if !c.VMsToAvoid("j")["v"] {
		t.Fatal("a VM on which a task of the job failed is not avoided")
	}
	apply(cell.CancelEntry([]api.JobID{"j"}, 0))
	c.ObserveEnd("v", task, cell.AttemptFailed)
	if len(c.avoidedVMs) != 0 {
		t.Fatalf("VMs to avoid were kept after the job ended: %v", c.avoidedVMs)
	}
}
