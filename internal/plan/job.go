package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// job is one job that has not ended, as the leader plans it.
type job struct {
	queue       *queue.Queue  // as configured in table; nil if it was removed
	table       *queue.Table  // of which queue is
	attempts    int           // of each task, as last configured; 0: never known here
	within      time.Duration // latency objective by that
	spec        *work.Job
	arrived     time.Time
	state       work.State
	next        int             // occurrence that is due next
	finished    int             // occurrences numbered below this have ended
	ended       map[int]bool    // further occurrences that have ended
	running     []*occurrence   // that have begun and not ended, by number
	dirty       bool            // the durable record is behind
	toldRunning bool            // the durable record says that the job runs
	advised     time.Time       // when executors were first granted
	started     time.Time       // when an executor first confirmed a start
	canaries    map[int]*canary // by step; what was lost under its tasks
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	due    time.Time // when it may start
	steps  []*step
	left   int // steps that have not ended
}

// step is one step of an occurrence.
type step struct {
	job       *job
	occ       *occurrence
	index     int
	spec      *work.Step
	tasks     []*task
	done      int
	fails     int    // runs of the gang that failed
	failed    uint32 // newest of them
	ready     bool
	advice    advice
	left      time.Duration // longest chain of estimated run times from this step on
	waiting   bool          // is in the cell's list of steps with tasks to place
	stands    standing      // as of the newest order
	gathered  gathering
	isolation isolation
	refusals  int       // of starts in a row, for what the order says
	retryAt   time.Time // no start is sent before this
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	phase      work.Phase
	run        uint32 // newest
	failures   int
	losses     losses
	lostOn     work.Life // with which the newest lost run went
	checkpoint string
	claims     int       // runs that may exist
	vm         work.Life // of the newest run
	held       *heldBack // nil: it isn't
	failedAt   *vm       // where the newest failed run was
	yields     int       // how often a run was stopped for others
	moves      int       // how often a run was stopped since its executor was slow
}

func (s *step) key() work.StepKey {
	return work.StepKey{Job: s.job.spec.ID, Occurrence: s.occ.number, Step: s.index}
}

func (t *task) key() work.TaskKey { return work.TaskKey{StepKey: t.step.key(), Index: t.index} }

// placeable reports whether the task waits for a start and nothing of it can
// be running.
func (t *task) placeable() bool { return t.phase == work.Pending && t.claims == 0 && t.held == nil }

// complete reports whether all tasks of the step have ended.
func (s *step) complete() bool { return s.done == len(s.tasks) }

// unplaced returns the tasks that wait for a start. A gang waits whole.
func (s *step) unplaced() []*task {
	var waiting []*task
	for _, t := range s.tasks {
		switch {
		case t.placeable():
			waiting = append(waiting, t)
		case s.spec.Gang:
			return nil
		}
	}
	if s.inCanary() {
		return s.nextCanary(waiting)
	}
	return waiting
}

// newOccurrence returns the number-th run of the job's steps.
func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due, left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{job: j, occ: o, index: i, spec: &j.spec.Steps[i], left: j.spec.Remaining(i)}
		s.tasks = make([]*task, s.spec.Tasks)
		for k := range s.tasks {
			s.tasks[k] = &task{step: s, index: k}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// stepReady reports whether all steps that s waits for have ended.
func (o *occurrence) stepReady(s *step) bool {
	for _, before := range s.spec.After {
		if !o.steps[before].complete() {
			return false
		}
	}
	return true
}

// objectiveOf returns within what time after its arrival an occurrence of a
// job should end.
func objectiveOf(j *work.Job, q *queue.Queue) time.Duration {
	if q == nil {
		return j.Chain()
	}
	return q.Objective(j.Chain())
}

// from returns when the occurrence's time began to count.
func (j *job) from(o *occurrence) time.Time {
	if j.spec.Repetitions > 0 {
		return o.due
	}
	return j.arrived
}

// endOccurrence notes that an occurrence has ended.
func (j *job) endOccurrence(o *occurrence) {
	j.running = slices.DeleteFunc(j.running, func(other *occurrence) bool { return other == o })
	if j.ended == nil {
		j.ended = make(map[int]bool)
	}
	j.ended[o.number] = true
	for j.ended[j.finished] {
		delete(j.ended, j.finished)
		j.finished++
	}
}

// progress returns the durable record of the job.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state, Finished: j.finished}
	if j.state.Final() {
		return p
	}
	for number := range j.ended {
		p.Ended = append(p.Ended, number)
	}
	slices.Sort(p.Ended)
	places := make(map[work.Life]int)
	for _, o := range j.running {
		p.Occurrences = append(p.Occurrences, o.progress(p, places))
	}
	return p
}

func (o *occurrence) progress(p *work.Progress, places map[work.Life]int) work.Occurrence {
	out := work.Occurrence{Number: o.number}
	for _, s := range o.steps {
		row := make([]work.TaskProgress, len(s.tasks))
		for i, t := range s.tasks {
			row[i] = work.TaskProgress{Phase: t.phase, Run: t.run, Failures: uint8(min(t.failures, 255)), Checkpoint: t.checkpoint}
			row[i].Crashes, row[i].Losses = t.losses.record()
			if t.phase == work.Started || (t.phase == work.Pending && (t.claims > 0 || t.held != nil)) {
				row[i].Phase = work.Started
				row[i].VM = place(p, places, t.vm)
			}
		}
		out.Steps = append(out.Steps, row)
	}
	return out
}

// place returns the index of an executor's life in the record's list.
func place(p *work.Progress, places map[work.Life]int, life work.Life) int {
	i, ok := places[life]
	if !ok {
		i = len(p.VMs)
		places[life] = i
		p.VMs = append(p.VMs, life)
	}
	return i
}
