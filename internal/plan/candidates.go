package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// Bounds of how many executors an advice call names.
const (
	// namingTimeShare is the part of a call's fixed time that naming executors may take and
	// still count as cheap.
	namingTimeShare = 0.5
	// slotMargin is how many slots a call should name for each task of a step, on the
	// executors that are expected to be granted: others take some of them while the call is
	// in flight.
	slotMargin = 1.5
	// initialGrantShare is the share of grants that is expected for a queue without answers
	// so far. Too small a share makes the first calls a little too long, too large a share
	// makes them useless.
	initialGrantShare = 0.3
	// callMeanWeight is the weight of a new call in the moving means of shares.
	callMeanWeight = 0.1
)

// candidate is an executor that an advice call could name.
type candidate struct {
	vm             *vm
	slots          int     // tasks of the step that should fit when the answer arrives
	placementScore float64 // score of the executor with one task of the step on it (place.go); lower is better
}

// candidates are the executors on which a step may run, with the number of tasks that
// should fit.
type candidates struct {
	valid   []candidate // executors with a ticket that is valid at the time asked for
	expired []candidate // executors with a ticket that has expired by then
	unknown []candidate // executors of which it isn't known whether the step may run there
}

// fleetSnapshot caches the state of the executors for one pass over the waiting steps:
// hundreds of steps look at hundreds of executors, 25 times a second.
type fleetSnapshot struct {
	cell                  *Cell
	now                   time.Time
	candidates            candidates                    // reused from step to step
	vms                   []*vm                         // executors that may be given work, or some of them in a large fleet
	included              map[*vm]struct{}              // the vms; nil: all that may be given work
	freeByTime            map[time.Time][]api.Resources // expected free capacity of each of the vms at a time
	releases              [][]release                   // expected ends of the runs on each of the vms; nil until they are needed
	load                  LoadReporter                  // how busy the calling machines are; nil if unknown
	preemptibleByPriority map[int][]api.Resources       // resources of preemptible runs on each of the vms, by the priority of the preempting queue
}

// forecastResolution is the time resolution of forecasts of free capacity. Run times are
// estimates, so a finer one gains nothing.
const forecastResolution = 50 * time.Millisecond

// maxSnapshotVMs is how many executors one pass looks at for steps that aren't known to be permitted on
// them: several times as many as all calls for a gang may name. In a fleet of thousands the passes
// would otherwise take more processor time than the leader has.
const maxSnapshotVMs = 600

// snapshot returns the state of the executors at now. In a large fleet each pass looks at other
// executors than the one before.
func (c *Cell) snapshot(now time.Time) *fleetSnapshot {
	f := &fleetSnapshot{cell: c, now: now, freeByTime: make(map[time.Time][]api.Resources), preemptibleByPriority: make(map[int][]api.Resources)}
	n := len(c.calledVMs)
	if n <= maxSnapshotVMs {
		c.nextSnapshotVM = 0
	} else {
		f.included = make(map[*vm]struct{}, maxSnapshotVMs)
	}
	for i := range n {
		at := (c.nextSnapshotVM + i) % n
		v := c.calledVMs[at]
		if !c.inService(v) || !v.usable(now, &c.cfg) {
			continue
		}
		f.vms = append(f.vms, v)
		if f.included == nil {
			continue
		}
		f.included[v] = struct{}{}
		if len(f.vms) == maxSnapshotVMs {
			c.nextSnapshotVM = (at + 1) % n
			break
		}
	}
	return f
}

// permittedElsewhere returns the executors that the step is known to be permitted on and that may be
// given work, but that are not among the vms.
func (f *fleetSnapshot) permittedElsewhere(s *step, q *queue.Queue) []*vm {
	if f.included == nil {
		return nil
	}
	var vms []*vm
	for _, v := range f.cell.permittedVMs(s, q) {
		if _, included := f.included[v]; !included && f.cell.inService(v) && v.usable(f.now, &f.cell.cfg) {
			vms = append(vms, v)
		}
	}
	return vms
}

// freeAt returns the free capacity that is expected on each executor at a time. Tentative
// allocations are not subtracted.
func (f *fleetSnapshot) freeAt(at time.Time) []api.Resources {
	at = at.Round(0).Truncate(forecastResolution)
	free, known := f.freeByTime[at]
	if !known {
		ahead := at.Sub(f.now)
		free = make([]api.Resources, len(f.vms))
		for i, v := range f.vms {
			free[i] = v.free()
			for _, r := range f.expectedReleases()[i] {
				if r.after <= ahead {
					free[i] = free[i].Add(r.resources)
				}
			}
		}
		f.freeByTime[at] = free
	}
	return free
}

