package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// State is the input of scheduling: VMs, jobs with pending tasks, running and
// reserved tasks, and quotas. It is not safe for concurrent use.
//
// Every change updates the indexes, so that a cycle reads only the entries that
// changes may have affected.
type State struct {
	vms            map[api.VMID]*vmState
	dataCentres    map[api.DataCentre]*dataCentre
	dataCentreList []*dataCentre // in order of first appearance
	fleet          fleet
	quarantined    vmSet
	freed          []*vmState // may fit more than in the last cycle

	jobs        map[api.JobID]*jobState
	teams       map[string]*teamState
	allocations map[api.TaskID]*allocation
	used        api.Resources
	// evictable counts the evictable tasks by band.
	evictable bandCounts
	sequence  uint64
	lastCycle time.Time // time of the last cycle

	queue             queue
	unblocked         []*shape     // scratch space
	frontier          frontier     // of the blocked shapes
	waking            []*teamState // use less, or have a larger quota, than in the last cycle
	infeasible        []*jobState  // jobs found to be unable to run
	recheckInfeasible bool         // infeasible jobs must be checked again
	feasibilityEpoch  uint64       // number of changes that may affect feasibility
	probeCursor       int
	probeWakeCursor   int
	retryQueues       []*shapeQueue // queues to retry in the next cycle
	holds             []*hold
	holdWaiters       []*jobState // jobs that could not get a hold because of MaxHolds
	averageStarted    averageNeed // of the most recently started tasks
	// averagePerAccelerator averages the needs per accelerator of recently added jobs.
	averagePerAccelerator averageNeed
	nominations           []*nomination
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		vms:         make(map[api.VMID]*vmState),
		dataCentres: make(map[api.DataCentre]*dataCentre),
		fleet:       fleet{kinds: make(map[vmKind]*kindCount)},
		quarantined: vmSet{pos: make(map[*vmState]int)},
		jobs:        make(map[api.JobID]*jobState),
		teams:       make(map[string]*teamState),
		allocations: make(map[api.TaskID]*allocation),
		queue:       queue{shapes: make(map[shapeKey]*shape)},
	}
}

// averageNeed is an exponential moving average of the resources that tasks need.
type averageNeed struct {
	milliCPU     float64
	memoryMB     float64
	accelerators float64
}

const (
	// averageWeight is the weight of one sample in the average.
	averageWeight = 1.0 / 64
	// largeFactor is the factor by which a large need exceeds the average.
	largeFactor = 1.5
)

func (a *averageNeed) add(r api.Resources) {
	a.milliCPU += averageWeight * (float64(r.MilliCPU) - a.milliCPU)
	a.memoryMB += averageWeight * (float64(r.MemoryMB) - a.memoryMB)
	a.accelerators += averageWeight * (float64(r.Accelerators) - a.accelerators)
}

// addPerAccelerator adds the needs of r per accelerator, if it has any.
func (a *averageNeed) addPerAccelerator(r api.Resources) {
	n := r.Accelerators
	if n > 0 {
		a.add(api.Resources{MilliCPU: r.MilliCPU / n, MemoryMB: r.MemoryMB / n, Accelerators: 1})
	}
}

// exceededBy reports whether r exceeds the average by largeFactor in any resource.
func (a *averageNeed) exceededBy(r api.Resources) bool {
	return float64(r.MilliCPU) > largeFactor*a.milliCPU ||
		float64(r.MemoryMB) > largeFactor*a.memoryMB ||
		float64(r.Accelerators) > largeFactor*a.accelerators
}

// Totals contains sums over a State.
type Totals struct {
	VMs          int
	Capacity     api.Resources // of the listed VMs
	Used         api.Resources // running and reserved
	Allocations  int           // tasks running or reserved
	QueuedJobs   int           // jobs with pending tasks
	PendingTasks int
}

// Totals returns the sums over the whole State.
func (st *State) Totals() Totals {
	return Totals{
		VMs:          st.fleet.vmCount,
		Capacity:     st.fleet.total,
		Used:         st.used,
		Allocations:  len(st.allocations),
		QueuedJobs:   st.queue.jobs,
		PendingTasks: st.queue.tasks,
	}
}

