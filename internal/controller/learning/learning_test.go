package learning

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/journal"
)

type epoch struct{}

func (epoch) CellEpoch() api.Epoch { return 1 }

// What is held against VMs for a job is forgotten with the job; a late word on
// one of its attempts brings nothing back.
func TestAvoidedVMsAreDroppedWithJob(t *testing.T) {
	m := cell.New(epoch{}, counter.NewSet())
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
	if len(c.avoid) != 0 {
		t.Fatalf("kept after the job ended: %v", c.avoid)
	}
}
