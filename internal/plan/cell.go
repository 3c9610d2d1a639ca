package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/speed"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Cell is the planning state of one cell at its leader. It is not safe for concurrent use.
type Cell struct {
	cfg                 Config
	logger              *logrus.Entry
	lookupJob           func(work.ID) *work.Job // returns any stored job, also one that has ended; nil if unknown
	queueConfig         *queue.Configuration
	registeredByService map[string]int    // number of registered executors by service
	ledSince            time.Time         // when this leader took over
	vms                 map[string]*vm    // by ID
	formerIncarnations  map[string]uint64 // by ID: number of earlier incarnations of executors that were removed
	sortedVMs           []*vm             // sorted by ID
	unregisteredVMs     []*vm             // executors that may not be registered, among them all that aren't
	calledVMs           []*vm             // executors that are called or have something to settle, sorted by ID, as of the newest decision
	inactiveCapacity    api.Resources     // of the executors in service that aren't called
	activation          activation
	vmsCreated          int // number of vms that were created so far
	nextSnapshotVM      int // index of the executor with which the next snapshot of a large fleet begins
	jobs                map[work.ID]*job
	workspaces          map[work.WorkspaceID]*workspace
	endedJobs           map[work.ID]struct{}    // jobs that ended under this leader; their records may be read again
	unconfirmedJobs     map[work.ID]struct{}    // jobs whose submission isn't known to be stored, also those of endedJobs
	waitingSteps        []*step                 // steps with tasks to place
	orderedSteps        []*step                 // the waiting steps in the start order of the newest plan
	largestGang         *step                   // gang that goes first in the start order; nil if none waits
	gangs               gangHolder              // holds capacity for gangs that don't fit
	orderStale          bool                    // jobs were added since that order was computed
	recurringJobs       []*job                  // jobs with occurrences to come
	recentlyStarted     []*job                  // jobs that started recently, by start time
	dirtyJobs           []*job                  // jobs whose durable record is out of date
	pendingStops        []Stop                  // stops to be sent
	failedStops         []*allocation           // allocations whose newest stop may have had no effect
	now                 time.Time               // newest time passed to Plan or HandleReport
	plannedAt           time.Time               // when the newest pass over the waiting steps was made
	grantShares         map[string]float64      // by queue: moving mean of the share of executors granted
	availableShares     map[string]float64      // by queue: moving mean of the share of expected capacity that gangs still find free
	fleetRunRatio       float64                 // moving mean over the fleet of run time divided by estimate
	speeds              *speed.Fleet            // estimated speeds of the executors; nil: none are estimated
	recordedSpeeds      map[string]speed.Record // by executor ID: speeds that a former leader recorded
	speedsRecordedAt    time.Time               // when it did
	speedsRefreshedAt   time.Time               // when the executors were last compared
	slowTimeFactor      float64                 // how many times as long runs take on the certainly slow executors, on average; 0 if there are none
	speedsLoggedAt      time.Time
	fastTimeFactor      float64                                // the same on the certainly fast executors
	loggedFast          int                                    // number of certainly fast executors in the newest log line
	loggedSlow          int                                    // number of certainly slow executors in the newest log line
	adviceStats         adviceStats                            // advice calls since the last summary
	lastExplained       time.Time                              // when the waiting steps were last logged
	preemptedRuns       int                                    // runs preempted since the last summary
	failedStarts        startFailures                          // start orders without confirmation since the last summary
	deferredTasks       []*task                                // tasks that may not start yet, since an earlier order for them is unsettled
	awaitingVerdict     []*task                                // tasks that may not start yet, since it isn't known whether lost executors have crashed
	lost                *lostExecutors                         // lost executors that may be alive
	lossTimes           map[work.ExecutorIncarnation]time.Time // when recently lost executors became unresponsive
	forecasts           forecasts                              // of new jobs
	failedImages        map[string]time.Time                   // by image: when a job was failed because a task with this image crashed its executors
}

// Stop is an order to stop a run.
type Stop struct {
	To         platform.ExecutorRef
	DataCentre string // where the executor runs
	Run        platform.Run
	Token      uint64 // fencing token
}