// release is capacity that is expected to become free.
type release struct {
	after     time.Duration // from the time of the snapshot
	resources api.Resources
}

// expectedReleases returns the expected ends of the runs on each executor. They are estimated once for a
// pass, which asks for the free capacity at many times.
func (f *fleetSnapshot) expectedReleases() [][]release {
	if f.releases != nil || len(f.vms) == 0 {
		return f.releases
	}
	f.releases = make([][]release, len(f.vms))
	for i, v := range f.vms {
		for _, alloc := range v.allocations {
			f.releases[i] = append(f.releases[i], release{alloc.expectedEndAt(f.now).Sub(f.now), alloc.resources})
		}
	}
	return f.releases
}

// preemptible returns for each executor the resources of the runs that a gang of the queue
// may preempt.
func (f *fleetSnapshot) preemptible(q *queue.Queue) []api.Resources {
	resources, known := f.preemptibleByPriority[q.Priority]
	if !known {
		resources = make([]api.Resources, len(f.vms))
		for i, v := range f.vms {
			resources[i] = f.cell.preemptibleResources(v, q, f.now)
		}
		f.preemptibleByPriority[q.Priority] = resources
	}
	return resources
}

// candidatesFor returns the executors on which the step may run at a time. The result is valid until the
// next call.
func (f *fleetSnapshot) candidatesFor(s *step, q *queue.Queue, at time.Time) candidates {
	out := &f.candidates
	out.valid, out.expired, out.unknown = out.valid[:0], out.expired[:0], out.unknown[:0]
	service, free := f.cell.serviceOf(s.job), f.freeAt(at)
	var freedByPreemption []api.Resources
	if s.spec.Gang && s.lateness == inTime {
		freedByPreemption = f.preemptible(q)
	}
	for i, v := range f.vms {
		available := free[i]
		if freedByPreemption != nil {
			available = available.Add(freedByPreemption[i])
		}
		out.add(v, s, service, available, at, f.now)
	}
	for _, v := range f.permittedElsewhere(s, q) {
		available := v.freeAt(at, f.now)
		if freedByPreemption != nil {
			available = available.Add(f.cell.preemptibleResources(v, q, f.now))
		}
		out.add(v, s, service, available, at, f.now)
	}
	return *out
}

// add adds an executor with some free capacity at a time, if the step may run there as far as is known.
func (out *candidates) add(v *vm, s *step, service string, free api.Resources, at, now time.Time) {
	permitted := s.advice.permissionOn(v)
	if permitted == permissionDenied || v.closedTo(s, now) || v.Service != service || (s.spec.RequiredLabel != "" && !v.HasLabel(s.spec.RequiredLabel)) {
		return
	}
	free = free.Sub(v.tentative).Sub(v.nominated)
	if len(v.held) > 0 {
		free = free.Sub(v.heldAt(s, at.Sub(now)))
	}
	cand := candidate{vm: v, slots: v.slotsIn(s, free)}
	if cand.slots > 0 && v.tooSlowFor(s, now) {
		cand.slots = 0
	}
	if cand.slots == 0 && len(s.advice.tickets) > 0 && !(permitted == permissionGranted && s.renewsAhead()) {
		return // later calls gain nothing from a full executor
	}
	switch {
	case permitted == permissionUnknown:
		out.unknown = append(out.unknown, cand)
	case at.Before(s.advice.tickets[v].validUntil):
		out.valid = append(out.valid, cand)
	default:
		out.expired = append(out.expired, cand)
	}
}

