// Package dispatch carries out what package plan decides for a cell: it makes
// progress durable, sends starts and stops, keeps the leases of executors,
// reads their reports and the registry, and has advice asked for. It runs on
// the machine that leads the cell.
package dispatch

import (
	"context"
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
	cyclePace   = 10 * time.Millisecond  // least time between two cycles: what comes meanwhile shares an append
	cycleIdle   = 100 * time.Millisecond // longest time between two cycles: tickets and leases end without an event
	attendPace  = 10 * time.Millisecond  // least time between two looks for stops to send and executors to call
	attendIdle  = 100 * time.Millisecond // longest time between two of them: stops become due again without an event
	askPace     = 5 * time.Millisecond   // least time between two looks for calls for advice that are due
	holdWait    = time.Second            // how long an executor's report waits for an end
	holdTimeout = 700 * time.Millisecond // for a report, beside its wait
	holdPace    = 40 * time.Millisecond  // least time between two holds on an executor: ends close together share one
	holdRetry   = 200 * time.Millisecond
	askTimeout  = 3 * time.Second // of a call for advice, which may wait behind others
	tidyEvery   = time.Second     // between two looks for jobs that ended
	tidyAtOnce  = 2000            // such jobs at a look: 5,000 starts a second end fewer jobs, and their records fit one append
	wholeFor    = 5 * time.Second // after its end a job's submission is kept for runs that come to light late
)

// Config is what a Runner works with.
type Config struct {
	Plan               plan.Config
	Self               leader.Leader // with the epoch
	Log                platform.PartitionLog
	Jobs               platform.Partition // of the cell's jobs
	Registry           platform.Partition // of the executors' records
	Decode             DecodeExecutor
	Executors          platform.Executors
	Replica            *replica.Replica
	Reader             *replica.Reader
	Peers              *assist.Peers
	Caller             assist.Caller
	BulkCaller         assist.Caller  // on connections of its own, for content of records
	LocalDataCentre    api.DataCentre // of this machine
	LinkBytesPerSecond float64        // bytes a second that its link carries; 0: not told
	LinkFull           func() bool    // little more can be sent by it without delay; nil: never
	Configuration      func() *queue.Configuration
	CanRenewLeases     func() bool           // leases may be extended
	OnFenced           func()                // somebody refused this leader's epoch
	CutOff             func() bool           // this machine reaches neither the store nor another data centre; nil: never
	LastRenewal        func() leader.Renewal // the last of leadership that was confirmed
	OnHigherEpoch      func(epoch api.Epoch) // a machine has heard of a higher epoch
	LastAppendDuration time.Duration         // what an append took last; 0: not known
	Logger             *logrus.Entry
}

// Runner leads a cell.
type Runner struct {
	cfg      Config
	writer   *writer
	wake     chan struct{} // a cycle should begin
	attend   chan struct{} // there may be stops to send and executors to call
	answered chan struct{} // a call for advice has ended

	mu       sync.Mutex // guards the fields below
	cell     *plan.Cell
	cycle    chan struct{} // closed when the next whole cycle has ended
	gate     admission.Controller
	inbox    []*submission // to be stored with the next cycle
	patience time.Duration // how long the store may take before submissions are refused
	stuck    time.Time     // since when an append has had no answer; zero: none is under way
	refused  time.Time     // when the store last refused an append
	holds    map[string]context.CancelFunc
	ended    bool
	tasks    sync.WaitGroup
}

// New returns a runner that has not begun.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:      cfg,
		writer:   newWriter(cfg),
		wake:     make(chan struct{}, 1),
		attend:   make(chan struct{}, 1),
		answered: make(chan struct{}, 1),
		cycle:    make(chan struct{}),
		patience: stuckAfter,
		holds:    make(map[string]context.CancelFunc),
	}
}

// Run leads the cell until ctx ends or a higher epoch has written.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.tasks.Wait()
	defer cancel()
	defer r.end() // also of what was handed in while it began
	if err := r.begin(ctx); err != nil {
		return err
	}
	r.spawn(func() { r.followRegistry(ctx) })
	r.spawn(func() { r.keepAsking(ctx) })
	r.spawn(func() { r.keepAttending(ctx) })
	return r.cycles(ctx)
}

// end lets go of the replica and of what was handed in.
func (r *Runner) end() {
	r.cfg.Replica.SetPublisher(nil)
	r.cfg.Replica.SetListener(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.inbox {
		s.finish(assist.NotStored)
	}
	r.inbox = nil
	r.ended = true
}

// lookup returns any job whose submission is stored.
func (r *Runner) lookup(id work.ID) *work.Job {
	e, _ := r.cfg.Replica.Get(id)
	return e.Job
}

// failed tells the elector when the store has refused this leader's epoch.
func (r *Runner) failed(err error) error {
	if errors.Is(err, platform.ErrFenced) {
		r.cfg.OnFenced()
	}
	return err
}

func (r *Runner) spawn(f func()) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		f()
	}()
}

