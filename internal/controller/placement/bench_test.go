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

func (r *fakeDeps) CellEpoch() api.Epoch                        { return 1 }
func (r *fakeDeps) Cell(time.Time) (api.Epoch, bool, time.Time) { return 1, true, time.Time{} }
func (r *fakeDeps) Inc(string, api.Reason)                      {}
func (r *fakeDeps) Estimate(spec api.JobSpec) (api.Resources, time.Duration) {
	return spec.Resources, spec.RunTime
}
func (r *fakeDeps) VMsToAvoid(api.JobID) map[api.VMID]bool { return nil }
func (r *fakeDeps) VMs() []scheduler.VM                    { return r.vms }
func (r *fakeDeps) PutVM(scheduler.VM)                     {}
func (r *fakeDeps) RemoveVM(api.VMID)                      {}
func (r *fakeDeps) RemoveJob(api.JobID)                    {}
func (r *fakeDeps) Occupy(scheduler.RunningTask)           {}
func (r *fakeDeps) Vacate(api.TaskID)                      {}
func (r *fakeDeps) Release(api.TaskID)                     {}
func (r *fakeDeps) PutJob(j scheduler.Job)                 { r.pending = append(r.pending, j) }

func (r *fakeDeps) Propose(_ context.Context, e journal.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Apply(journal.Position{}, e)
}

func (r *fakeDeps) Cycle(time.Time, int) scheduler.Plan {
	var p scheduler.Plan
	for _, j := range r.pending {
		for _, index := range j.Pending {
			r.next++
			vm := r.vms[r.next%len(r.vms)].ID
			p.Starts = append(p.Starts, scheduler.Start{Task: api.TaskID{Job: j.Spec.ID, Index: index}, VM: vm, Resources: j.Estimate})
		}
	}
	r.pending = nil
	return p
}

// BenchmarkPlacement measures the placement of 100 jobs with one task each, from
// submission to the applied start, without the scheduler and the log.
func BenchmarkPlacement(b *testing.B) {
	r := &fakeDeps{}
	r.machine = cell.New(r, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(DefaultConfig(""), func() SchedulerState { return r }, r.machine, r, r, r, r, r, log, time.Now)
	var observed []cell.ObservedVM
	for i := range 1700 {
		vm := scheduler.VM{ID: api.VMID(fmt.Sprintf("worker-%05d", i)), Capacity: api.Resources{MilliCPU: 1 << 31}, Schedulable: true}
		r.vms = append(r.vms, vm)
		observed = append(observed, cell.ObservedVM{ID: vm.ID, Capacity: vm.Capacity})
	}
	_ = r.Propose(b.Context(), cell.VMUpdateEntry(1, observed, nil))
	const jobs = 100
	for i := 0; b.Loop(); i++ {
		var reports []cell.Report
		for k := range jobs {
			id := api.JobID(fmt.Sprintf("job-%d-%d", i, k))
			_ = r.Propose(b.Context(), cell.SubmitEntry(api.JobSpec{ID: id, Class: api.ClassBatch, Tasks: 1, Resources: api.Resources{MilliCPU: 1}}, 0))
			reports = append(reports, cell.Report{Task: api.TaskID{Job: id}, Attempt: 1, Status: cell.AttemptSucceeded})
		}
		var running sync.WaitGroup
		c.step(b.Context(), &running)
		running.Wait()
		if err := r.Propose(b.Context(), r.machine.ReportEntry(1, reports)); err != nil {
			b.Fatal(err)
		}
		c.step(b.Context(), &running)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/start-to-end")
}
