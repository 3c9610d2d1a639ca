package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/work"
)

// gangHolder holds capacity for gangs that don't fit.
type gangHolder interface {
	// begin adjusts what is held at the beginning of a planning pass.
	begin(now time.Time)
	// gather holds capacity for a gang of which so many tasks couldn't be placed.
	gather(s *step, tasks int, now time.Time)
	// drop frees what is held for a step, if anything is.
	drop(s *step, cause gather.Cause)
	// planOf returns the plan of a gang, or nil if it has none.
	planOf(s *step) *gather.Reservation
	// addSummary adds fields to the summary and begins the counts anew.
	addSummary(fields logrus.Fields)
}

// gathering holds the slots of gangs' plans (package gather). State is kept in memory only: a
// new leader makes its own plans.
type gathering struct {
	cell    *Cell
	keepers map[string]*gather.Keeper // by service
	steps   map[work.StepKey]*step    // gangs with plans
	vms     map[int]*vm               // executors that were offered, by index
	holding []*vm                     // executors with held slots

	now      time.Time                // of the current pass
	releases map[*vm][]gather.Release // of the current pass
	idle     int64                    // thousandths of a processor that are free and held, as of the newest pass
	idleTime float64                  // core-seconds held idle since the last summary
}

func newGathering(c *Cell) *gathering {
	return &gathering{cell: c, keepers: make(map[string]*gather.Keeper), steps: make(map[work.StepKey]*step), vms: make(map[int]*vm)}
}

func (g *gathering) begin(now time.Time) {
	if !g.now.IsZero() {
		g.idleTime += float64(g.idle) / 1000 * now.Sub(g.now).Seconds()
	}
	g.now = now
	g.releases = make(map[*vm][]gather.Release)
	g.idle = 0
	if len(g.steps) == 0 {
		clear(g.vms)
		return
	}
	waiting := make(map[string]map[work.StepKey]gather.Request)
	for key, s := range g.steps {
		if s.waiting && s.mayGather(s.countToPlace()) {
			service := g.cell.serviceOf(s.job)
			if waiting[service] == nil {
				waiting[service] = make(map[work.StepKey]gather.Request)
			}
			waiting[service][key] = g.cell.gatherRequest(s, s.countToPlace(), now)
		}
	}
	for service, keeper := range g.keepers {
		keeper.Review(waiting[service], g.capacity(service), g, now)
	}
	g.apply()
	for _, v := range g.holding {
		g.idle += min(v.heldFrom(nil).MilliCPU, max(0, v.free().MilliCPU))
	}
}

// mayGather reports whether slots may be held for a gang with some tasks to place: only
// missing capacity keeps it back, and it would be of use.
func (s *step) mayGather(tasks int) bool {
	return s.ready && s.spec.Gang && tasks > 0 && s.lateness != overdue && !s.job.excess && !s.heldByCap(tasks)
}

// gatherRequest describes a gang that waits for capacity.
func (c *Cell) gatherRequest(s *step, tasks int, now time.Time) gather.Request {
	latestStart := c.rankOf(s, now).LatestStart
	r := gather.Request{
		Gang: s.key(), Width: tasks, Task: s.spec.TaskResources, LatestStart: latestStart,
		LatestUseful: latestStart.Add((overdueFactor - 1) * s.job.latencyObjective), First: s == c.largestGang, Late: s.lateness != inTime,
	}
	if s.spec.LongRunning {
		r.LatestUseful = now.Add(gather.Horizon)
	}
	return r
}

// capacity returns the capacity of a service's usable executors, in thousandths of a processor.
func (g *gathering) capacity(service string) int64 {
	total := int64(0)
	for _, v := range g.cell.calledVMs {
		if v.Service == service && v.usable(g.now, &g.cell.cfg) {
			total += v.Capacity.MilliCPU
		}
	}
	return total
}

func (g *gathering) gather(s *step, tasks int, now time.Time) {
	if !s.mayGather(tasks) || g.steps[s.key()] != nil {
		return
	}
	service := g.cell.serviceOf(s.job)
	keeper := g.keepers[service]
	if keeper == nil {
		keeper = gather.NewKeeper()
		g.keepers[service] = keeper
		keeper.Review(nil, g.capacity(service), g, now)
	}
	g.steps[s.key()] = s
	if !keeper.Gather(g.cell.gatherRequest(s, tasks, now), g, now) {
		delete(g.steps, s.key())
		return
	}
	g.apply()
}

