package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// State is the state that plans are made from: VMs, jobs with pending tasks,
// what runs or is reserved, and quotas. It is not safe for concurrent use.
//
// Changes keep its indexes up to date, so that a cycle reads only what a
// change can have affected.
type State struct {
	vms         map[api.VMID]*vmState
	dataCentres map[api.DataCentre]*dataCentre
	dcList      []*dataCentre // in order of first appearance
	fleet       fleet
	quarantine  vmSet
	freed       []*vmState // may hold more than when last looked at

	jobs     map[api.JobID]*jobState
	teams    map[string]*teamState
	holdings map[api.TaskID]*holding
	used     api.Resources
	// evictable counts the tasks that may be preempted, by band.
	evictable bandCounts
	sequence  uint64
	clock     time.Time // of the last cycle

	queue       queue
	woken       []*shape     // scratch
	frontier    frontier     // of those
	waking      []*teamState // hold less, or may hold more, than when last looked at
	condemned   []*jobState  // judged never to run
	rejudge     bool         // condemned jobs are to be judged again
	judgement   uint64       // counts the changes that ask for it
	probeCursor int
	offerCursor int
	retry       []*shapeQueue // to be tried again next cycle
	holds       []*hold
	wantHold    []*jobState // found no place for a hold
	usual       usualNeed   // of the tasks started lately
	// perAccelerator is what jobs put lately need by accelerator.
	perAccelerator usualNeed
	nominations    []*nomination
}

// NewState returns an empty world.
func NewState() *State {
	return &State{
		vms:         make(map[api.VMID]*vmState),
		dataCentres: make(map[api.DataCentre]*dataCentre),
		fleet:       fleet{kinds: make(map[vmKind]*kindCount)},
		quarantine:  vmSet{pos: make(map[*vmState]int)},
		jobs:        make(map[api.JobID]*jobState),
		teams:       make(map[string]*teamState),
		holdings:    make(map[api.TaskID]*holding),
		queue:       queue{shapes: make(map[shapeKey]*shape)},
	}
}

// usualNeed is a moving average of what started tasks need.
type usualNeed struct {
	milliCPU     float64
	memoryMB     float64
	accelerators float64
}

const (
	// usualWeight is the weight of one start in the average.
	usualWeight = 1.0 / 64
	// largeFactor is by how much a large need exceeds the average.
	largeFactor = 1.5
)

func (u *usualNeed) add(r api.Resources) {
	u.milliCPU += usualWeight * (float64(r.MilliCPU) - u.milliCPU)
	u.memoryMB += usualWeight * (float64(r.MemoryMB) - u.memoryMB)
	u.accelerators += usualWeight * (float64(r.Accelerators) - u.accelerators)
}

// addPerAccelerator adds what r needs by accelerator, if any.
func (u *usualNeed) addPerAccelerator(r api.Resources) {
	n := r.Accelerators
	if n > 0 {
		u.add(api.Resources{MilliCPU: r.MilliCPU / n, MemoryMB: r.MemoryMB / n, Accelerators: 1})
	}
}

// exceededBy reports whether r is large in any resource.
func (u *usualNeed) exceededBy(r api.Resources) bool {
	return float64(r.MilliCPU) > largeFactor*u.milliCPU ||
		float64(r.MemoryMB) > largeFactor*u.memoryMB ||
		float64(r.Accelerators) > largeFactor*u.accelerators
}

// Totals sums up a World.
type Totals struct {
	VMs          int
	Capacity     api.Resources // of the listed VMs
	Used         api.Resources // running and reserved
	Allocations  int           // tasks running or reserved
	QueuedJobs   int           // jobs with pending tasks
	PendingTasks int
}

// Totals returns the sums over the whole World.
func (w *State) Totals() Totals {
	return Totals{
		VMs:          w.fleet.vms,
		Capacity:     w.fleet.total,
		Used:         w.used,
		Allocations:  len(w.holdings),
		QueuedJobs:   w.queue.jobs,
		PendingTasks: w.queue.tasks,
	}
}