// chooseCandidates returns the candidates that a call should name so that a number of tasks
// fits: at least as many as are cheap to name, at most limit. A gang prefers executors of typical speed,
// and among these those with the most slots, so that it needs few of them. Other work prefers executors
// that it fills, by the score that also decides its placement. While calling machines are scarce, executors
// are named only for expected needs, however cheap they are to name; short steps keep the cheap ones,
// since they have no time for another call.
func (c *Cell) chooseCandidates(cands []candidate, s *step, q *queue.Queue, tasks, limit int, scarce bool) []candidate {
	for i := range cands {
		cands[i].placementScore = c.score(s, cands[i].vm, cands[i].vm.free().Sub(s.spec.TaskResources))
	}
	slices.SortStableFunc(cands, func(x, y candidate) int {
		switch {
		case s.spec.Gang && x.vm.speedRank() != y.vm.speedRank():
			return cmp.Compare(x.vm.speedRank(), y.vm.speedRank())
		case s.spec.Gang && x.slots != y.slots:
			return y.slots - x.slots
		case (x.slots > 0) != (y.slots > 0):
			return y.slots - x.slots
		default:
			return cmp.Compare(x.placementScore, y.placementScore)
		}
	})
	groupByRack(cands, s, tasks, c.grantShare(q))
	cheap := cheapCallSize(q.Advice)
	wantedSlots := slotMargin * float64(tasks) / (c.grantShare(q) * c.availableShare(q))
	if scarce && !s.renewsAhead() {
		return neededCandidates(cands, s, wantedSlots, limit)
	}
	found := 0
	for i, cand := range cands {
		if i >= limit || (i >= cheap && float64(found) >= wantedSlots) || (i >= c.cfg.MaxExecutorsPerCall && cand.slots == 0) {
			return cands[:i]
		}
		found += cand.slots
	}
	return cands
}

// cheapCallSize returns how many executors a call may name at little cost.
func cheapCallSize(a *queue.Advice) int {
	if a.TimePerVM <= 0 {
		return 1 << 20
	}
	return max(1, int(namingTimeShare*float64(a.DecisionTime)/float64(a.TimePerVM)))
}

// totalSlots returns how many tasks should fit on the candidates.
func totalSlots(cands []candidate) int {
	total := 0
	for _, cand := range cands {
		total += cand.slots
	}
	return total
}

// mostSlots returns up to limit of the candidates, those with the most slots first.
func mostSlots(cands []candidate, limit int) []candidate {
	slices.SortStableFunc(cands, func(x, y candidate) int { return y.slots - x.slots })
	return cands[:min(len(cands), limit)]
}

func executorIDs(cands []candidate) []string {
	ids := make([]string, len(cands))
	for i, cand := range cands {
		ids[i] = cand.vm.Ref.ID
	}
	return ids
}

// grantShare returns the expected share of named executors that are granted to steps of a
// queue, learned from earlier answers.
func (c *Cell) grantShare(q *queue.Queue) float64 {
	if share, ok := c.grantShares[q.Name]; ok {
		return max(share, minGrantShare)
	}
	return initialGrantShare
}

// availableShare returns which share of the capacity that a queue's calls count on is still
// free when they are answered.
func (c *Cell) availableShare(q *queue.Queue) float64 {
	if share, ok := c.availableShares[q.Name]; ok {
		return max(share, minAvailableShare)
	}
	return 1
}

// minAvailableShare bounds how far moments of high contention lower the available share.
const minAvailableShare = 0.25

// learnAvailableShare updates the available share of a queue with the capacity that the
// executors granted to a gang still have. If others have taken too much of it meanwhile,
// the gang has to call again, possibly for all the time that it has.
func (c *Cell) learnAvailableShare(s *step, q *queue.Queue, grants []platform.Grant, now time.Time) {
	if q == nil || !s.spec.Gang || len(grants) == 0 || s.advice.expectedSlots == 0 {
		return
	}
	slots := 0
	for _, g := range grants {
		if v := c.vms[g.Executor]; v != nil && c.suitable(s, q, v, now) {
			slots += v.slotsIn(s, v.freeFor(s).Add(c.preemptibleResources(v, q, now)))
		}
	}
	share := min(1, float64(slots)/(float64(len(grants))*s.advice.expectedSlots))
	old, ok := c.availableShares[q.Name]
	if !ok {
		old = 1
	}
	c.availableShares[q.Name] = old + callMeanWeight*(share-old)
}

// minGrantShare bounds how far a series of refusals lowers the expected grant share.
const minGrantShare = 0.05

// learnGrantShare updates the expected grant share of a queue with one answer.
func (c *Cell) learnGrantShare(q *queue.Queue, named, granted int) {
	if q == nil || named == 0 {
		return
	}
	share := float64(granted) / float64(named)
	old, ok := c.grantShares[q.Name]
	if !ok {
		old = initialGrantShare
	}
	c.grantShares[q.Name] = old + callMeanWeight*(share-old)
}
