package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Cell is the state of one cell as its leader plans it. Its user guards it.
type Cell struct {
	cfg       Config
	events    *logrus.Entry
	lookup    func(work.ID) *work.Job // any stored job, also one that has ended; nil if unknown
	table     *queue.Table
	pools     map[string]int    // number of listed executors by service
	began     time.Time         // when this leader took over
	vms       map[string]*vm    // by id
	lives     map[string]uint64 // by id: former lives of executors that were let go of
	sorted    []*vm             // by id
	jobs      map[work.ID]*job
	ended     map[work.ID]struct{} // jobs that ended under this leader; their records may be read again
	waiting   []*step              // with tasks to place
	inTurn    []*step              // these, as the newest plan took their turns
	unordered bool                 // jobs have come since
	timed     []*job               // with occurrences to come
	begun     []*job               // that began of late, in this order
	dirty     []*job               // whose durable record is behind
	stops     []Stop               // to be sent
	unstopped []*claim             // whose newest stop may have had no effect
	now       time.Time            // of the newest call that brought the time
	granted   map[string]float64   // by queue: moving mean of the share of executors granted
	kept      map[string]float64   // by queue: moving mean of the part of the room counted on that gangs find
	usual     float64              // moving mean of the fleet\'s run times to estimates
	asked     asked                // calls for advice since the last summary
	explained time.Time            // when waiting steps were last explained
	yielded   int                  // runs stopped for others since the last summary
	failures  startFailures        // since the last summary
	held      []*task              // that may not start yet, since an order of theirs isn't settled
	silences  []time.Time          // when executors fell silent that were lost of late
	images    map[string]time.Time // whose tasks had a job given up, and when
}

// Stop is an order to stop a run.
type Stop struct {
	To         platform.ExecutorRef
	DataCentre string // of the executor
	Run        platform.Run
	Token      uint64 // fencing token
}

// NewCell returns a cell without jobs and executors, led from now on.
func NewCell(cfg Config, lookup func(work.ID) *work.Job, events *logrus.Entry, now time.Time) *Cell {
	return &Cell{
		cfg:     cfg,
		events:  events,
		lookup:  lookup,
		table:   &queue.Table{},
		began:   now,
		vms:     make(map[string]*vm),
		lives:   make(map[string]uint64),
		jobs:    make(map[work.ID]*job),
		ended:   make(map[work.ID]struct{}),
		granted: make(map[string]float64),
		kept:    make(map[string]float64),
		images:  make(map[string]time.Time),
	}
}

// Configure takes in a new version of the configuration.
func (c *Cell) Configure(t *queue.Table) { c.table = t }

// queue returns the queue of a job as configured now; nil if it was removed.
func (c *Cell) queue(j *job) *queue.Queue {
	if j.table != c.table {
		j.table = c.table
		j.queue = c.table.Named(j.spec.Queue)
		if j.queue != nil {
			j.attempts = j.queue.Attempts
		}
		j.within = objectiveOf(j.spec, j.queue)
	}
	return j.queue
}

// service returns whose executors run a job's tasks: as configured now, or as
// it was when the job was accepted if its queue was removed since.
func (c *Cell) service(j *job) string {
	if q := c.queue(j); q != nil {
		return q.Service
	}
	return j.spec.Service
}

// step returns a step that is still planned, or nil.
func (c *Cell) step(key work.StepKey) *step {
	j := c.jobs[key.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.running {
		if o.number == key.Occurrence && key.Step < len(o.steps) {
			return o.steps[key.Step]
		}
	}
	return nil
}

// task returns a task that is still planned, or nil.
func (c *Cell) task(key work.TaskKey) *task {
	s := c.step(key.StepKey)
	if s == nil || key.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[key.Index]
}

// AddJob takes in a job that has not ended. Its progress is nil when nothing
// of it has started; otherwise the runs that it names may exist. It reports
// whether the job was new.
func (c *Cell) AddJob(spec *work.Job, p *work.Progress, wall int64, now time.Time) bool {
	if c.Knows(spec.ID) {
		return false
	}
	age := time.Duration(max(0, wall-spec.Accepted)) * time.Millisecond
	j := &job{spec: spec, arrived: now.Add(-min(age, longestAge))}
	c.jobs[spec.ID] = j
	c.useCanaries(j, now)
	if p != nil {
		c.restore(j, p, now)
	}
	if spec.Repetitions > 0 {
		c.timed = append(c.timed, j)
		return true
	}
	if len(j.running) == 0 && j.finished == 0 {
		c.begin(j, j.arrived)
	}
	c.unordered = true
	return true
}

// Withdraw takes back a job that could not be made durable. Nothing of it may
// have been sent.
func (c *Cell) Withdraw(id work.ID) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.end(j, work.Cancelled)
	delete(c.ended, id)
	for _, v := range c.vms {
		for _, cl := range v.claims {
			if cl.run.Task.Job == id {
				v.remove(cl)
			}
		}
	}
	c.dirty = slices.DeleteFunc(c.dirty, func(d *job) bool { return d == j })
}

// Knows reports whether the job is planned or has ended under this leader.
func (c *Cell) Knows(id work.ID) bool {
	_, over := c.ended[id]
	return over || c.jobs[id] != nil
}

// longestAge bounds the age that a job may claim, since clocks of machines
// can jump.
const longestAge = time.Minute