// holding is a task that occupies a VM, running or reserved.
type holding struct {
	task      api.TaskID
	vm        *vmState
	team      *teamState
	resources api.Resources
	started   int64 // Unix nanoseconds
	end       int64 // expected, Unix nanoseconds; 0: not known
	priority  int32
	slot      int32 // in vm.holdings
	class     api.Class

	checkpointable bool
	reserved       bool
	probe          bool
	stopping       bool // nominated as a victim
}

// Occupy records that a task occupies a VM. A reservation of the task turns
// into use; repeated, it replaces what was recorded before.
func (w *State) Occupy(r RunningTask) {
	probe := false
	if old := w.holdings[r.Task]; old != nil {
		if old.holdsAs(r) {
			w.confirm(old, r)
			return
		}
		probe = old.probe
		w.vacate(old)
		w.wakeAfter(old)
	}
	w.dropPending(r.Task)
	w.hold(&holding{
		task:           r.Task,
		vm:             w.vmOf(r.VM),
		team:           w.teamOf(r.Team),
		resources:      r.Resources,
		started:        unixNano(r.Started),
		end:            unixNano(r.ExpectedEnd),
		priority:       int32(r.Priority),
		class:          r.Class,
		checkpointable: r.Checkpointable,
		probe:          probe,
	})
}

// holdsAs reports whether h holds the same on the same VM as r says.
func (h *holding) holdsAs(r RunningTask) bool {
	return h.vm.ID == r.VM && h.team.name == r.Team && h.resources == r.Resources
}

// confirm takes over from r what doesn't change what h holds.
func (w *State) confirm(h *holding, r RunningTask) {
	w.countEvictable(h, -1)
	h.started = unixNano(r.Started)
	h.end = unixNano(r.ExpectedEnd)
	h.priority = int32(r.Priority)
	h.class = r.Class
	h.checkpointable = r.Checkpointable
	h.reserved = false
	w.countEvictable(h, 1)
}

// Vacate records that a task no longer occupies its VM. The task is not
// pending again until a PutJob says so.
func (w *State) Vacate(task api.TaskID) {
	h := w.holdings[task]
	if h == nil {
		return
	}
	w.vacate(h)
	w.wakeAfter(h)
	w.dropIfEmpty(h.vm)
}

// wakeAfter lets be tried what may go on without h: work for its VM, its
// team's, and its own job's if that is spread.
func (w *State) wakeAfter(h *holding) {
	w.markFreed(h.vm)
	w.wakeTeam(h.team)
	if j := w.jobs[h.task.Job]; j != nil && j.spread != nil && j.queue != nil {
		w.retryShape(j.queue.shape)
	}
}

// Release drops the reservation of a start that was rejected; the task is
// pending again. It does nothing to a task that runs.
func (w *State) Release(task api.TaskID) {
	h := w.holdings[task]
	if h == nil || !h.reserved {
		return
	}
	w.Vacate(task)
	w.restorePending(task)
}

// hold adds h to its VM, its team and the sums.
func (w *State) hold(h *holding) {
	v := h.vm
	w.holdings[h.task] = h
	h.slot = int32(len(v.holdings))
	v.holdings = append(v.holdings, h)
	v.used = v.used.Add(h.resources)
	w.countEvictable(h, 1)
	w.used = w.used.Add(h.resources)
	h.team.use = h.team.use.Add(h.resources)
	w.countSpread(h, 1)
	w.reindex(v)
}

func (w *State) vacate(h *holding) {
	v := h.vm
	delete(w.holdings, h.task)
	last := len(v.holdings) - 1
	v.holdings[h.slot] = v.holdings[last]
	v.holdings[h.slot].slot = h.slot
	v.holdings[last] = nil
	v.holdings = v.holdings[:last]
	v.used = v.used.Sub(h.resources)
	w.countEvictable(h, -1)
	w.used = w.used.Sub(h.resources)
	h.team.use = h.team.use.Sub(h.resources)
	w.countSpread(h, -1)
	w.reindex(v)
}

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