// NewCell returns a cell without jobs and executors that is led by this process from now
// on.
func NewCell(cfg Config, lookupJob func(work.ID) *work.Job, logger *logrus.Entry, now time.Time) *Cell {
	c := &Cell{
		cfg:                cfg,
		logger:             logger,
		lookupJob:          lookupJob,
		queueConfig:        &queue.Configuration{},
		ledSince:           now,
		vms:                make(map[string]*vm),
		formerIncarnations: make(map[string]uint64),
		jobs:               make(map[work.ID]*job),
		workspaces:         make(map[work.WorkspaceID]*workspace),
		endedJobs:          make(map[work.ID]struct{}),
		unconfirmedJobs:    make(map[work.ID]struct{}),
		grantShares:        make(map[string]float64),
		availableShares:    make(map[string]float64),
		failedImages:       make(map[string]time.Time),
		lost:               newLostExecutors(),
		lossTimes:          make(map[work.ExecutorIncarnation]time.Time),
		speeds:             speed.NewFleet(),
	}
	c.gangs = newGathering(c)
	return c
}

// Configure replaces the configuration of queues and services.
func (c *Cell) Configure(config *queue.Configuration) {
	if c.queueConfig == config {
		return
	}
	c.queueConfig = config
	c.configureWorkspaces()
	c.decideActivation(c.activation.decidedAt) // other services may be in use
}

// queueOf returns the queue of a job as configured now, also under another name, or nil if the queue was
// removed.
func (c *Cell) queueOf(j *job) *queue.Queue {
	if j.queueConfig != c.queueConfig {
		j.queueConfig = c.queueConfig
		j.queue = c.queueConfig.QueueOf(j.spec.Queue, j.spec.Path)
		switch {
		case j.queue != nil:
			j.maxAttempts = max(1, j.queue.MaxAttempts)
		case j.spec.Terms != (work.Terms{}):
			j.maxAttempts = max(1, j.spec.Terms.MaxAttempts)
		}
		j.latencyObjective = objectiveFor(j.spec, j.queue)
	}
	return j.queue
}

// serviceOf returns the service whose executors run a job's tasks: the one configured now, or, if the job's
// queue was removed or has another name now, the one at the time when the job was accepted. If that is gone,
// a renamed queue's service runs them.
func (c *Cell) serviceOf(j *job) string {
	q := c.queueOf(j)
	if q == nil {
		return j.spec.Service
	}
	if renamed := q.Name != j.spec.Queue; renamed && c.queueConfig.HasService(j.spec.Service) {
		return j.spec.Service
	}
	return q.Service
}

// findStep returns a step of an active occurrence, or nil.
func (c *Cell) findStep(key work.StepKey) *step {
	j := c.jobs[key.Job]
	if j == nil {
		return nil
	}
	for _, occ := range j.activeOccurrences {
		if occ.number == key.Occurrence && key.Step < len(occ.steps) {
			return occ.steps[key.Step]
		}
	}
	return nil
}

// findTask returns a task of an active occurrence, or nil.
func (c *Cell) findTask(key work.TaskKey) *task {
	s := c.findStep(key.StepKey)
	if s == nil || key.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[key.Index]
}

// AddJob adds a job that has not ended. Its progress is nil if nothing of it has started;
// otherwise the runs named in the progress may exist. It reports whether the job was added: it
// must be new, and its records must fit together.
func (c *Cell) AddJob(spec *work.Job, p *work.Progress, wallMillis int64, now time.Time) bool {
	if c.Knows(spec.ID) {
		return false
	}
	if err := spec.CheckPlannable(p); err != nil {
		c.logger.WithError(err).WithField("job", spec.ID).Error("job is not planned: its records do not fit together")
		return false
	}
	age := time.Duration(max(0, wallMillis-spec.AcceptedMs)) * time.Millisecond
	j := &job{spec: spec, arrivedAt: now.Add(-min(age, maxAge)), workspace: c.workspaceOf(spec.Workspace)}
	j.excess = !j.workspace.takeJobToken(j.arrivedAt)
	j.times.Add(arrivalStage(j, c.ledSince), now.Sub(j.arrivedAt))
	c.now = now
	c.jobs[spec.ID] = j
	c.enableCanaries(j, now)
	if p != nil {
		c.restoreJob(j, p, now)
	}
	if spec.Repetitions > 0 {
		c.recurringJobs = append(c.recurringJobs, j)
		return true
	}
	if len(j.activeOccurrences) == 0 && j.endedBelow == 0 {
		c.startOccurrence(j, j.arrivedAt)
	}
	c.orderStale = true
	return true
}

// AddUnconfirmedJob adds a new job whose submission is about to be stored, so that it can be planned in the
// meantime. It reports whether the job was added, see AddJob. ConfirmStored must follow once the submission is known
// to be stored, and no order of the job may be sent before its append was answered.
func (c *Cell) AddUnconfirmedJob(spec *work.Job, wallMillis int64, now time.Time) bool {
	if !c.AddJob(spec, nil, wallMillis, now) {
		return false
	}
	c.unconfirmedJobs[spec.ID] = struct{}{}
	return true
}

