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
	placementsEach = 4000
)

// vmSize has room for tasksPerVM tasks and a few more.
var vmSize = api.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10}

func schedulerVM(i int) scheduler.VM {
	return scheduler.VM{ID: vmName(i), DataCentre: "dc-a", Rack: fmt.Sprint("r", i/6), Capacity: vmSize, Schedulable: true}
}

func runningTask(number, vm int, now time.Time) scheduler.RunningTask {
	spec := jobSpec(number, 1)
	return scheduler.RunningTask{
		Task: api.TaskID{Job: spec.ID}, VM: vmName(vm), Team: spec.Team, Class: spec.Class,
		Priority: spec.Priority, Resources: spec.Resources, Started: now, ExpectedEnd: now.Add(10 * time.Minute),
	}
}

// fleetOf returns a world of VMs that each run tasksPerVM tasks.
func fleetOf(vms int, now time.Time) *scheduler.State {
	w := scheduler.NewState()
	for i := range vms {
		w.PutVM(schedulerVM(i))
	}
	for i := range vms * tasksPerVM {
		w.Occupy(runningTask(i, i%vms, now))
	}
	return w
}

// placementTime is the processor time of one start, with the arrival of its
// job and the end of another task.
func placementTime(vms int) (float64, error) {
	now := time.Unix(0, 0)
	w := fleetOf(vms, now)
	s := scheduler.New(scheduler.Config{}, rand.New(rand.NewPCG(1, 1)))
	running := vms * tasksPerVM
	starts := 0
	seconds, err := processorTime(func() error {
		for i := range placementsEach {
			w.Vacate(api.TaskID{Job: jobSpec(i%running, 1).ID})
			spec := jobSpec(running+i, 1)
			w.PutJob(scheduler.Job{Spec: spec, Submitted: now, Pending: []uint32{0}, Estimate: spec.Resources})
			for _, start := range s.Cycle(w, now, 1).Starts {
				starts++
				r := runningTask(running+i, 0, now)
				r.VM = start.VM
				w.Occupy(r)
			}
			now = now.Add(time.Millisecond)
		}
		return nil
	})
	if err == nil && starts != placementsEach {
		err = fmt.Errorf("%d of %d tasks were placed", starts, placementsEach)
	}
	return seconds * microseconds / placementsEach, err
}

func placements() []Measurement {
	return []Measurement{{
		Name: "placement_time", XLabel: "worker VMs, 25 tasks on each", YLabel: "processor time of a placement, us",
		Sizes: []int{500, 1700, 5000, 10_000, 18_000}, Run: placementTime,
	}}
}

// worldHeap returns the bytes that fill adds to a world of 1,700 VMs.
func worldHeap(vms int, fill func(*scheduler.State)) (float64, error) {
	w := scheduler.NewState()
	for i := range vms {
		w.PutVM(schedulerVM(i))
	}
	before := heapBytes()
	fill(w)
	grown := heapBytes() - before
	runtime.KeepAlive(w)
	return grown, nil
}

func worlds() []Measurement {
	const vms = 1700
	now := time.Unix(0, 0)
	return []Measurement{
		{
			Name: "world_vm_bytes", XLabel: "worker VMs", YLabel: "bytes", Sizes: []int{1700, 5000, 10_000, 18_000},
			Run: func(size int) (float64, error) {
				return worldHeap(0, func(w *scheduler.State) {
					for i := range size {
						w.PutVM(schedulerVM(i))
					}
				})
			},
		}, {
			Name: "world_task_bytes", XLabel: "running tasks", YLabel: "bytes", Sizes: []int{10_000, 20_000, 40_000, 80_000},
			Run: func(size int) (float64, error) {
				return worldHeap(vms, func(w *scheduler.State) {
					for i := range size {
						w.Occupy(runningTask(i, i%vms, now))
					}
				})
			},
		}, {
			Name: "world_job_bytes", XLabel: "pending jobs of one task", YLabel: "bytes", Sizes: []int{5000, 10_000, 20_000, 40_000},
			Run: func(size int) (float64, error) {
				return worldHeap(vms, func(w *scheduler.State) {
					for i := range size {
						spec := jobSpec(i, 1)
						w.PutJob(scheduler.Job{Spec: spec, Submitted: now, Pending: []uint32{0}, Estimate: spec.Resources})
					}
				})
			},
		},
	}
}
