package capacity

import (
	"fmt"
	"runtime"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
)

const (
	tasksPerJob   = 50
	startsInEntry = 25
	teams         = 92
)

// taskSize is what each task asks for.
var taskSize = api.Resources{MilliCPU: 1000, MemoryMB: 2000}

// firstEpoch is an epoch source of a cell that had one holder only.
type firstEpoch struct{}

// CellEpoch implements cell.EpochSource.
func (firstEpoch) CellEpoch() api.Epoch { return 1 }

// cellState is a cell's machine with the numbers of what is in it.
type cellState struct {
	machine *cell.Machine
	index   uint32 // of the last entry
	vms     int
	jobs    int
}

func newCellState(vms int) (*cellState, error) {
	s := &cellState{machine: cell.New(firstEpoch{}, nil), vms: vms}
	return s, s.apply(vmsEntry(vms))
}

func (s *cellState) apply(e journal.Entry) error {
	s.index++
	return s.machine.Apply(journal.Position{Index: s.index}, e)
}

func vmName(i int) api.VMID { return api.VMID(fmt.Sprintf("worker-%05d", i)) }

// vmsEntry returns the entry that makes VMs known, with room for any start.
func vmsEntry(vms int) journal.Entry {
	seen := make([]cell.SeenVM, vms)
	for i := range seen {
		seen[i] = cell.SeenVM{ID: vmName(i), Rack: fmt.Sprint("r", i/8), Capacity: taskSize.Mul(1 << 20)}
	}
	return cell.VMsEntry(1, seen, nil)
}

func jobSpec(number int, tasks uint32) api.JobSpec {
	return api.JobSpec{
		ID: api.JobID(fmt.Sprintf("team-%02d/job-%06d", number%teams, number)), Team: fmt.Sprintf("team-%02d", number%teams),
		Class: api.ClassBatch, Priority: api.PriorityDefault, Tasks: tasks, Resources: taskSize, Payload: "appraise",
	}
}

// submit adds a job and returns the starts of its tasks.
func (s *cellState) submit(tasks uint32) ([]cell.Start, error) {
	spec := jobSpec(s.jobs, tasks)
	starts := startsOf(spec, s.jobs*int(tasks), s.vms)
	s.jobs++
	return starts, s.apply(cell.SubmitEntry(spec, 0))
}

// startsOf returns the starts of all tasks of a job, on one VM after another.
func startsOf(spec api.JobSpec, first, vms int) []cell.Start {
	starts := make([]cell.Start, spec.Tasks)
	for i := range starts {
		starts[i] = cell.Start{Task: api.TaskID{Job: spec.ID, Index: uint32(i)}, Attempt: 1, VM: vmName((first + i) % vms), Resources: taskSize}
	}
	return starts
}

// start starts tasks, some to an entry, and reports each of the endings.
func (s *cellState) start(starts []cell.Start, endings ...cell.Ending) error {
	for len(starts) > 0 {
		n := min(startsInEntry, len(starts))
		entry, _ := s.machine.StartEntry(1, starts[:n])
		if err := s.apply(entry); err != nil {
			return err
		}
		for _, ending := range endings {
			if err := s.apply(s.machine.ReportEntry(1, reportsOf(starts[:n], ending))); err != nil {
				return err
			}
		}
		starts = starts[n:]
	}
	return nil
}

func reportsOf(starts []cell.Start, ending cell.Ending) []cell.Report {
	reports := make([]cell.Report, len(starts))
	for i, s := range starts {
		reports[i] = cell.Report{Task: s.Task, Attempt: s.Attempt, Ending: ending}
	}
	return reports
}

// fill starts tasks in jobs of the given size and reports each ending.
func (s *cellState) fill(tasks int, perJob uint32, endings ...cell.Ending) error {
	for range tasks / int(perJob) {
		starts, err := s.submit(perJob)
		if err != nil {
			return err
		}
		if err := s.start(starts, endings...); err != nil {
			return err
		}
	}
	return nil
}

// cellHeap returns the bytes that a machine keeps after fill.
func cellHeap(vms int, fill func(*cellState) error) (float64, error) {
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

func cellMemory() []Measurement {
	const vms = 1700
	return []Measurement{
		{
			Name: "cell_task_bytes", XLabel: "running tasks, 50 to a job", YLabel: "bytes", Sizes: []int{10_000, 20_000, 40_000, 80_000},
			Run: func(size int) (float64, error) {
				return cellHeap(vms, func(s *cellState) error { return s.fill(size, tasksPerJob, cell.ReportRunning) })
			},
		}, {
			Name: "cell_single_task_bytes", XLabel: "running jobs of one task", YLabel: "bytes", Sizes: []int{10_000, 20_000, 40_000, 80_000},
			Run: func(size int) (float64, error) {
				return cellHeap(vms, func(s *cellState) error { return s.fill(size, 1, cell.ReportRunning) })
			},
		}, {
			Name: "cell_vm_bytes", XLabel: "worker VMs", YLabel: "bytes", Sizes: []int{1700, 5000, 10_000, 18_000},
			Run: func(size int) (float64, error) {
				return cellHeap(size, func(*cellState) error { return nil })
			},
		}, {
			Name: "cell_pending_job_bytes", XLabel: "pending jobs of 50 tasks", YLabel: "bytes", Sizes: []int{5000, 10_000, 20_000, 40_000},
			Run: func(size int) (float64, error) {
				return cellHeap(vms, func(s *cellState) error {
					for range size {
						if _, err := s.submit(tasksPerJob); err != nil {
							return err
						}
					}
					return nil
				})
			},
		}, {
			Name: "cell_ended_job_bytes", XLabel: "ended jobs of one task", YLabel: "bytes", Sizes: []int{5000, 10_000, 20_000, 40_000},
			Run: func(size int) (float64, error) {
				return cellHeap(vms, func(s *cellState) error {
					return s.fill(size, 1, cell.ReportRunning, cell.ReportSucceeded)
				})
			},
		},
	}
}
