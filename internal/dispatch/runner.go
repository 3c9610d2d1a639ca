// Package dispatch carries out the decisions of package plan for a cell: it makes progress
// durable, sends starts and stops, renews the leases of executors, reads their reports and the
// registry, and requests advice. It runs on the machine that leads the cell.
package dispatch

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Timing of the loops.
const (
	minCycleInterval    = 10 * time.Millisecond  // minimum time between two cycles; everything that arrives in between shares an append
	maxCycleInterval    = 100 * time.Millisecond // maximum time between two cycles; tickets and leases expire without an event
	minExecutorInterval = 10 * time.Millisecond  // minimum time between two checks for stops to send and executors to call
	maxExecutorInterval = 100 * time.Millisecond // maximum time between two such checks; stops become due again without an event
	minAdviceInterval   = 5 * time.Millisecond   // minimum time between two checks for due advice calls
	advicePauseFactor   = 2                      // pause between two such checks, as a multiple of the time that one took
	holdWait            = time.Second            // how long an executor's report waits for the end of a run
	holdTimeout         = 700 * time.Millisecond // for a report, in addition to holdWait
	minHoldInterval     = 40 * time.Millisecond  // minimum time between two holds on an executor; ends close together share one
	holdRetryDelay      = 200 * time.Millisecond
	adviceTimeout       = 3 * time.Second // of an advice call, which may queue behind others
	cleanupInterval     = time.Second     // between two checks for ended jobs, and for jobs that the planner lacks
	maxCleanupJobs      = 2000            // ended jobs per check; 5,000 starts a second end fewer jobs, and their records fit one append
	submissionRetention = 5 * time.Second // how long an ended job's submission is kept, for runs that are reported late
)

// Config configures a Runner.
type Config struct {
	Plan               plan.Config
	Self               leader.Leader // this process, with the epoch that it leads
	Log                platform.PartitionLog
	Jobs               platform.Partition // records of the cell's jobs
	Registry           platform.Partition // records of the executors
	Speeds             platform.Partition // record of the executors' speeds for the next leader; without a topic none is kept
	Decode             DecodeExecutor
	Executors          platform.Executors
	Replica            *replica.Replica
	Reader             *replica.Reader
	Peers              *assist.Peers
	Caller             assist.Caller
	BulkCaller         assist.Caller  // for the content of records, on separate connections
	LocalDataCentre    api.DataCentre // data centre of this machine
	LinkBytesPerSecond float64        // capacity of this machine's link; 0: unknown
	LinkFull           func() bool    // whether the link can carry little more without delay; nil: never
	Configuration      func() *queue.Configuration
	CanRenewLeases     func() bool           // whether leases may be renewed
	OnFenced           func()                // called when the store or an executor refused this leader's epoch
	CutOff             func() bool           // whether this machine reaches neither the store nor another data centre; nil: never
	LastRenewal        func() leader.Renewal // the last confirmed renewal of leadership
	OnHigherEpoch      func(epoch api.Epoch) // called when a machine knows a higher epoch
	LastAppendDuration time.Duration         // duration of the last append before this process led; 0: unknown
	MaxRecordBytes     int                   // the store's limit of a record with its key, in bytes; 0: unknown
	JobCounters        *expvar.Map           // counters of jobs, see planMissingJobs; nil: not shared with others
	Logger             *logrus.Entry
}

// Runner runs a cell as its leader.
type Runner struct {
	cfg          Config
	writer       *writer
	encoder      *progressEncoder
	cycleWake    chan struct{} // signals that a cycle should start
	executorWake chan struct{} // signals that there may be stops to send or executors to call
	adviceWake   chan struct{} // signals that advice calls may be due

	// mu guards the fields below. The replica calls applyChanges, which locks mu, while it holds its own lock; so
	// methods of the replica that lock all of it must not be called under mu.
	mu                  sync.Mutex
	cell                *plan.Cell
	cycleDone           chan struct{} // closed when the next complete cycle has ended
	admissionController admission.Controller
	returning           admission.Returning[work.ID] // with Config.Plan.Overload
	backlogs            backlogs                     // as of the newest submission that listed them
	pendingSubmissions  []*submission                // to be stored by the next cycle
	appendWaitLimit     time.Duration                // how long an append may go unanswered before submissions are refused
	appendPendingSince  time.Time                    // start of the unanswered append; zero if none is in flight
	storeRefusedAt      time.Time                    // when the store last refused an append
	missingSightings    map[work.ID]int              // stored jobs that the cell didn't know, with the number of successive checks
	holdLoops           map[string]context.CancelFunc
	stopped             bool
	goroutines          sync.WaitGroup
}

