package plan

import (
	"sort"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/forecast"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/startorder"
	"github.com/skylarklock/skylarklock/internal/work"
)

// FreeNow reports whether the first steps of a job that is submitted now may start on executors that
// are free, beside the waiting steps ahead of it. The job can't start before a delay.
func (c *Cell) FreeNow(j *work.Job, q *queue.Queue, delay time.Duration, now time.Time) bool {
	if q == nil {
		return false
	}
	job := c.forecastJob(j, q, 0, delay, now)
	r := c.rankOfNew(j, objectiveFor(j, q), now)
	executors := c.executorsFor(c.newJobStep(j, q, r, now), q.Service, delay, now)
	if !forecast.FitsNow(executors, &job) {
		return false
	}
	var ahead []forecast.Demand
	for _, o := range c.forecastRanks(now) {
		if c.serviceOf(o.step.job) == q.Service && o.compare(r) <= 0 {
			ahead = append(ahead, c.waitingDemand(o, now))
		}
	}
	return forecast.FitsNow(executors, &job, ahead)
}

// rankOfNew returns the position of a job that is submitted now and has some time until its objective.
func (c *Cell) rankOfNew(j *work.Job, objective time.Duration, now time.Time) rank {
	r := rank{Rank: startorder.Rank{Policy: c.startPolicy(), LatestStart: now.Add(objective - j.CriticalPath())}}
	if !now.Before(r.LatestStart) && !j.LongRunning() {
		r.Lateness = late
	}
	if w := c.workspaceOf(j.Workspace); w != nil {
		r.Excess, r.OverShare = !w.hasJobToken(now), w.overShare
	}
	return r
}

// newJobStep returns a step that stands for those with which a new job starts: the longest of them.
func (c *Cell) newJobStep(j *work.Job, q *queue.Queue, r rank, now time.Time) *step {
	longest := &j.Steps[0]
	for i := range j.Steps {
		if s := &j.Steps[i]; len(s.DependsOn) == 0 && s.Estimate > longest.Estimate {
			longest = s
		}
	}
	position := sort.Search(len(c.orderedSteps), func(i int) bool { return c.rankOf(c.orderedSteps[i], now).compare(r) > 0 })
	return &step{job: &job{spec: j, queue: q, queueConfig: c.queueConfig}, spec: longest, position: position, latestStart: r.LatestStart}
}

// executorsFor returns the executors of a service on which a step may start after a delay, with the
// part of their free capacity that it may use.
func (c *Cell) executorsFor(s *step, service string, delay time.Duration, now time.Time) []forecast.Executor {
	var out []forecast.Executor
	for _, v := range c.sortedVMs {
		if v.Service != service || s.spec.RequiredLabel != "" && !v.HasLabel(s.spec.RequiredLabel) {
			continue
		}
		e, counts := c.forecastExecutor(v, now)
		if !counts || v.closedTo(s, now) || v.tooSlowFor(s, now.Add(delay)) {
			continue
		}
		free := positive(v.freeFor(s))
		e.Free = forecastCapacity(free)
		if accelerators := s.spec.TaskResources.Accelerators; accelerators > 0 {
			e.Free = e.Free.Min(forecastCapacity(scale(s.spec.TaskResources, float64(free.Accelerators/accelerators))))
		}
		if v.active || len(v.allocations) > 0 {
			e.Released = forecastCapacity(positive(free.Sub(positive(v.freeAfterPlan))))
		}
		out = append(out, e)
	}
	return out
}

// positive replaces negative fields by zero.
func positive(r api.Resources) api.Resources { return maxResources(r, api.Resources{}) }

// noteFree records what the executors have free after a pass over the waiting steps.
func (c *Cell) noteFree(now time.Time) {
	c.plannedAt = now
	for _, v := range c.calledVMs {
		v.freeAfterPlan = v.free()
	}
}
