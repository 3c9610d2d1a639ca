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

// fakeDeps provides all dependencies of a controller at almost no cost.
type fakeDeps struct {
	machine *cell.StateMachine
	report  platform.WorkerReport
}

func (d *fakeDeps) CellEpoch() api.Epoch                                        { return 1 }
func (d *fakeDeps) Cell(time.Time) (api.Epoch, bool, time.Time)                 { return 1, true, time.Time{} }
func (d *fakeDeps) Inc(string, api.Reason)                                      {}
func (d *fakeDeps) VMs() []api.VM                                               { return []api.VM{{ID: "a", Address: "x"}} }
func (d *fakeDeps) ObserveReport(api.VMID, platform.TaskReport)                 {}
func (d *fakeDeps) ObserveEnd(api.VMID, api.TaskID, uint32, cell.AttemptStatus) {}
func (d *fakeDeps) TakeThrottles(api.VMID) []platform.TaskStop                  { return nil }

func (d *fakeDeps) Propose(_ context.Context, e journal.Entry) error {
	return d.machine.Apply(journal.Position{}, e)
}

func (d *fakeDeps) Sync(context.Context, api.VM, platform.WorkerSync) (platform.WorkerReport, error) {
	d.report.Clock++
	return d.report, nil
}

// BenchmarkExchange measures what one exchange with a VM that runs 25 tasks costs the
// holder of the cell, without the network.
func BenchmarkExchange(b *testing.B) {
	d := &fakeDeps{report: platform.WorkerReport{VM: "a", Incarnation: 1}}
	d.machine = cell.New(d, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(DefaultConfig(lease.Params{Lease: 6 * time.Second}), d.machine, d, d, d, d, d, d, log, time.Now)
	oneCore := api.Resources{MilliCPU: 1000}
	_ = d.Propose(b.Context(), cell.VMUpdateEntry(1, []cell.ObservedVM{{ID: "a", Capacity: oneCore.Mul(25)}}, nil))
	var starts []cell.Start
	var running []cell.Report
	for i := range 25 {
		task := api.TaskID{Job: api.JobID(fmt.Sprintf("team-01/job-%06d", i))}
		_ = d.Propose(b.Context(), cell.SubmitEntry(api.JobSpec{ID: task.Job, Tasks: 1, Resources: oneCore}, 0))
		starts = append(starts, cell.Start{Task: task, Attempt: 1, VM: "a", Resources: oneCore})
		running = append(running, cell.Report{Task: task, Attempt: 1, Status: cell.AttemptRunning})
		d.report.Tasks = append(d.report.Tasks, platform.TaskReport{Task: task, Attempt: 1, State: platform.RunRunning})
	}
	e, _ := d.machine.StartEntry(1, starts)
	_ = d.Propose(b.Context(), e)
	_ = d.Propose(b.Context(), d.machine.ReportEntry(1, running))
	c.startTenure(tenure{epoch: 1})
	v := c.vms["a"]
	v.setAddress(api.VM{ID: "a", Address: "x"})
	for b.Loop() {
		c.exchange(b.Context(), v, time.Second)
	}
	if n := len(d.machine.TasksOnVM("a")); n != 25 || v.failures > 0 {
		b.Fatal(n, v.failures)
	}
}