// New returns a Runner that has not been started.
func New(cfg Config) *Runner {
	if cfg.JobCounters == nil {
		cfg.JobCounters = new(expvar.Map).Init()
	}
	return &Runner{
		cfg:             cfg,
		writer:          newWriter(cfg),
		encoder:         newProgressEncoder(cfg),
		cycleWake:       make(chan struct{}, 1),
		executorWake:    make(chan struct{}, 1),
		adviceWake:      make(chan struct{}, 1),
		cycleDone:       make(chan struct{}),
		appendWaitLimit: minAppendWaitLimit,
		holdLoops:       make(map[string]context.CancelFunc),
	}
}

// Run leads the cell until ctx ends or the store has accepted a write of a higher epoch.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.goroutines.Wait()
	defer cancel()
	defer r.shutDown() // answers also what was submitted during the takeover
	if err := r.takeOver(ctx); err != nil {
		return err
	}
	r.spawn(func() { r.watchRegistry(ctx) })
	r.spawn(func() { r.runAdviceLoop(ctx) })
	r.spawn(func() { r.runExecutorLoop(ctx) })
	r.spawn(func() { r.runSpeedRecorder(ctx) })
	return r.runCycles(ctx)
}

// shutDown detaches from the replica and answers the pending submissions.
func (r *Runner) shutDown() {
	r.cfg.Replica.SetPublisher(nil)
	r.cfg.Replica.SetListener(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.pendingSubmissions {
		s.complete(assist.NotStored)
	}
	r.pendingSubmissions = nil
	r.stopped = true
}

// lookup returns any job whose submission is stored.
func (r *Runner) lookup(id work.ID) *work.Job {
	e, _ := r.cfg.Replica.Get(id)
	return e.Job
}

// reportFenced calls OnFenced if err says that the store refused this leader's epoch, and
// returns err.
func (r *Runner) reportFenced(err error) error {
	if errors.Is(err, platform.ErrFenced) {
		r.cfg.OnFenced()
	}
	return err
}

func (r *Runner) spawn(f func()) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		f()
	}()
}

// Wake requests a cycle soon and an immediate check for stops to send and executors to call.
func (r *Runner) Wake() {
	notify(r.cycleWake)
	notify(r.executorWake)
}

// notify signals a channel of capacity one without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyChanges passes changed job records to the cell.
func (r *Runner) applyChanges(changes []replica.Change) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	// A new leader is told of all jobs at once. What a workspace submits in excess depends on the order.
	slices.SortStableFunc(changes, func(a, b replica.Change) int { return cmp.Compare(acceptedMs(a), acceptedMs(b)) })
	for _, ch := range changes {
		if ch.Entry.Submitted() {
			r.cell.ConfirmStored(ch.ID)
		}
		switch {
		case ch.Kind == work.KindProgress:
		case ch.Entry.Cancelled: // the submission may have been read before, with the cancel, or may be read later
			r.cell.Cancel(ch.ID)
		case ch.Entry.Job == nil:
		case !ch.Entry.State().Final():
			r.cell.AddJob(ch.Entry.Job, ch.Entry.Progress, now.UnixMilli(), now)
		}
	}
	r.Wake()
}

// acceptedMs returns when the job of a change was accepted, or 0 if that isn't known.
func acceptedMs(c replica.Change) int64 {
	if c.Entry.Job == nil {
		return 0
	}
	return c.Entry.Job.AcceptedMs
}

// runCycles plans, stores and sends until ctx ends or the leader is replaced.
func (r *Runner) runCycles(ctx context.Context) error {
	cleanedUpAt := time.Now()
	for ctx.Err() == nil {
		r.awaitCycle(ctx)
		if err := r.runCycle(ctx); err != nil {
			return r.reportFenced(err)
		}
		if time.Since(cleanedUpAt) > cleanupInterval {
			cleanedUpAt = time.Now()
			r.planMissingJobs()
			if err := r.cleanUp(ctx); err != nil {
				return r.reportFenced(err)
			}
		}
	}
	return ctx.Err()
}

