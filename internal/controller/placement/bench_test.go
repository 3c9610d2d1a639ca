package placement

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// fakeDeps provides all dependencies of a controller at almost no cost.
type fakeDeps struct {
	mu      sync.Mutex
	machine *cell.StateMachine
	vms     []scheduler.VM
	next    int
	pending []scheduler.Job
}

func (d *fakeDeps) CellEpoch() api.Epoch                        { return 1 }
func (d *fakeDeps) Cell(time.Time) (api.Epoch, bool, time.Time) { return 1, true, time.Time{} }
func (d *fakeDeps) Inc(string, api.Reason)                      {}
func (d *fakeDeps) Estimate(spec api.JobSpec) (api.Resources, time.Duration) {
	return spec.Resources, spec.RunTime
}
func (d *fakeDeps) VMsToAvoid(api.JobID) map[api.VMID]bool { return nil }
func (d *fakeDeps) VMs() []scheduler.VM                    { return d.vms }
func (d *fakeDeps) PutVM(scheduler.VM)                     {}
func (d *fakeDeps) RemoveVM(api.VMID)                      {}
func (d *fakeDeps) RemoveJob(api.JobID)                    {}
func (d *fakeDeps) Occupy(scheduler.RunningTask)           {}
func (d *fakeDeps) Vacate(api.TaskID)                      {}
func (d *fakeDeps) Release(api.TaskID)                     {}
func (d *fakeDeps) PutJob(j scheduler.Job)                 { d.pending = append(d.pending, j) }

func (d *fakeDeps) Propose(_ context.Context, e journal.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Apply(journal.Position{}, e)
}

func (d *fakeDeps) Cycle(time.Time, int) scheduler.Plan {
	var p scheduler.Plan
	for _, j := range d.pending {
		for _, index := range j.Pending {
			d.next++
			vm := d.vms[d.next%len(d.vms)].ID
			p.Starts = append(p.Starts, scheduler.Start{Task: api.TaskID{Job: j.Spec.ID, Index: index}, VM: vm, Resources: j.Estimate})
		}
	}
	d.pending = nil
	return p
}

// BenchmarkPlacement measures the placement of 100 jobs with one task each, from
// submission to the applied start, without the scheduler and the log.
func BenchmarkPlacement(b *testing.B) {
	d := &fakeDeps{}
	d.machine = cell.New(d, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(DefaultConfig(""), func() SchedulerState { return d }, d.machine, d, d, d, d, d, log, time.Now)
	var observed []cell.ObservedVM
	for i := range 1700 {
		vm := scheduler.VM{ID: api.VMID(fmt.Sprintf("worker-%05d", i)), Capacity: api.Resources{MilliCPU: 1 << 31}, Schedulable: true}
		d.vms = append(d.vms, vm)
		observed = append(observed, cell.ObservedVM{ID: vm.ID, Capacity: vm.Capacity})
	}
	_ = d.Propose(b.Context(), cell.VMUpdateEntry(1, observed, nil))
	const jobs = 100
	for i := 0; b.Loop(); i++ {
		var reports []cell.Report
		for k := range jobs {
			id := api.JobID(fmt.Sprintf("job-%d-%d", i, k))
			_ = d.Propose(b.Context(), cell.SubmitEntry(api.JobSpec{ID: id, Class: api.ClassBatch, Tasks: 1, Resources: api.Resources{MilliCPU: 1}}, 0))
			reports = append(reports, cell.Report{Task: api.TaskID{Job: id}, Attempt: 1, Status: cell.AttemptSucceeded})
		}
		var running sync.WaitGroup
		c.step(b.Context(), &running)
		running.Wait()
		if err := d.Propose(b.Context(), d.machine.ReportEntry(1, reports)); err != nil {
			b.Fatal(err)
		}
		c.step(b.Context(), &running)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/start-to-end")
}