// begin starts the job's next occurrence.
func (c *Cell) begin(j *job, due time.Time) {
	o := newOccurrence(j, j.next, due)
	j.next++
	j.running = append(j.running, o)
	c.offer(o)
}

// offer puts the occurrence's steps that may start among those to place.
func (c *Cell) offer(o *occurrence) {
	for _, s := range o.steps {
		if !s.ready && o.stepReady(s) {
			s.ready = true
			c.enqueue(s)
		}
	}
}

func (c *Cell) enqueue(s *step) {
	if !s.waiting && s.ready && !s.complete() {
		s.waiting = true
		c.waiting = append(c.waiting, s)
	}
}

// StartDueOccurrences starts the occurrences that are due at the wall clock time, in
// milliseconds since 1970.
func (c *Cell) StartDueOccurrences(wall int64, now time.Time) {
	kept := c.timed[:0]
	for _, j := range c.timed {
		for j.next < j.spec.Occurrences() && j.spec.Due(j.next) <= wall && !j.state.Final() {
			c.begin(j, now)
		}
		if j.next < j.spec.Occurrences() && !j.state.Final() {
			kept = append(kept, j)
		}
	}
	c.timed = kept
}

// Cancel ends a job that a client has cancelled and stops what runs of it.
func (c *Cell) Cancel(id work.ID) {
	if j := c.jobs[id]; j != nil {
		c.end(j, work.Cancelled)
	}
}

// end ends a job. Runs that exist keep their claims until they are over.
func (c *Cell) end(j *job, state work.State) {
	j.state = state
	c.logEnd(j)
	c.mark(j)
	for _, o := range j.running {
		for _, s := range o.steps {
			c.abandon(s)
		}
	}
	j.running = nil
	delete(c.jobs, j.spec.ID)
	c.ended[j.spec.ID] = struct{}{}
}

// ForgetJobs lets go of what is remembered of jobs whose records were deleted.
func (c *Cell) ForgetJobs(ids []work.ID) {
	for _, id := range ids {
		delete(c.ended, id)
	}
}

// logEnd logs how long the stages of a job took, counted from its arrival.
func (c *Cell) logEnd(j *job) {
	since := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return t.Sub(j.arrived).Milliseconds()
	}
	c.events.WithFields(logrus.Fields{
		"job": j.spec.ID, "queue": j.spec.Queue, "state": j.state.String(),
		"advised_ms": since(j.advised), "started_ms": since(j.started), "ended_ms": since(c.now),
	}).Info("job ended")
}

// abandon lets go of a step whose job has ended.
func (c *Cell) abandon(s *step) {
	s.ready = false
	c.unpromise(s)
	c.release(s)
	s.endIsolation()
	for _, t := range s.tasks {
		if t.claims > 0 {
			c.unwant(t)
		}
	}
}

// unwant has every run of a task stopped.
func (c *Cell) unwant(t *task) {
	v := c.vms[t.vm.ID]
	if v == nil {
		return
	}
	for _, cl := range v.claims {
		if cl.task == t && !cl.unwanted {
			cl.unwanted = true
			c.stop(cl)
		}
	}
}

// stop has a run stopped; the order is repeated while the run is listed.
func (c *Cell) stop(cl *claim) {
	if cl.state == planned {
		return // it is dropped before it is sent
	}
	cl.stopped = c.now
	c.stops = append(c.stops, Stop{To: cl.vm.Ref, DataCentre: cl.vm.Zone, Run: cl.run, Token: c.token(cl.vm)})
}

// repeatStops sends those stops again that may have had no effect. A report that lists
// the run has its stop sent again too, but reports come once a second, and several
// stops in a row may be lost.
func (c *Cell) repeatStops(now time.Time) {
	var kept []*claim
	for _, cl := range c.unstopped {
		switch {
		case cl.vm.claims[cl.run] != cl:
			// It is over.
		case now.Sub(cl.vm.clockAt) >= c.cfg.MaxReportAge:
			// The executor may be out of reach; its next report tells what is left to stop.
		case now.Sub(cl.stopped) < c.cfg.StopRetryInterval:
			kept = append(kept, cl)
		default:
			c.stop(cl)
		}
	}
	c.unstopped = kept
}

// TakeStops returns the stops to send and counts them as sent.
func (c *Cell) TakeStops(now time.Time) []Stop {
	c.repeatStops(now)
	stops := c.stops
	c.stops = nil
	for _, s := range stops {
		if v := c.life(s.To, s.Token); v != nil {
			if cl := v.claims[s.Run]; cl != nil {
				cl.stopped = now
			}
		}
	}
	return stops
}

// mark notes that the job's durable record is behind.
func (c *Cell) mark(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// ProgressRecord is the durable record of a job's progress.
type ProgressRecord struct {
	Job      work.ID
	Progress *work.Progress
}

// TakeDirtyRecords returns the records that are behind.
func (c *Cell) TakeDirtyRecords() []ProgressRecord {
	records := make([]ProgressRecord, len(c.dirty))
	for i, j := range c.dirty {
		j.dirty = false
		j.toldRunning = j.state == work.Running
		records[i] = ProgressRecord{Job: j.spec.ID, Progress: j.progress()}
	}
	c.dirty = nil
	return records
}