func (r *Runner) awaitCycle(ctx context.Context) {
	pause.For(ctx, minCycleInterval)
	timer := time.NewTimer(maxCycleInterval)
	defer timer.Stop()
	select {
	case <-r.cycleWake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runCycle runs one cycle: plan, make the plan durable, check it again, send the starts.
func (r *Runner) runCycle(ctx context.Context) error {
	r.mu.Lock()
	now := time.Now()
	r.cell.Configure(r.cfg.Configuration())
	submitted := r.takePendingSubmissions()
	r.cell.StartDueOccurrences(now.UnixMilli(), now)
	r.cell.DropExpired(now)
	r.cell.RecordRunning(now)
	starts := r.cell.Plan(now)
	r.cell.LogWaitingSteps(now)
	r.cell.LogForecasts(now)
	records := r.cell.TakeDirtyRecords()
	done := r.cycleDone
	r.cycleDone = make(chan struct{})
	r.requestAdvice(ctx, now)
	r.mu.Unlock()
	notify(r.executorWake)
	if err := r.store(ctx, submitted, records); err != nil {
		return err
	}
	close(done)
	r.sendStarts(ctx, starts)
	return nil
}

// sendStarts sends the planned starts that are still valid.
func (r *Runner) sendStarts(ctx context.Context, starts []plan.Start) {
	if len(starts) == 0 {
		return
	}
	r.mu.Lock()
	orders := r.cell.Confirm(starts, time.Now())
	r.mu.Unlock()
	r.sendOrders(ctx, orders, nil)
	if len(orders) < len(starts) {
		r.Wake()
	}
}

// reportForeignToken calls OnFenced if an executor refused an order because it has seen the
// token of another leader.
func (r *Runner) reportForeignToken(to platform.ExecutorRef, token uint64, err error) {
	var refused *platform.RefusedError
	if !errors.As(err, &refused) || refused.Reason != platform.RefusedFenced {
		return
	}
	r.mu.Lock()
	ownToken := r.cell.IsTokenOutdated(to.ID, token)
	r.mu.Unlock()
	if !ownToken {
		r.cfg.OnFenced()
	}
}

// runExecutorLoop sends stops and keeps a hold loop for each executor. Neither depends on
// durable records, so both continue while a cycle waits for the store. Otherwise the runs of a
// cancelled job would continue for as long as the store accepts no appends.
func (r *Runner) runExecutorLoop(ctx context.Context) {
	ticker := time.NewTicker(maxExecutorInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		stops := r.cell.TakeStops(time.Now())
		r.startHoldLoops(ctx)
		r.mu.Unlock()
		r.sendOrders(ctx, nil, stops)
		pause.For(ctx, minExecutorInterval)
		select {
		case <-ctx.Done():
			return
		case <-r.executorWake:
		case <-ticker.C:
		}
	}
}

// runAdviceLoop makes advice calls also while a cycle waits for the store. Otherwise machines
// whose calls have been answered in the meantime would be idle.
func (r *Runner) runAdviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.adviceWake:
		}
		r.mu.Lock()
		started := time.Now()
		r.requestAdvice(ctx, started)
		took := time.Since(started)
		r.mu.Unlock()
		pause.For(ctx, max(minAdviceInterval, advicePauseFactor*took))
	}
}

// requestAdvice starts the advice calls that are due. The caller holds r.mu.
func (r *Runner) requestAdvice(ctx context.Context, now time.Time) {
	round := r.cfg.Peers.Round(now)
	for i, adviceCall := range r.cell.AdviceCalls(now, round) {
		r.spawn(func() { r.callAdvice(ctx, adviceCall, round.Slots()[i]) })
	}
}

func (r *Runner) callAdvice(ctx context.Context, a plan.AdviceCall, slot *assist.Slot) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	grants, valid, err := r.cfg.Peers.Advise(ctx, slot, a.Step, a.Executors)
	r.mu.Lock()
	if err != nil {
		r.cell.HandleAdviceFailure(a, time.Now())
	} else {
		r.cell.HandleGrants(a, grants, valid, time.Now())
	}
	r.mu.Unlock()
	if err != nil {
		r.cfg.Logger.WithError(err).WithField("step", a.Step).Debug("no advice")
	}
	notify(r.adviceWake)
	r.Wake()
}