// ConfirmStored notes that a job's submission is known to be stored, whoever stored it. Withdraw doesn't remove the
// job from then on.
func (c *Cell) ConfirmStored(id work.ID) { delete(c.unconfirmedJobs, id) }

// Withdraw removes a job whose submission was given up, also if the job has ended in the meantime, and reports
// whether it did. It keeps a job that is known to be stored.
func (c *Cell) Withdraw(id work.ID) bool {
	if _, unconfirmed := c.unconfirmedJobs[id]; !unconfirmed {
		return false
	}
	delete(c.unconfirmedJobs, id)
	if j := c.jobs[id]; j != nil {
		if !j.excess {
			j.workspace.returnJobToken()
		}
		c.endJob(j, work.Cancelled)
	}
	delete(c.endedJobs, id)
	for _, v := range c.vms {
		for _, alloc := range v.allocations {
			if alloc.run.Task.Job == id {
				v.removeAllocation(alloc)
			}
		}
	}
	c.dirtyJobs = slices.DeleteFunc(c.dirtyJobs, func(d *job) bool { return d.spec.ID == id })
	return true
}

// Knows reports whether the job is planned or has ended under this leader.
func (c *Cell) Knows(id work.ID) bool {
	_, hasEnded := c.endedJobs[id]
	return hasEnded || c.jobs[id] != nil
}

// maxAge bounds the age that a job may claim, since the clocks of machines can jump. It is
// also how long the times of executor losses are kept.
const maxAge = time.Minute

// startOccurrence starts the job's next occurrence.
func (c *Cell) startOccurrence(j *job, due time.Time) {
	o := newOccurrence(j, j.nextOccurrence, due)
	j.nextOccurrence++
	j.activeOccurrences = append(j.activeOccurrences, o)
	c.enqueueReadySteps(o)
}

// enqueueReadySteps queues the occurrence's steps whose dependencies are complete.
func (c *Cell) enqueueReadySteps(o *occurrence) {
	for _, s := range o.steps {
		if !s.ready && o.dependenciesComplete(s) {
			s.ready = true
			s.beginTimelines(s.job.times, c.now)
			c.enqueue(s)
		}
	}
}

func (c *Cell) enqueue(s *step) {
	s.hasNewWaiters = true
	if !s.waiting && s.ready && !s.complete() {
		s.waiting = true
		c.waitingSteps = append(c.waitingSteps, s)
	}
}

// Limits of the occurrences of a job that overlap. Their progress has to fit into one record of the store.
const (
	maxOverlappingTasks = 2000   // in all occurrences that are active at the same time, if there are several
	maxOccurrenceSpan   = 10_000 // from the oldest occurrence that has not ended to the newest one
)

// mayOverlap reports whether the job's next occurrence may start beside those that are active.
func (j *job) mayOverlap() bool {
	return len(j.activeOccurrences) == 0 ||
		(len(j.activeOccurrences)+1)*j.spec.TaskCount() <= maxOverlappingTasks && j.nextOccurrence-j.endedBelow < maxOccurrenceSpan
}

// StartDueOccurrences starts the occurrences that are due at a wall clock time, in
// milliseconds since 1970. Those that are due while too many overlap start in their order as others end.
func (c *Cell) StartDueOccurrences(wallMillis int64, now time.Time) {
	remaining := c.recurringJobs[:0]
	for _, j := range c.recurringJobs {
		for j.nextOccurrence < j.spec.Occurrences() && j.spec.DueMs(j.nextOccurrence) <= wallMillis && !j.state.Final() && j.mayOverlap() {
			c.startOccurrence(j, now)
		}
		if j.nextOccurrence < j.spec.Occurrences() && !j.state.Final() {
			remaining = append(remaining, j)
		}
	}
	c.recurringJobs = remaining
}

// Cancel ends a job that a client has cancelled and stops its runs.
func (c *Cell) Cancel(id work.ID) {
	if j := c.jobs[id]; j != nil {
		c.endJob(j, work.Cancelled)
	}
}

// FailUnrecordable fails a job whose progress the store can't take, since its record has size bytes. The jobs
// beside it are planned on.
func (c *Cell) FailUnrecordable(id work.ID, size, limit int) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"job": id, "record_bytes": size, "max_bytes": limit, "tasks": j.spec.TaskCount(), "occurrences": len(j.activeOccurrences),
	}).Error("job is given up: the record of its progress is too large for the store")
	c.endJob(j, work.Failed)
}

