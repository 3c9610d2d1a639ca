package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// waitingStep is a step with tasks that wait for a start, as admission sees it.
type waitingStep struct {
	rank            rank
	workspace       *workspace
	heldByCap       bool           // its workspace's cap keeps it back, so it takes nothing from others
	call            queue.CallTime // advice call that the step needs before it can start; zero if none
	milliCPUSeconds float64        // work of the tasks to place, in thousandths of a processor times seconds
}

// Backlog is the work of a cell that waits for a start.
type Backlog struct {
	steps    []waitingStep
	milliCPU float64 // capacity of the executors, in thousandths of a processor
}

// Backlog returns the work that waits at now.
func (c *Cell) Backlog(now time.Time) Backlog {
	b := Backlog{milliCPU: c.totalMilliCPU(now)}
	for _, s := range c.waitingSteps {
		tasks := s.countToPlace()
		if tasks == 0 || !s.ready || s.complete() {
			continue
		}
		w := waitingStep{
			workspace:       s.job.workspace,
			heldByCap:       s.heldByCap(tasks),
			rank:            c.rankOf(s, now),
			milliCPUSeconds: milliCPUSecondsOf(s.spec, tasks),
		}
		if q := c.queueOf(s.job); q != nil && q.Advice != nil && !s.advice.hasValidTicket(now) {
			w.call = q.Advice.CallTime(c.expectedCallSize(s))
		}
		b.steps = append(b.steps, w)
	}
	return b
}

// Shared returns the part of the backlog that competes for the executors. Steps that their
// workspaces' caps keep back don't.
func (b Backlog) Shared() Backlog {
	if !slices.ContainsFunc(b.steps, func(w waitingStep) bool { return w.heldByCap }) {
		return b
	}
	shared := Backlog{milliCPU: b.milliCPU}
	for _, w := range b.steps {
		if !w.heldByCap {
			shared.steps = append(shared.steps, w)
		}
	}
	return shared
}

// UnderCap returns the part of the backlog that shares the cap of a job's workspace, with the cap as
// its capacity. It is empty if the workspace has no cap on processors.
func (b Backlog) UnderCap(j *work.Job, limit api.Resources) Backlog {
	own := Backlog{milliCPU: float64(limit.MilliCPU)}
	if limit.MilliCPU == 0 || j.Workspace == 0 {
		return own
	}
	for _, w := range b.steps {
		if w.workspace != nil && w.workspace.id == j.Workspace {
			own.steps = append(own.steps, w)
		}
	}
	return own
}

// AheadOf returns the part of the backlog that would start before a new job: steps that can
// be in time and whose latest start is not after that of the job.
func (b Backlog) AheadOf(j *work.Job, q *queue.Queue, now time.Time) Backlog {
	latestStart := now.Add(objectiveFor(j, q) - j.CriticalPath())
	ahead := Backlog{milliCPU: b.milliCPU}
	for _, w := range b.steps {
		if !w.rank.Excess && w.rank.Lateness == inTime && !w.rank.LatestStart.After(latestStart) {
			ahead.steps = append(ahead.steps, w)
		}
	}
	return ahead
}

// AdviceCalls returns the advice calls that the waiting steps still need.
func (b Backlog) AdviceCalls() []queue.CallTime {
	var calls []queue.CallTime
	for _, w := range b.steps {
		if w.call.Total > 0 {
			calls = append(calls, w.call)
		}
	}
	return calls
}

// ProcessingTime returns how long all executors together need for the waiting tasks.
func (b Backlog) ProcessingTime() time.Duration {
	total := 0.0
	for _, w := range b.steps {
		total += w.milliCPUSeconds
	}
	return b.timeOnFleet(total)
}

// JobProcessingTime returns how long all executors together need for all tasks of a new
// job.
func (b Backlog) JobProcessingTime(j *work.Job) time.Duration {
	total := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		total += milliCPUSecondsOf(s, s.TaskCount)
	}
	return b.timeOnFleet(total)
}

// milliCPUSecondsOf returns the work of a number of tasks of a step, in thousandths of a
// processor times seconds.
func milliCPUSecondsOf(step *work.Step, tasks int) float64 {
	return float64(tasks) * float64(step.TaskResources.MilliCPU) * step.Estimate.Seconds()
}

// timeOnFleet returns how long all executors together need for an amount of work, or 0 if
// no capacity is known.
func (b Backlog) timeOnFleet(milliCPUSeconds float64) time.Duration {
	if b.milliCPU <= 0 {
		return 0
	}
	return time.Duration(milliCPUSeconds / b.milliCPU * float64(time.Second))
}

// ProcessingTimes is the processing time of a backlog, split by the lateness of its steps.
type ProcessingTimes struct {
	InTime, Late, Overdue time.Duration
}

// ProcessingTimes returns the backlog's processing time, split by the lateness of its
// steps.
func (b Backlog) ProcessingTimes() ProcessingTimes {
	var milliCPUSeconds [overdue + 1]float64
	for _, w := range b.steps {
		milliCPUSeconds[w.rank.Lateness] += w.milliCPUSeconds
	}
	return ProcessingTimes{InTime: b.timeOnFleet(milliCPUSeconds[inTime]), Late: b.timeOnFleet(milliCPUSeconds[late]), Overdue: b.timeOnFleet(milliCPUSeconds[overdue])}
}

// Processors returns the number of processors of the executors that process the backlog.
func (b Backlog) Processors() int { return int(b.milliCPU / 1000) }

// expectedCallSize estimates how many executors an advice call for the step would name.
func (c *Cell) expectedCallSize(s *step) int {
	if len(s.advice.tickets) > 0 {
		return len(s.advice.tickets)
	}
	return min(c.registeredByService[c.serviceOf(s.job)], c.cfg.MaxExecutorsPerCall)
}

// totalMilliCPU returns the processors of all executors that may be given work, in
// thousandths. A new leader also counts executors that have not reported to it yet. Without
// them the backlog would seem to need many times the capacity that there is.
func (c *Cell) totalMilliCPU(now time.Time) float64 {
	awaitingReports := now.Sub(c.ledSince) <= takeoverReportWait
	total := float64(c.inactiveCapacity.MilliCPU)
	for _, v := range c.calledVMs {
		inactive := !v.active && len(v.allocations) == 0 // counted above
		if c.inService(v) && (v.hasReported || awaitingReports) && !v.Draining && !inactive {
			total += float64(v.Capacity.MilliCPU)
		}
	}
	return total
}

// FirstAdviceCall returns the size and cost expected of a first advice call for a job of
// the queue, or the zero CallTime if the queue needs no advice.
func (c *Cell) FirstAdviceCall(q *queue.Queue) queue.CallTime {
	if q == nil || q.Advice == nil {
		return queue.CallTime{}
	}
	return q.Advice.CallTime(min(c.registeredByService[q.Service], c.cfg.MaxExecutorsPerCall))
}

// MaxUsefulWait returns how long a job may wait for its first start and still end in time
// to be useful.
func MaxUsefulWait(j *work.Job, q *queue.Queue) time.Duration {
	if j.LongRunning() || j.Repetitions > 0 {
		return admission.BacklogThreshold
	}
	return min(admission.BacklogThreshold, overdueFactor*objectiveFor(j, q)-j.CriticalPath())
}