// Wake has a cycle begin soon and executors attended to at once.
func (r *Runner) Wake() {
	signal(r.wake)
	signal(r.attend)
}

// signal has the reader of a channel of capacity one look again.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// changed takes in records of jobs.
func (r *Runner) changed(changes []replica.Change) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ch := range changes {
		switch {
		case ch.Kind == work.KindProgress:
		case ch.Entry.Cancelled: // the submission may be read later, or just now
			r.cell.Cancel(ch.ID)
		case ch.Entry.Job == nil:
		case !ch.Entry.State().Final():
			r.cell.AddJob(ch.Entry.Job, ch.Entry.Progress, now.UnixMilli(), now)
		}
	}
	r.Wake()
}

// cycles plans, stores and sends until ctx ends or the leader was replaced.
func (r *Runner) cycles(ctx context.Context) error {
	tidied := time.Now()
	for ctx.Err() == nil {
		r.await(ctx)
		if err := r.once(ctx); err != nil {
			return r.failed(err)
		}
		if time.Since(tidied) > tidyEvery {
			tidied = time.Now()
			if err := r.tidy(ctx); err != nil {
				return r.failed(err)
			}
		}
	}
	return ctx.Err()
}

func (r *Runner) await(ctx context.Context) {
	pause.For(ctx, cyclePace)
	timer := time.NewTimer(cycleIdle)
	defer timer.Stop()
	select {
	case <-r.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// once makes one cycle: decide, make durable, check again, send.
func (r *Runner) once(ctx context.Context) error {
	r.mu.Lock()
	now := time.Now()
	r.cell.Configure(r.cfg.Configuration())
	handedIn := r.takeInbox()
	r.cell.StartDueOccurrences(now.UnixMilli(), now)
	r.cell.DropExpired(now)
	r.cell.RecordRunning(now)
	starts := r.cell.Plan(now)
	r.cell.LogWaitingSteps(now)
	records := r.cell.TakeDirtyRecords()
	done := r.cycle
	r.cycle = make(chan struct{})
	r.askAdvice(ctx, now)
	r.mu.Unlock()
	signal(r.attend)
	if err := r.store(ctx, handedIn, records); err != nil {
		return err
	}
	close(done)
	r.send(ctx, starts)
	return nil
}

// send sends the planned starts that are still right.
func (r *Runner) send(ctx context.Context, starts []plan.Start) {
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

// noticeFence tells the elector when an executor has seen the token of another leader.
func (r *Runner) noticeFence(to platform.ExecutorRef, token uint64, err error) {
	var refused *platform.RefusedError
	if !errors.As(err, &refused) || refused.Reason != platform.RefusedFenced {
		return
	}
	r.mu.Lock()
	own := r.cell.IsTokenOutdated(to.ID, token)
	r.mu.Unlock()
	if !own {
		r.cfg.OnFenced()
	}
}

// keepAttending sends stops and keeps a hold loop for each executor. Neither
// needs anything durable, so both go on while a cycle waits for the store: a
// run of a cancelled job would go on for as long as the store takes no appends.
func (r *Runner) keepAttending(ctx context.Context) {
	ticker := time.NewTicker(attendIdle)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		stops := r.cell.TakeStops(time.Now())
		r.keepHolds(ctx)
		r.mu.Unlock()
		r.sendOrders(ctx, nil, stops)
		pause.For(ctx, attendPace)
		select {
		case <-ctx.Done():
			return
		case <-r.attend:
		case <-ticker.C:
		}
	}
}

// keepAsking has calls for advice made while a cycle waits for the store: machines whose
// calls were answered meanwhile would have nothing to do.
func (r *Runner) keepAsking(ctx context.Context) {
	ticker := time.NewTicker(askPace)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.answered:
		}
		r.mu.Lock()
		r.askAdvice(ctx, time.Now())
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// askAdvice has the calls for advice made that are due; r.mu is held.
func (r *Runner) askAdvice(ctx context.Context, now time.Time) {
	round := r.cfg.Peers.Round(now)
	for i, ask := range r.cell.AdviceCalls(now, round) {
		r.spawn(func() { r.advise(ctx, ask, round.Slots()[i]) })
	}
}

func (r *Runner) advise(ctx context.Context, a plan.AdviceCall, slot *assist.Slot) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	signal(r.answered)
	r.Wake()
}