// endJob ends a job. Existing runs keep their allocations until they are over.
func (c *Cell) endJob(j *job, state work.State) {
	j.state = state
	c.logJobEnd(j)
	c.markDirty(j)
	for _, o := range j.activeOccurrences {
		for _, s := range o.steps {
			c.abandonStep(s)
		}
	}
	j.activeOccurrences = nil
	delete(c.jobs, j.spec.ID)
	c.endedJobs[j.spec.ID] = struct{}{}
}

// ForgetJobs drops ended jobs whose records were deleted.
func (c *Cell) ForgetJobs(ids []work.ID) {
	for _, id := range ids {
		delete(c.endedJobs, id)
		delete(c.unconfirmedJobs, id)
	}
}

// logJobEnd logs how long after its arrival a job reached each of its stages.
func (c *Cell) logJobEnd(j *job) {
	elapsed := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return t.Sub(j.arrivedAt).Milliseconds()
	}
	c.queueOf(j) // refreshes the job's latency objective
	fields := logrus.Fields{
		"job": j.spec.ID, "queue": j.spec.Queue, "workspace": j.spec.Workspace, "state": j.state.String(), "objective_ms": j.latencyObjective.Milliseconds(),
		"advised_ms": elapsed(j.advisedAt), "started_ms": elapsed(j.startedAt), "ended_ms": elapsed(c.now),
	}
	addStages(fields, &j.times)
	c.logger.WithFields(fields).Info("job ended")
}

// abandonStep releases everything that is held for a step whose job has ended, and stops
// its runs.
func (c *Cell) abandonStep(s *step) {
	s.ready = false
	c.clearTentative(s)
	c.releaseNominated(s)
	s.endIsolation()
	for _, t := range s.tasks {
		if t.allocations > 0 {
			c.stopTask(t)
		}
	}
}

// stopTask stops every run of a task.
func (c *Cell) stopTask(t *task) {
	v := c.vms[t.incarnation.ID]
	if v == nil {
		return
	}
	for _, alloc := range v.allocations {
		if alloc.task == t && !alloc.stopRequested {
			alloc.stopRequested = true
			c.stopRun(alloc)
		}
	}
}

// stopRun queues a stop order for a run. The order is repeated while reports list the run.
func (c *Cell) stopRun(alloc *allocation) {
	if alloc.state == statePlanned {
		return // its start is dropped before it is sent
	}
	alloc.lastStop = c.now
	c.pendingStops = append(c.pendingStops, Stop{To: alloc.vm.Ref, DataCentre: alloc.vm.Zone, Run: alloc.run, Token: c.fencingToken(alloc.vm)})
}

// retryStops repeats stops that may have had no effect. A report that lists the run also
// has its stop repeated, but reports come once a second, and several stops in a row may be
// lost.
func (c *Cell) retryStops(now time.Time) {
	var remaining []*allocation
	for _, alloc := range c.failedStops {
		switch {
		case alloc.vm.allocations[alloc.run] != alloc:
			// The run is over.
		case now.Sub(alloc.vm.reportedAt) >= c.cfg.MaxReportAge:
			// The executor may be unreachable. Its next report shows which runs are left to
			// stop.
		case now.Sub(alloc.lastStop) < c.cfg.StopRetryInterval:
			remaining = append(remaining, alloc)
		default:
			c.stopRun(alloc)
		}
	}
	c.failedStops = remaining
}

// TakeStops returns the stops to send and counts them as sent.
func (c *Cell) TakeStops(now time.Time) []Stop {
	c.retryStops(now)
	stops := c.pendingStops
	c.pendingStops = nil
	for _, s := range stops {
		if v := c.currentVM(s.To, s.Token); v != nil {
			if alloc := v.allocations[s.Run]; alloc != nil {
				alloc.lastStop = now
			}
		}
	}
	return stops
}

// markDirty notes that the job's durable record is out of date.
func (c *Cell) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

// ProgressRecord is the durable record of a job's progress.
type ProgressRecord struct {
	Job      work.ID
	Progress *work.Progress
}

// TakeDirtyRecords returns the progress of the jobs whose durable record is out of date,
// and counts it as recorded.
func (c *Cell) TakeDirtyRecords() []ProgressRecord {
	records := make([]ProgressRecord, len(c.dirtyJobs))
	for i, j := range c.dirtyJobs {
		j.dirty = false
		j.recordedRunning = j.state == work.Running
		records[i] = ProgressRecord{Job: j.spec.ID, Progress: j.progressRecord()}
	}
	c.dirtyJobs = nil
	return records
}
