package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// waiting is a step that waits in a cell.
type waiting struct {
	turn   turn
	advice queue.Call // that it needs; zero: none
	work   float64    // of its waiting tasks: thousandths of a processor, times seconds
}

// Backlog is the work that waits in a cell.
type Backlog struct {
	steps    []waiting
	capacity float64 // thousandths of a processor
}

// Backlog returns the work that waits now.
func (c *Cell) Backlog(now time.Time) Backlog {
	b := Backlog{capacity: c.capacity(now)}
	for _, s := range c.waiting {
		tasks := len(s.unplaced())
		if tasks == 0 || !s.ready || s.complete() {
			continue
		}
		w := waiting{
			turn: c.turnOf(s, now),
			work: workOf(s.spec, tasks),
		}
		if q := c.queue(s.job); q != nil && q.Advice != nil && !s.advice.anyValid(now) {
			w.advice = q.Advice.Call(c.advised(s))
		}
		b.steps = append(b.steps, w)
	}
	return b
}

// AheadOf returns the part of the backlog that comes before a new job.
func (b Backlog) AheadOf(j *work.Job, q *queue.Queue, now time.Time) Backlog {
	latest := now.Add(objectiveOf(j, q) - j.Chain())
	before := Backlog{capacity: b.capacity}
	for _, w := range b.steps {
		if w.turn.stands == inTime && !w.turn.latest.After(latest) {
			before.steps = append(before.steps, w)
		}
	}
	return before
}

// AdviceCalls returns the calls for advice that wait.
func (b Backlog) AdviceCalls() []queue.Call {
	var calls []queue.Call
	for _, w := range b.steps {
		if w.advice.Cost > 0 {
			calls = append(calls, w.advice)
		}
	}
	return calls
}

// ProcessingTime returns how long all executors together need for the tasks that wait.
func (b Backlog) ProcessingTime() time.Duration {
	total := 0.0
	for _, w := range b.steps {
		total += w.work
	}
	return b.room(total)
}

// JobProcessingTime returns how long all executors together need for a job that is new.
func (b Backlog) JobProcessingTime(j *work.Job) time.Duration {
	total := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		total += workOf(s, s.Tasks)
	}
	return b.room(total)
}

// workOf returns the work of so many tasks of a step, in thousandths of a processor
// times seconds.
func workOf(s *work.Step, tasks int) float64 {
	return float64(tasks) * float64(s.Need.MilliCPU) * s.Estimate.Seconds()
}

// room returns how long all executors together need for some work; 0 if none is known.
func (b Backlog) room(work float64) time.Duration {
	if b.capacity <= 0 {
		return 0
	}
	return time.Duration(work / b.capacity * float64(time.Second))
}

// ProcessingTimes is the room that a backlog needs, by what its steps can still earn.
type ProcessingTimes struct {
	InTime, Late, Overdue time.Duration
}

// ProcessingTimes returns the room that the backlog needs, by what its steps can still earn.
func (b Backlog) ProcessingTimes() ProcessingTimes {
	var work [overdue + 1]float64
	for _, w := range b.steps {
		work[w.turn.stands] += w.work
	}
	return ProcessingTimes{InTime: b.room(work[inTime]), Late: b.room(work[late]), Overdue: b.room(work[overdue])}
}

// Processors returns those of the executors that the backlog waits for.
func (b Backlog) Processors() int { return int(b.capacity / 1000) }

// advised returns about how many executors a call for advice would name.
func (c *Cell) advised(s *step) int {
	if len(s.advice.tickets) > 0 {
		return len(s.advice.tickets)
	}
	return min(c.pools[c.service(s.job)], c.cfg.MaxExecutorsPerCall)
}

// capacity returns the processors of all executors that may be given work, in
// thousandths. A new leader counts on those that are yet to report, or what waits would
// seem to need many times the room that there is.
func (c *Cell) capacity(now time.Time) float64 {
	gathering := now.Sub(c.began) <= gatherFor
	total := 0.0
	for _, v := range c.sorted {
		if c.serves(v) && (v.known || gathering) && !v.Draining {
			total += float64(v.Capacity.MilliCPU)
		}
	}
	return total
}

// FirstAdviceCall returns what a first call for advice for a job of the queue is expected
// to take; zero if none is needed.
func (c *Cell) FirstAdviceCall(q *queue.Queue) queue.Call {
	if q == nil || q.Advice == nil {
		return queue.Call{}
	}
	return q.Advice.Call(min(c.pools[q.Service], c.cfg.MaxExecutorsPerCall))
}

// MaxUsefulWait returns for how long a job may wait for its first start and still
// be of use.
func MaxUsefulWait(j *work.Job, q *queue.Queue) time.Duration {
	if j.LongRunning() || j.Repetitions > 0 {
		return admission.LongestWait
	}
	return min(admission.LongestWait, lateFactor*objectiveOf(j, q)-j.Chain())
}
