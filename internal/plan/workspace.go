package plan

import (
	"math"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// workspace is what the cell knows of one workspace. Its usage counts everything of it that may be
// running: planned and unanswered starts, stops under way, runs of ended jobs, runs on executors
// that can't be reached until their lease has expired, and orders that may be carried out late.
// No start is planned or confirmed that would take the usage above the cap.
type workspace struct {
	id      work.WorkspaceID
	name    string
	weight  float64
	cap     api.Resources // as last configured; 0 in a field: no limit
	used    api.Resources
	running map[*allocation]struct{} // runs that hold the usage, and orders that may be carried out late

	jobTokens  float64   // jobs that may arrive now without being in excess of the weight
	refilledAt time.Time // up to which jobTokens was refilled
	overShare  bool      // it uses more than its share of the capacity, as of the newest plan
}

// workspaceOf returns the workspace with an ID, or nil for none. A workspace that was removed from
// the configuration keeps the cap that it had.
func (c *Cell) workspaceOf(id work.WorkspaceID) *workspace {
	if id == 0 {
		return nil
	}
	w := c.workspaces[id]
	if w == nil {
		w = &workspace{id: id, running: make(map[*allocation]struct{})}
		w.configure(c.queueConfig.Workspaces.WithID(id))
		w.jobTokens = w.jobBurst()
		c.workspaces[id] = w
	}
	return w
}

// configureWorkspaces applies the caps and weights of a new configuration.
func (c *Cell) configureWorkspaces() {
	for id, w := range c.workspaces {
		w.configure(c.queueConfig.Workspaces.WithID(id))
	}
}

func (w *workspace) configure(configured *queue.Workspace) {
	if configured != nil {
		w.name, w.weight, w.cap = configured.Name, configured.Weight, configured.Cap
	}
}

// takeJobToken counts a job that arrives at a time. It returns false if the job is in excess of the
// workspace's weight in jobs a second.
func (w *workspace) takeJobToken(at time.Time) bool {
	if w == nil || w.weight <= 0 {
		return true
	}
	if elapsed := at.Sub(w.refilledAt); elapsed > 0 {
		w.jobTokens = min(w.jobBurst(), w.jobTokens+w.weight*elapsed.Seconds())
		w.refilledAt = at
	}
	if w.jobTokens < 1 {
		return false
	}
	w.jobTokens--
	return true
}

// jobBurst returns how many jobs may arrive at once without being in excess: those of a second, and at least
// one, or all jobs of a workspace with a weight below 1 would be.
func (w *workspace) jobBurst() float64 { return max(1, w.weight) }

// returnJobToken takes back the count of a job that was not accepted after all.
func (w *workspace) returnJobToken() {
	if w != nil && w.weight > 0 {
		w.jobTokens = min(w.jobBurst(), w.jobTokens+1)
	}
}

// updateShares determines which workspaces use more than their share of the capacity. The shares of
// the workspaces that have work are in proportion to their weights.
func (c *Cell) updateShares(now time.Time) {
	if len(c.workspaces) == 0 {
		return
	}
	active := make(map[*workspace]bool)
	for _, s := range c.waitingSteps {
		if w := s.job.workspace; w != nil {
			active[w] = true
		}
	}
	totalWeight := 0.0
	for _, w := range c.workspaces {
		if active[w] || len(w.running) > 0 {
			totalWeight += w.weight
		}
	}
	capacity := c.inactiveCapacity
	for _, v := range c.calledVMs {
		if v.usable(now, &c.cfg) {
			capacity = capacity.Add(v.Capacity)
		}
	}
	for _, w := range c.workspaces {
		share := dominantShare(w.used, capacity)
		w.overShare = w.weight > 0 && share*totalWeight > w.weight
	}
}

// add counts a run. It does nothing on a nil workspace.
func (w *workspace) add(alloc *allocation) {
	if w != nil {
		w.running[alloc] = struct{}{}
		w.used = w.used.Add(alloc.resources)
	}
}

// remove no longer counts a run.
func (w *workspace) remove(alloc *allocation) {
	if w != nil {
		delete(w.running, alloc)
		w.used = w.used.Sub(alloc.resources)
	}
}

// headroom returns what the workspace may use in addition to an amount. It is negative where a
// lowered cap is exceeded.
func (w *workspace) headroom(used api.Resources) api.Resources {
	return api.Resources{
		MilliCPU:     headroom(w.cap.MilliCPU, used.MilliCPU),
		MemoryMB:     headroom(w.cap.MemoryMB, used.MemoryMB),
		Accelerators: headroom(w.cap.Accelerators, used.Accelerators),
	}
}

func headroom(limit, used int64) int64 {
	if limit == 0 {
		return math.MaxInt64 / 2 // leaves room for sums
	}
	return limit - used
}

// withinCap returns as many of a step's tasks as its workspace's cap allows to start now, and none
// of a gang that doesn't fit whole.
func (s *step) withinCap(tasks []*task) []*task {
	w := s.job.workspace
	if w == nil || len(tasks) == 0 {
		return tasks
	}
	n := gather.FitCount(w.headroom(w.used), s.spec.TaskResources)
	switch {
	case n >= len(tasks):
		return tasks
	case s.spec.Gang:
		return nil
	default:
		return tasks[:n]
	}
}

// heldByCap reports whether no task of the step can start now because of its workspace's cap.
func (s *step) heldByCap(tasks int) bool {
	w := s.job.workspace
	if w == nil {
		return false
	}
	if !s.spec.Gang {
		tasks = 1
	}
	return gather.FitCount(w.headroom(w.used), s.spec.TaskResources) < tasks
}

// startsOverCap returns the planned starts that the caps don't allow any more, because they were
// lowered after the starts were planned. The starts that were planned last are dropped first.
func (c *Cell) startsOverCap(starts []Start) map[*allocation]bool {
	var over map[*allocation]bool
	used := make(map[*workspace]api.Resources)
	for _, st := range slices.Backward(starts) {
		alloc := c.plannedAllocation(st)
		if alloc == nil || alloc.workspace == nil {
			continue
		}
		w := alloc.workspace
		if _, known := used[w]; !known {
			used[w] = w.used
		}
		if !w.headroom(used[w]).HasNegative() {
			continue
		}
		used[w] = used[w].Sub(alloc.resources)
		if over == nil {
			over = make(map[*allocation]bool)
		}
		over[alloc] = true
	}
	return over
}

// capForecast estimates which steps may start under their workspaces' caps at a later time, for one
// pass over the waiting steps in start order.
type capForecast struct {
	now         time.Time
	byWorkspace map[*workspace]*forecastHeadroom
}

// forecastHeadroom is what is left under a cap for the steps that follow in the pass.
type forecastHeadroom struct {
	free         api.Resources
	includesEnds bool // what present runs free until the calls are answered is included
}

// nearCapShare is the share of a cap in use above which steps are checked against it before advice calls
// for them are made.
const nearCapShare = 0.5

// nearCap reports whether so much of the cap is in use that waiting steps may not fit under it.
func (w *workspace) nearCap() bool {
	return w != nil && max(fraction(w.used.MilliCPU, w.cap.MilliCPU), fraction(w.used.MemoryMB, w.cap.MemoryMB), fraction(w.used.Accelerators, w.cap.Accelerators)) > nearCapShare
}

// admits reports whether a task of the step, or the whole gang, should fit under the cap by the time
// that a call made now is answered, after the steps that were admitted before it. An advice call for
// a step that its cap keeps back would take the time of the calling machines from others.
func (f *capForecast) admits(s *step, tasks int, answerBy time.Time) bool {
	w := s.job.workspace
	h := f.byWorkspace[w]
	if h == nil {
		h = &forecastHeadroom{free: w.headroom(w.used)}
		f.byWorkspace[w] = h
	}
	needed := 1
	if s.spec.Gang {
		needed = tasks
	}
	n := gather.FitCount(h.free, s.spec.TaskResources)
	if n < needed && !h.includesEnds {
		h.free = h.free.Add(w.used.Sub(w.usedAt(answerBy, f.now)))
		h.includesEnds = true
		n = gather.FitCount(h.free, s.spec.TaskResources)
	}
	if n < needed {
		return false
	}
	h.free = h.free.Sub(scale(s.spec.TaskResources, float64(min(n, tasks))))
	return true
}

// usedAt returns what the workspace's present runs should still use at a time.
func (w *workspace) usedAt(at, now time.Time) api.Resources {
	used := w.used
	for alloc := range w.running {
		if !alloc.expectedEndAt(now).After(at) {
			used = used.Sub(alloc.resources)
		}
	}
	return used
}

// workspaceOfRun returns the workspace of a run, also if its job has ended.
func (c *Cell) workspaceOfRun(run platform.Run) *workspace {
	spec := c.lookupJob(run.Task.Job)
	if spec == nil {
		return nil
	}
	return c.workspaceOf(spec.Workspace)
}