// allocation is the capacity of a VM that a running or reserved task holds.
type allocation struct {
	task        api.TaskID
	vm          *vmState
	team        *teamState
	resources   api.Resources
	started     int64 // Unix nanoseconds
	expectedEnd int64 // Unix nanoseconds; 0 if unknown
	priority    int32
	vmIndex     int32 // index in vm.allocations
	class       api.Class

	checkpointable bool
	reserved       bool
	probe          bool
	stopping       bool // nominated as a victim
}

// Occupy records that a task occupies a VM. It replaces a reservation or an earlier
// record of the task.
func (st *State) Occupy(r RunningTask) {
	probe := false
	if previous := st.allocations[r.Task]; previous != nil {
		if previous.sameAs(r) {
			st.updateAllocation(previous, r)
			return
		}
		probe = previous.probe
		st.removeAllocation(previous)
		st.wakeAfterRemoval(previous)
	}
	st.dropPending(r.Task)
	st.addAllocation(&allocation{
		task:           r.Task,
		vm:             st.vmOf(r.VM),
		team:           st.teamOf(r.Team),
		resources:      r.Resources,
		started:        unixNano(r.Started),
		expectedEnd:    unixNano(r.ExpectedEnd),
		priority:       int32(r.Priority),
		class:          r.Class,
		checkpointable: r.Checkpointable,
		probe:          probe,
	})
}

// sameAs reports whether alloc has the VM, team and resources of r.
func (alloc *allocation) sameAs(r RunningTask) bool {
	return alloc.vm.ID == r.VM && alloc.team.name == r.Team && alloc.resources == r.Resources
}

// updateAllocation updates the fields of alloc that do not affect capacity from r.
func (st *State) updateAllocation(alloc *allocation, r RunningTask) {
	st.countEvictable(alloc, -1)
	alloc.started = unixNano(r.Started)
	alloc.expectedEnd = unixNano(r.ExpectedEnd)
	alloc.priority = int32(r.Priority)
	alloc.class = r.Class
	alloc.checkpointable = r.Checkpointable
	alloc.reserved = false
	st.countEvictable(alloc, 1)
}

// Vacate records that a task no longer occupies its VM. The task becomes pending
// again only through PutJob.
func (st *State) Vacate(task api.TaskID) {
	alloc := st.allocations[task]
	if alloc == nil {
		return
	}
	st.removeAllocation(alloc)
	st.wakeAfterRemoval(alloc)
	st.dropIfEmpty(alloc.vm)
}

// wakeAfterRemoval wakes the work that may start after the removal of alloc: work for
// its VM, work of its team, and its own job if that is spread.
func (st *State) wakeAfterRemoval(alloc *allocation) {
	st.markFreed(alloc.vm)
	st.wakeTeam(alloc.team)
	if j := st.jobs[alloc.task.Job]; j != nil && j.spread != nil && j.queue != nil {
		st.retryShape(j.queue.shape)
	}
}

// Release drops the reservation of a start that was rejected and makes the task
// pending again. It does nothing if the task runs.
func (st *State) Release(task api.TaskID) {
	alloc := st.allocations[task]
	if alloc == nil || !alloc.reserved {
		return
	}
	st.Vacate(task)
	st.restorePending(task)
}

// addAllocation adds alloc to its VM, its team and the totals.
func (st *State) addAllocation(alloc *allocation) {
	v := alloc.vm
	st.allocations[alloc.task] = alloc
	alloc.vmIndex = int32(len(v.allocations))
	v.allocations = append(v.allocations, alloc)
	v.used = v.used.Add(alloc.resources)
	st.countEvictable(alloc, 1)
	st.used = st.used.Add(alloc.resources)
	alloc.team.allocated = alloc.team.allocated.Add(alloc.resources)
	st.countSpread(alloc, 1)
	st.reindex(v)
}

func (st *State) removeAllocation(alloc *allocation) {
	v := alloc.vm
	delete(st.allocations, alloc.task)
	last := len(v.allocations) - 1
	v.allocations[alloc.vmIndex] = v.allocations[last]
	v.allocations[alloc.vmIndex].vmIndex = alloc.vmIndex
	v.allocations[last] = nil
	v.allocations = v.allocations[:last]
	v.used = v.used.Sub(alloc.resources)
	st.countEvictable(alloc, -1)
	st.used = st.used.Sub(alloc.resources)
	alloc.team.allocated = alloc.team.allocated.Sub(alloc.resources)
	st.countSpread(alloc, -1)
	st.reindex(v)
}

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
