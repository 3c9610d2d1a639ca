package learning

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/estimate"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
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
	c.ObserveEnd("v", task, 1, cell.AttemptFailed)
	if !c.VMsToAvoid("j")["v"] {
		t.Fatal("a VM on which a task of the job failed is not avoided")
	}
	apply(cell.CancelEntry([]api.JobID{"j"}, 0))
	c.ObserveEnd("v", task, 1, cell.AttemptFailed)
	if len(c.avoidedVMs) != 0 {
		t.Fatalf("VMs to avoid were kept after the job ended: %v", c.avoidedVMs)
	}
}

// A late end of an attempt doesn't end the measurement of the task's next one.
func TestRunTimeIsMeasuredByAttempt(t *testing.T) {
	m := cell.New(fixedEpoch{}, counter.NewSet())
	now := time.Unix(1000, 0)
	c := New(func() api.PolicySpec { return api.PolicySpec{} }, m, nil, nil, counter.NewSet(), func() time.Time { return now })
	const runTime = 10 * time.Second
	spec := api.JobSpec{ID: "j", Tasks: estimate.DefaultMinRuns, Resources: api.Resources{MilliCPU: 1}, RunTime: runTime}
	if err := m.Apply(journal.Position{}, cell.SubmitEntry(spec, 0)); err != nil {
		t.Fatal(err)
	}
	for i := range spec.Tasks {
		task := api.TaskID{Job: "j", Index: i}
		report := func(attempt uint32, runFor time.Duration) {
			c.ObserveReport("v", platform.TaskReport{Task: task, Attempt: attempt, State: platform.RunRunning, RunFor: runFor})
		}
		report(1, time.Hour)
		report(2, 0)
		now = now.Add(runTime)
		c.ObserveEnd("v", task, 1, cell.AttemptLost)
		c.ObserveEnd("v", task, 2, cell.AttemptSucceeded)
	}
	if _, got := c.Estimate(spec); got > 2*runTime {
		t.Fatalf("estimated run time %v after runs of %v", got, runTime)
	}
}
