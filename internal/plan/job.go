package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/account"
	"github.com/skylarklock/skylarklock/internal/blame"
	"github.com/skylarklock/skylarklock/internal/loss"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/rackchoice"
	"github.com/skylarklock/skylarklock/internal/speed"
	"github.com/skylarklock/skylarklock/internal/work"
)

// job is the leader's state of one job that has not ended.
type job struct {
	queue             *queue.Queue         // as configured in queueConfig; nil if the queue was removed
	queueConfig       *queue.Configuration // the configuration that queue was looked up in
	maxAttempts       int                  // attempts for each task, as configured or, while the queue is removed, as promised; 0 if they aren't known
	latencyObjective  time.Duration        // latency objective of an occurrence, according to queue
	spec              *work.Job
	criticalPaths     []time.Duration // by step
	workspace         *workspace      // nil if it belongs to none
	excess            bool            // it arrived in excess of what its workspace may submit ahead of others' work
	arrivedAt         time.Time
	state             work.State
	nextOccurrence    int             // number of the occurrence that is due next
	endedBelow        int             // all occurrences numbered below this have ended
	endedOccurrences  map[int]bool    // further occurrences that have ended
	activeOccurrences []*occurrence   // occurrences that have started and not ended, by number
	dirty             bool            // the durable record is out of date
	recordedRunning   bool            // the durable record says that the job is running
	advisedAt         time.Time       // when executors were first granted
	startedAt         time.Time       // when an executor first confirmed a start
	times             account.Times   // stages of the chain of tasks that ended last
	canaries          map[int]*canary // by step index: losses of the step's tasks
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number    int
	due       time.Time // when it may start
	steps     []*step
	stepsLeft int // steps that have not ended
}

// step is one step of an occurrence.
type step struct {
	job                 *job
	occ                 *occurrence
	index               int
	spec                *work.Step
	tasks               []*task
	doneTasks           int
	gangFailures        int    // number of runs of the gang that failed
	lastFailedRun       uint32 // number of the newest failed run
	ready               bool
	advice              advice
	remainingTime       time.Duration // longest chain of estimated run times from this step on
	waiting             bool          // the step is in Cell.waitingSteps
	unplacedSince       time.Time     // since when it was seen with tasks to place, in a fleet of which not all executors are called
	lateness            latenessClass // as of the newest start order
	position            int           // in the newest start order
	preemption          gangPreemption
	isolation           isolation
	consecutiveRefusals int               // starts refused in a row for the content of their order
	retryAt             time.Time         // no start is planned before this time
	offeredAt           time.Time         // when a pass last looked for executors for it
	timeBefore          account.Times     // stages of the chain of tasks that ended before the step became ready
	waitsFor            account.Stage     // what its waiting tasks wait for, as of the newest plan
	hasNewWaiters       bool              // tasks have begun to wait since then
	racks               rackchoice.Choice // where its tasks are placed if it has SameRack, as of the newest plan
	obstacles           obstacles         // as of the newest attempt to place it
	latestStart         time.Time         // latest start with which the job can meet its objective, as of the newest start order
	runTimes            speed.Group       // run times of its tasks, compared with each other
	failures            blame.Step[*vm]   // of its tasks
}

// task is one task of a step.
type task struct {
	step          *step
	index         int
	phase         work.Phase
	lastRun       uint32 // number of the newest run
	failures      int
	losses        loss.Tally
	lastLostOn    work.ExecutorIncarnation // executor incarnation that the newest lost run was on
	checkpoint    string
	allocations   int                      // number of runs that may exist
	incarnation   work.ExecutorIncarnation // executor incarnation of the newest run
	deferral      *startDeferral           // nil if the task is not deferred
	awaitsVerdict bool                     // it may not start yet, since it isn't known whether lost executors have crashed
	lastFailedOn  *vm                      // executor of the newest failed run
	preemptions   int                      // how often a run was preempted
	moves         int                      // how often a run was stopped because its executor was slow
	timeline      account.Timeline
}

func (s *step) key() work.StepKey {
	return work.StepKey{Job: s.job.spec.ID, Occurrence: s.occ.number, Step: s.index}
}

func (t *task) key() work.TaskKey { return work.TaskKey{StepKey: t.step.key(), Index: t.index} }

// placeable reports whether the task waits for a start and no run of it can exist.
func (t *task) placeable() bool {
	return t.phase == work.Pending && t.allocations == 0 && t.deferral == nil && !t.awaitsVerdict && (t.failures == 0 || t.step.spec.LongRunning || t.step.job.maxAttempts > 0)
}

// saveCheckpoint sets the checkpoint from which the task resumes. That of any member of a gang is valid for the
// gang, whose members have to resume from the same one.
func (t *task) saveCheckpoint(checkpoint string) {
	if !t.step.spec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.step.tasks {
		member.checkpoint = checkpoint
	}
}

// complete reports whether all tasks of the step have ended.
func (s *step) complete() bool { return s.doneTasks == len(s.tasks) }

