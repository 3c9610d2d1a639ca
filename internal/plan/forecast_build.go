package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/forecast"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/startorder"
	"github.com/skylarklock/skylarklock/internal/work"
)

// updateForecasts builds the profiles anew if they are older than forecastInterval.
func (c *Cell) updateForecasts(now time.Time) {
	if c.cfg.Overload && now.Sub(c.ledSince) > takeoverReportWait && now.Sub(c.forecasts.builtAt) >= forecastInterval {
		c.buildForecasts(now)
	}
}

// buildForecasts builds the profiles.
func (c *Cell) buildForecasts(now time.Time) {
	former := c.forecasts.services
	c.forecasts.services, c.forecasts.builtAt = make(map[string]*serviceForecast), now
	for _, v := range c.sortedVMs {
		c.addToForecast(v, now)
	}
	for _, r := range c.forecastRanks(now) {
		if s := c.forecasts.services[c.serviceOf(r.step.job)]; s != nil {
			s.waiting = append(s.waiting, forecastEntry{r, c.waitingDemand(r, now)})
		}
	}
	for name, s := range c.forecasts.services {
		s.retries, s.arrivals = &forecast.Retries{}, &forecast.Arrivals{}
		if f := former[name]; f != nil {
			s.retries, s.arrivals = f.retries, f.arrivals
		}
		s.build(c.largestGang, now)
	}
}

// build builds the profile of the service.
func (s *serviceForecast) build(largestGang *step, now time.Time) {
	for _, d := range s.arrivals.Expect(forecast.MaxHorizon, now) {
		s.waiting = append(s.waiting, forecastEntry{rank{Rank: startorder.Rank{Policy: startorder.Delays, LatestStart: now.Add(d.LatestStart)}}, d})
	}
	slices.SortStableFunc(s.waiting, func(a, b forecastEntry) int { return a.rank.compare(b.rank) })
	if largestGang != nil {
		first := slices.IndexFunc(s.waiting, func(e forecastEntry) bool { return e.rank.step == largestGang })
		if first > 0 {
			largest := s.waiting[first]
			copy(s.waiting[1:first+1], s.waiting[:first])
			s.waiting[0] = largest
		}
	}
	demands := make([]forecast.Demand, len(s.waiting))
	for i := range s.waiting {
		demands[i] = s.waiting[i].demand
	}
	s.profile = forecast.Build(forecast.MaxHorizon, s.executors, s.releases, demands)
}

// addToForecast adds an executor to the forecast of its service.
func (c *Cell) addToForecast(v *vm, now time.Time) {
	e, counts := c.forecastExecutor(v, now)
	if !counts {
		return
	}
	s := c.forecasts.services[v.Service]
	if s == nil {
		s = &serviceForecast{}
		c.forecasts.services[v.Service] = s
	}
	s.executors = append(s.executors, e)
	for _, alloc := range v.allocations {
		after := max(overdueEndDelay, alloc.expectedEndAt(now).Sub(now))
		s.releases = append(s.releases, forecast.Release{After: after, Capacity: forecastCapacity(alloc.resources)})
	}
}

// forecastExecutor returns the capacity of an executor. Only executors count that may be given
// work, or that aren't called because there is too little work.
func (c *Cell) forecastExecutor(v *vm, now time.Time) (e forecast.Executor, counts bool) {
	uncalled := !v.active && !v.Draining && len(v.allocations) == 0
	if !c.inService(v) || !uncalled && !v.usable(now, &c.cfg) {
		return forecast.Executor{}, false
	}
	free := forecastCapacity(v.free())
	free.MilliCPU, free.MemoryMB = max(0, free.MilliCPU), max(0, free.MemoryMB)
	return forecast.Executor{Capacity: forecastCapacity(v.Capacity), Free: free}, true
}

func forecastCapacity(r api.Resources) forecast.Capacity {
	return forecast.Capacity{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB}
}

// forecastRanks returns the ranks of the steps that wait for a start, and of those that wait
// for other steps of their jobs.
func (c *Cell) forecastRanks(now time.Time) []rank {
	var ranks []rank
	for _, s := range c.waitingSteps {
		if !s.ready || s.complete() {
			continue
		}
		if n := s.countToPlace(); n > 0 && !s.heldByCap(n) {
			ranks = append(ranks, c.rankOf(s, now))
		}
		if s.occ.firstOpenStep() != s {
			continue // the steps to come are added once
		}
		for _, other := range s.occ.steps {
			if !other.ready {
				ranks = append(ranks, c.rankOf(other, now))
			}
		}
	}
	return ranks
}

// firstOpenStep returns the first ready step that has not ended, or nil.
func (o *occurrence) firstOpenStep() *step {
	for _, s := range o.steps {
		if s.ready && !s.complete() {
			return s
		}
	}
	return nil
}

// waitingDemand returns what a step still has to start.
func (c *Cell) waitingDemand(r rank, now time.Time) forecast.Demand {
	s, q := r.step, c.queueOf(r.step.job)
	tasks := s.countToPlace()
	d := c.demandOf(s.spec, q, tasks)
	d.LatestStart = r.LatestStart.Sub(now)
	d.NotBefore = max(s.earliestStart(), s.retryAt.Sub(now))
	if s.ready && !c.plannedAt.IsZero() && s.offeredAt.Equal(c.plannedAt) {
		d.NotBefore = c.plannedAt.Sub(now) // it could have started then
	}
	if q != nil && q.Advice != nil && !s.advice.hasValidTicket(now) {
		d.NotBefore = max(d.NotBefore, q.Advice.CallTime(c.expectedCallSize(s)).Total)
	}
	return d
}

// earliestStart returns how long the steps that a step waits for still take at least.
func (s *step) earliestStart() time.Duration {
	if s.ready {
		return 0
	}
	earliest := time.Duration(0)
	for _, i := range s.spec.DependsOn {
		if before := s.occ.steps[i]; !before.complete() {
			earliest = max(earliest, before.earliestStart()+before.spec.Estimate)
		}
	}
	return earliest
}

// demandOf returns the demand of a number of a step's tasks.
func (c *Cell) demandOf(spec *work.Step, q *queue.Queue, tasks int) forecast.Demand {
	d := forecast.Demand{Tasks: tasks, Task: forecastCapacity(spec.TaskResources), Run: spec.Estimate, Gang: spec.Gang, Share: 1}
	if q != nil && q.Advice != nil {
		d.Share = c.grantShare(q)
	}
	return d
}
