package worker

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// rig surrounds a controller with parts that cost next to nothing.
type rig struct {
	machine *cell.StateMachine
	report  platform.WorkerReport
}

func (r *rig) CellEpoch() api.Epoch                                { return 1 }
func (r *rig) Cell(time.Time) (api.Epoch, bool, time.Time)         { return 1, true, time.Time{} }
func (r *rig) Inc(string, api.Reason)                              {}
func (r *rig) VMs() []api.VM                                       { return []api.VM{{ID: "a", Address: "x"}} }
func (r *rig) ObserveReport(api.VMID, platform.TaskReport)         {}
func (r *rig) ObserveEnd(api.VMID, api.TaskID, cell.AttemptStatus) {}
func (r *rig) TakeThrottles(api.VMID) []platform.TaskStop          { return nil }

func (r *rig) Propose(_ context.Context, e journal.Entry) error {
	return r.machine.Apply(journal.Position{}, e)
}

func (r *rig) Sync(context.Context, api.VM, platform.WorkerSync) (platform.WorkerReport, error) {
	r.report.Clock++
	return r.report, nil
}

// BenchmarkExchange is the holder's work for one VM with 25 running tasks,
// without the way over the network.
func BenchmarkExchange(b *testing.B) {
	r := &rig{report: platform.WorkerReport{VM: "a", Incarnation: 1}}
	r.machine = cell.New(r, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(DefaultConfig(lease.Params{Lease: 6 * time.Second}), r.machine, r, r, r, r, r, r, log, time.Now)
	one := api.Resources{MilliCPU: 1000}
	_ = r.Propose(b.Context(), cell.VMUpdateEntry(1, []cell.ObservedVM{{ID: "a", Capacity: one.Mul(25)}}, nil))
	var starts []cell.Start
	var running []cell.Report
	for i := range 25 {
		task := api.TaskID{Job: api.JobID(fmt.Sprintf("team-01/job-%06d", i))}
		_ = r.Propose(b.Context(), cell.SubmitEntry(api.JobSpec{ID: task.Job, Tasks: 1, Resources: one}, 0))
		starts = append(starts, cell.Start{Task: task, Attempt: 1, VM: "a", Resources: one})
		running = append(running, cell.Report{Task: task, Attempt: 1, Status: cell.AttemptRunning})
		r.report.Tasks = append(r.report.Tasks, platform.TaskReport{Task: task, Attempt: 1, State: platform.RunRunning})
	}
	e, _ := r.machine.StartEntry(1, starts)
	_ = r.Propose(b.Context(), e)
	_ = r.Propose(b.Context(), r.machine.ReportEntry(1, running))
	c.enter(tenure{epoch: 1})
	v := c.vms["a"]
	v.setAddress(api.VM{ID: "a", Address: "x"})
	for b.Loop() {
		c.exchange(b.Context(), v, time.Second)
	}
	if n := len(r.machine.TasksOnVM("a")); n != 25 || v.failures > 0 {
		b.Fatal(n, v.failures)
	}
}