// tasksToPlace returns the tasks that wait for a start. A gang is returned whole or not at
// all.
func (s *step) tasksToPlace() []*task {
	var pending []*task
	for _, t := range s.tasks {
		switch {
		case t.placeable():
			pending = append(pending, t)
		case s.spec.Gang:
			return nil
		}
	}
	if s.inCanary() {
		return s.nextCanary(pending)
	}
	return pending
}

// countToPlace returns the number of tasksToPlace.
func (s *step) countToPlace() int {
	n := 0
	for _, t := range s.tasks {
		switch {
		case t.placeable():
			n++
		case s.spec.Gang:
			return 0
		}
	}
	if s.inCanary() {
		return len(s.tasksToPlace())
	}
	return n
}

// newOccurrence returns the job's occurrence with this number.
func newOccurrence(j *job, number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due, stepsLeft: len(j.spec.Steps)}
	if j.criticalPaths == nil {
		j.criticalPaths = j.spec.CriticalPaths()
	}
	for i := range j.spec.Steps {
		s := &step{job: j, occ: o, index: i, spec: &j.spec.Steps[i], remainingTime: j.criticalPaths[i]}
		s.tasks = make([]*task, s.spec.TaskCount)
		for k := range s.tasks {
			s.tasks[k] = &task{step: s, index: k}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// dependenciesComplete reports whether all steps that s depends on have ended.
func (o *occurrence) dependenciesComplete(s *step) bool {
	for _, dependency := range s.spec.DependsOn {
		if !o.steps[dependency].complete() {
			return false
		}
	}
	return true
}

// objectiveFor returns the time after its arrival within which an occurrence of a job
// should end. q is nil if the job's queue was removed.
func objectiveFor(j *work.Job, q *queue.Queue) time.Duration {
	switch {
	case q != nil:
		return q.LatencyObjective(j.CriticalPath())
	case j.Terms != (work.Terms{}):
		return j.Terms.LatencyObjective
	default:
		return j.CriticalPath()
	}
}

// latencyStart returns the time from which the occurrence's latency counts.
func (j *job) latencyStart(o *occurrence) time.Time {
	if j.spec.Repetitions > 0 {
		return o.due
	}
	return j.arrivedAt
}

// endOccurrence records that an occurrence has ended.
func (j *job) endOccurrence(o *occurrence) {
	j.activeOccurrences = slices.DeleteFunc(j.activeOccurrences, func(other *occurrence) bool { return other == o })
	if j.endedOccurrences == nil {
		j.endedOccurrences = make(map[int]bool)
	}
	j.endedOccurrences[o.number] = true
	for j.endedOccurrences[j.endedBelow] {
		delete(j.endedOccurrences, j.endedBelow)
		j.endedBelow++
	}
}

// progressRecord returns the durable record of the job.
func (j *job) progressRecord() *work.Progress {
	p := &work.Progress{State: j.state, FinishedBelow: j.endedBelow}
	if j.state.Final() {
		return p
	}
	for number := range j.endedOccurrences {
		p.FinishedOutOfOrder = append(p.FinishedOutOfOrder, number)
	}
	slices.Sort(p.FinishedOutOfOrder)
	indexes, lossIndexes := make(map[work.ExecutorIncarnation]int), make(map[lossKey]int)
	for _, o := range j.activeOccurrences {
		p.Occurrences = append(p.Occurrences, o.progressRecord(p, indexes, lossIndexes))
	}
	return p
}

func (o *occurrence) progressRecord(p *work.Progress, indexes map[work.ExecutorIncarnation]int, lossIndexes map[lossKey]int) work.Occurrence {
	out := work.Occurrence{Number: o.number}
	for _, s := range o.steps {
		row := make([]work.TaskProgress, len(s.tasks))
		for i, t := range s.tasks {
			row[i] = work.TaskProgress{Phase: t.phase, Run: t.lastRun, Failures: uint8(min(t.failures, 255)), Checkpoint: t.checkpoint}
			if !t.losses.IsEmpty() {
				row[i].Crashes, row[i].Losses = uint8(min(t.losses.Crashes(), 255)), uint8(min(t.losses.Later(), 255))
				t.recordLosses(p, lossIndexes)
			}
			if t.phase == work.Started || (t.phase == work.Pending && (t.allocations > 0 || t.deferral != nil)) {
				row[i].Phase = work.Started
				row[i].ExecutorIndex = incarnationIndex(p, indexes, t.incarnation)
			}
		}
		out.Steps = append(out.Steps, row)
	}
	return out
}

// incarnationIndex returns the index of an executor incarnation in the record's list, and
// adds it if it is missing.
func incarnationIndex(p *work.Progress, indexes map[work.ExecutorIncarnation]int, incarnation work.ExecutorIncarnation) int {
	i, ok := indexes[incarnation]
	if !ok {
		i = len(p.Executors)
		indexes[incarnation] = i
		p.Executors = append(p.Executors, incarnation)
	}
	return i
}