func (g *gathering) drop(s *step, cause gather.Cause) {
	if g.steps[s.key()] == nil {
		return
	}
	for _, keeper := range g.keepers {
		keeper.Drop(s.key(), cause)
	}
	g.apply()
}

func (g *gathering) planOf(s *step) *gather.Reservation {
	if g.steps[s.key()] != s {
		return nil
	}
	if keeper := g.keepers[g.cell.serviceOf(s.job)]; keeper != nil {
		return keeper.PlanOf(s.key())
	}
	return nil
}

// apply has the executors hold exactly the slots of all plans.
func (g *gathering) apply() {
	for _, v := range g.holding {
		v.held = nil
	}
	g.holding = g.holding[:0]
	planned := make(map[work.StepKey]*step)
	for _, keeper := range g.keepers {
		plans := keeper.Plans()
		slices.SortStableFunc(plans, func(a, b *gather.Reservation) int { return a.Start.Compare(b.Start) })
		for _, p := range plans {
			s := g.steps[p.Request.Gang]
			planned[p.Request.Gang] = s
			for _, slots := range p.Slots {
				v := g.vms[slots.Executor]
				if len(v.held) == 0 {
					g.holding = append(g.holding, v)
				}
				v.held = append(v.held, heldSlots{gang: s, resources: p.Resources(slots), released: g.releasedBy(v, p.Start), startsIn: p.Start.Sub(g.now)})
			}
		}
	}
	g.steps = planned
}

// releasedBy returns the capacity that should become free on an executor up to a time.
func (g *gathering) releasedBy(v *vm, at time.Time) api.Resources {
	var total api.Resources
	for _, release := range g.releasesOf(v) {
		if release.At.After(at) {
			break
		}
		total = total.Add(release.Resources)
	}
	return total
}

// releasesOf returns the capacity that should become free on an executor, by time.
func (g *gathering) releasesOf(v *vm) []gather.Release {
	releases, known := g.releases[v]
	if known {
		return releases
	}
	for _, alloc := range v.allocations {
		releases = append(releases, gather.Release{At: alloc.expectedEndAt(g.now), Resources: alloc.resources})
	}
	slices.SortFunc(releases, func(a, b gather.Release) int { return a.At.Compare(b.At) })
	g.releases[v] = releases
	return releases
}

// Offer implements gather.Source.
func (g *gathering) Offer(gang work.StepKey, executor int) (gather.Offer, bool) {
	s, v := g.steps[gang], g.vms[executor]
	if s == nil || v == nil || g.cell.vms[v.Ref.ID] != v {
		return gather.Offer{}, false
	}
	q := g.cell.queueOf(s.job)
	if !s.permittedOn(q, v) || s.excludedByRack(v) || !g.cell.suitable(s, q, v, g.now) {
		return gather.Offer{}, false
	}
	return g.offerOf(v, s), true
}

// Offers implements gather.Source.
func (g *gathering) Offers(gang work.StepKey) []gather.Offer {
	s := g.steps[gang]
	if s == nil {
		return nil
	}
	q := g.cell.queueOf(s.job)
	var offers []gather.Offer
	for _, v := range g.cell.permittedVMs(s, q) {
		if s.spec.TaskResources.Fits(v.Capacity) && !s.excludedByRack(v) && g.cell.suitable(s, q, v, g.now) {
			g.vms[v.index] = v
			offers = append(offers, g.offerOf(v, s))
		}
	}
	return offers
}

func (g *gathering) offerOf(v *vm, s *step) gather.Offer {
	o := gather.Offer{Executor: v.index, Free: v.free().Sub(v.nominated).Add(s.preemption.nominated[v]), Releases: g.releasesOf(v), MaxTasks: len(s.tasks)}
	if s.spec.MaxPerVM > 0 {
		o.MaxTasks = max(0, s.spec.MaxPerVM-v.runsOf(s))
	}
	if v.onTrial(&g.cell.cfg) {
		o.MaxTasks = min(o.MaxTasks, 1)
	}
	return o
}

func (g *gathering) addSummary(fields logrus.Fields) {
	dropped := make(map[gather.Cause]int)
	plans := 0
	for _, keeper := range g.keepers {
		plans += len(keeper.Plans())
		for cause, n := range keeper.TakeDropped() {
			dropped[cause] += n
		}
	}
	for _, cause := range gather.Causes() {
		fields["gang_plans_"+cause.String()] = dropped[cause]
	}
	fields["gang_plans"] = plans
	fields["held_idle_core_seconds"] = int64(g.idleTime)
	g.idleTime = 0
}
