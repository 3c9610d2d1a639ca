package capacity

import (
	"fmt"
	"runtime"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
)

const (
	tasksPerJob    = 50
	startsPerEntry = 25
	teamCount      = 92
)

// taskResources are the resources that each task requests.
var taskResources = api.Resources{MilliCPU: 1000, MemoryMB: 2000}

// fixedEpoch is the epoch source of a cell that has had only one holder.
type fixedEpoch struct{}

// CellEpoch implements cell.EpochSource.
func (fixedEpoch) CellEpoch() api.Epoch { return 1 }

// cellState is the state machine of a cell with counts of the VMs and jobs in it.
type cellState struct {
	machine   *cell.StateMachine
	lastIndex uint32 // index of the last entry
	vmCount   int
	jobCount  int
}

func newCellState(vms int) (*cellState, error) {
	s := &cellState{machine: cell.New(fixedEpoch{}, nil), vmCount: vms}
	return s, s.apply(vmsEntry(vms))
}

// apply applies an entry to the state machine.
func (s *cellState) apply(e journal.Entry) error {
	s.lastIndex++
	return s.machine.Apply(journal.Position{Index: s.lastIndex}, e)
}

func vmName(i int) api.VMID { return api.VMID(fmt.Sprintf("worker-%05d", i)) }

// vmsEntry returns the entry that adds VMs with capacity for any number of tasks.
func vmsEntry(vms int) journal.Entry {
	seen := make([]cell.ObservedVM, vms)
	for i := range seen {
		seen[i] = cell.ObservedVM{ID: vmName(i), Rack: fmt.Sprint("r", i/8), Capacity: taskResources.Mul(1 << 20)}
	}
	return cell.VMUpdateEntry(1, seen, nil)
}

// jobSpec returns the spec of the job with this number. Jobs are distributed evenly
// over the teams.
func jobSpec(number int, tasks uint32) api.JobSpec {
	return api.JobSpec{
		ID: api.JobID(fmt.Sprintf("team-%02d/job-%06d", number%teamCount, number)), Team: fmt.Sprintf("team-%02d", number%teamCount),
		Class: api.ClassBatch, Priority: api.PriorityDefault, Tasks: tasks, Resources: taskResources, Payload: "appraise",
	}
}

// submitJob adds a job and returns the starts of its tasks.
func (s *cellState) submitJob(tasks uint32) ([]cell.Start, error) {
	spec := jobSpec(s.jobCount, tasks)
	starts := newStarts(spec, s.jobCount*int(tasks), s.vmCount)
	s.jobCount++
	return starts, s.apply(cell.SubmitEntry(spec, 0))
}

// newStarts returns the starts of all tasks of a job. Tasks are assigned to VMs in
// round-robin order, beginning with VM number first.
func newStarts(spec api.JobSpec, first, vms int) []cell.Start {
	starts := make([]cell.Start, spec.Tasks)
	for i := range starts {
		starts[i] = cell.Start{Task: api.TaskID{Job: spec.ID, Index: uint32(i)}, Attempt: 1, VM: vmName((first + i) % vms), Resources: taskResources}
	}
	return starts
}

// startTasks starts tasks, with up to startsPerEntry starts in an entry, and then
// reports every task with each of the statuses in turn.
func (s *cellState) startTasks(starts []cell.Start, statuses ...cell.AttemptStatus) error {
	for len(starts) > 0 {
		n := min(startsPerEntry, len(starts))
		entry, _ := s.machine.StartEntry(1, starts[:n])
		if err := s.apply(entry); err != nil {
			return err
		}
		for _, status := range statuses {
			if err := s.apply(s.machine.ReportEntry(1, newReports(starts[:n], status))); err != nil {
				return err
			}
		}
		starts = starts[n:]
	}
	return nil
}

// newReports returns a report with this status for each start.
func newReports(starts []cell.Start, status cell.AttemptStatus) []cell.Report {
	reports := make([]cell.Report, len(starts))
	for i, s := range starts {
		reports[i] = cell.Report{Task: s.Task, Attempt: s.Attempt, Status: status}
	}
	return reports
}

// runTasks submits jobs of perJob tasks, starts all tasks and reports every task with
// each of the statuses in turn.
func (s *cellState) runTasks(tasks int, perJob uint32, statuses ...cell.AttemptStatus) error {
	for range tasks / int(perJob) {
		starts, err := s.submitJob(perJob)
		if err != nil {
			return err
		}
		if err := s.startTasks(starts, statuses...); err != nil {
			return err
		}
	}
	return nil
}

// cellHeapBytes returns the heap bytes of a cell's state machine after fill.
func cellHeapBytes(vms int, fill func(*cellState) error) (float64, error) {
	before := heapBytes()
	s, err := newCellState(vms)
	if err != nil {
		return 0, err
	}
	if err := fill(s); err != nil {
		return 0, err
	}
	grown := heapBytes() - before
	runtime.KeepAlive(s)
	return grown, nil
}

func cellMemoryMeasurements() []Measurement {
	const vms = 1700
	return []Measurement{
		{
			Name: "cell_task_bytes", XLabel: "running tasks, 50 to a job", YLabel: "bytes", Sizes: []int{10_000, 20_000, 40_000, 80_000},
			Run: func(size int) (float64, error) {
				return cellHeapBytes(vms, func(s *cellState) error { return s.runTasks(size, tasksPerJob, cell.AttemptRunning) })
			},
		}, {
			Name: "cell_single_task_bytes", XLabel: "running jobs of one task", YLabel: "bytes", Sizes: []int{10_000, 20_000, 40_000, 80_000},
			Run: func(size int) (float64, error) {
				return cellHeapBytes(vms, func(s *cellState) error { return s.runTasks(size, 1, cell.AttemptRunning) })
			},
		}, {
			Name: "cell_vm_bytes", XLabel: "worker VMs", YLabel: "bytes", Sizes: []int{1700, 5000, 10_000, 18_000},
			Run: func(size int) (float64, error) {
				return cellHeapBytes(size, func(*cellState) error { return nil })
			},
		}, {
			Name: "cell_pending_job_bytes", XLabel: "pending jobs of 50 tasks", YLabel: "bytes", Sizes: []int{5000, 10_000, 20_000, 40_000},
			Run: func(size int) (float64, error) {
				return cellHeapBytes(vms, func(s *cellState) error {
					for range size {
						if _, err := s.submitJob(tasksPerJob); err != nil {
							return err
						}
					}
					return nil
				})
			},
		}, {
			Name: "cell_ended_job_bytes", XLabel: "ended jobs of one task", YLabel: "bytes", Sizes: []int{5000, 10_000, 20_000, 40_000},
			Run: func(size int) (float64, error) {
				return cellHeapBytes(vms, func(s *cellState) error {
					return s.runTasks(size, 1, cell.AttemptRunning, cell.AttemptSucceeded)
				})
			},
		},
	}
}
