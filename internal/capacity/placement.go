package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

const (
	tasksPerVM     = 25
	placementCount = 4000
)

// vmSize is enough for tasksPerVM tasks and a few more.
var vmSize = api.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10}

func schedulerVM(i int) scheduler.VM {
	return scheduler.VM{ID: vmName(i), DataCentre: "dc-a", Rack: fmt.Sprint("r", i/6), Capacity: vmSize, Schedulable: true}
}

// runningTask returns the only task of the job with this number, running on a VM.
func runningTask(number, vm int, now time.Time) scheduler.RunningTask {
	spec := jobSpec(number, 1)
	return scheduler.RunningTask{
		Task: api.TaskID{Job: spec.ID}, VM: vmName(vm), Team: spec.Team, Class: spec.Class,
		Priority: spec.Priority, Resources: spec.Resources, Started: now, ExpectedEnd: now.Add(10 * time.Minute),
	}
}

// loadedState returns a scheduler state with VMs that each run tasksPerVM tasks.
func loadedState(vms int, now time.Time) *scheduler.State {
	state := scheduler.NewState()
	for i := range vms {
		state.PutVM(schedulerVM(i))
	}
	for i := range vms * tasksPerVM {
		state.Occupy(runningTask(i, i%vms, now))
	}
	return state
}

// measurePlacement returns the processor time, in us, of placing one task, including
// the arrival of its job and the end of another task.
func measurePlacement(vms int) (float64, error) {
	now := time.Unix(0, 0)
	state := loadedState(vms, now)
	sched := scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 1)))
	running := vms * tasksPerVM
	starts := 0
	seconds, err := measureCPUSeconds(func() error {
		for i := range placementCount {
			state.Vacate(api.TaskID{Job: jobSpec(i%running, 1).ID})
			spec := jobSpec(running+i, 1)
			state.PutJob(scheduler.Job{Spec: spec, Submitted: now, Pending: []uint32{0}, Estimate: spec.Resources})
			for _, start := range sched.Cycle(state, now, 1).Starts {
				starts++
				task := runningTask(running+i, 0, now)
				task.VM = start.VM
				state.Occupy(task)
			}
			now = now.Add(time.Millisecond)
		}
		return nil
	})
	if err == nil && starts != placementCount {
		err = fmt.Errorf("%d of %d tasks were placed", starts, placementCount)
	}
	return seconds * microsPerSecond / placementCount, err
}

func placementMeasurements() []Measurement {
	return []Measurement{{
		Name: "placement_time", XLabel: "worker VMs, 25 tasks on each", YLabel: "processor time of a placement, us",
		Sizes: []int{500, 1700, 5000, 10_000, 18_000}, Run: measurePlacement,
	}}
}

// schedulerStateHeap returns the heap bytes that fill adds to a scheduler state with
// this number of VMs.
func schedulerStateHeap(vms int, fill func(*scheduler.State)) (float64, error) {
	state := scheduler.NewState()
	for i := range vms {
		state.PutVM(schedulerVM(i))
	}
	before := heapBytes()
	fill(state)
	grown := heapBytes() - before
	runtime.KeepAlive(state)
	return grown, nil
}

func schedulerStateMeasurements() []Measurement {
	const vms = 1700
	now := time.Unix(0, 0)
	return []Measurement{
		{
			Name: "world_vm_bytes", XLabel: "worker VMs", YLabel: "bytes", Sizes: []int{1700, 5000, 10_000, 18_000},
			Run: func(size int) (float64, error) {
				return schedulerStateHeap(0, func(state *scheduler.State) {
					for i := range size {
						state.PutVM(schedulerVM(i))
					}
				})
			},
		}, {
			Name: "world_task_bytes", XLabel: "running tasks", YLabel: "bytes", Sizes: []int{10_000, 20_000, 40_000, 80_000},
			Run: func(size int) (float64, error) {
				return schedulerStateHeap(vms, func(state *scheduler.State) {
					for i := range size {
						state.Occupy(runningTask(i, i%vms, now))
					}
				})
			},
		}, {
			Name: "world_job_bytes", XLabel: "pending jobs of one task", YLabel: "bytes", Sizes: []int{5000, 10_000, 20_000, 40_000},
			Run: func(size int) (float64, error) {
				return schedulerStateHeap(vms, func(state *scheduler.State) {
					for i := range size {
						spec := jobSpec(i, 1)
						state.PutJob(scheduler.Job{Spec: spec, Submitted: now, Pending: []uint32{0}, Estimate: spec.Resources})
					}
				})
			},
		},
	}
}
