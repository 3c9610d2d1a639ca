package plan

import (
	"time"

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
	b := Backlog{capacity: c.capacity()}
	for _, s := range c.waiting {
		tasks := len(s.unplaced())
		if tasks == 0 || !s.ready || s.complete() {
			continue
		}
		w := waiting{
			turn: c.turnOf(s, now),
			work: float64(tasks) * float64(s.spec.Need.MilliCPU) * s.spec.Estimate.Seconds(),
		}
		if q := c.queue(s.job); q != nil && q.Advice != nil && !s.advice.anyValid(now) {
			w.advice = q.Advice.Call(c.advised(s))
		}
		b.steps = append(b.steps, w)
	}
	return b
}

// Before returns the part of the backlog that comes before a new job.
func (b Backlog) Before(j *work.Job, q *queue.Queue, now time.Time) Backlog {
	latest := now.Add(objectiveOf(j, q) - j.Chain())
	before := Backlog{capacity: b.capacity}
	for _, w := range b.steps {
		if w.turn.stands == inTime && !w.turn.latest.After(latest) {
			before.steps = append(before.steps, w)
		}
	}
	return before
}

// Advice returns the calls for advice that wait.
func (b Backlog) Advice() []queue.Call {
	var calls []queue.Call
	for _, w := range b.steps {
		if w.advice.Cost > 0 {
			calls = append(calls, w.advice)
		}
	}
	return calls
}

// Room returns how long all executors together need for the tasks that wait.
func (b Backlog) Room() time.Duration {
	if b.capacity <= 0 {
		return 0
	}
	total := 0.0
	for _, w := range b.steps {
		total += w.work
	}
	return time.Duration(total / b.capacity * float64(time.Second))
}

// Waiting is the room that a backlog needs, by what its steps can still earn.
type Waiting struct {
	InTime, Late, Overdue time.Duration
}

// Waiting returns the room that the backlog needs, by what its steps can still earn.
func (b Backlog) Waiting() Waiting {
	part := func(of standing) time.Duration {
		only := Backlog{capacity: b.capacity}
		for _, w := range b.steps {
			if w.turn.stands == of {
				only.steps = append(only.steps, w)
			}
		}
		return only.Room()
	}
	return Waiting{InTime: part(inTime), Late: part(late), Overdue: part(overdue)}
}

// Processors returns those of the executors that the backlog waits for.
func (b Backlog) Processors() int { return int(b.capacity / 1000) }

// advised returns about how many executors a call for advice would name.
func (c *Cell) advised(s *step) int {
	if len(s.advice.tickets) > 0 {
		return len(s.advice.tickets)
	}
	return min(c.pools[c.service(s.job)], c.cfg.MostAdvised)
}

// capacity returns the processors of all executors that may be given work, in
// thousandths.
func (c *Cell) capacity() float64 {
	total := 0.0
	for _, v := range c.sorted {
		if c.serves(v) && v.known && !v.Draining {
			total += float64(v.Capacity.MilliCPU)
		}
	}
	return total
}

// FirstAsk returns what a first call for advice for a job of the queue is expected
// to take; zero if none is needed.
func (c *Cell) FirstAsk(q *queue.Queue) queue.Call {
	if q == nil || q.Advice == nil {
		return queue.Call{}
	}
	return q.Advice.Call(min(c.pools[q.Service], c.cfg.MostAdvised))
}

// LongestWait bounds the whole backlog that a job may be accepted with. Clients of a
// job that waits longer gain nothing by its acceptance, and what has been
// accepted has to be started within some 10 s even when nothing new comes.
const LongestWait = 8 * time.Second

// UsefulWait returns for how long a job may wait for its first start and still
// be of use.
func UsefulWait(j *work.Job, q *queue.Queue) time.Duration {
	if j.LongRunning() || j.Repetitions > 0 {
		return LongestWait
	}
	return min(LongestWait, lateFactor*objectiveOf(j, q)-j.Chain())
}
