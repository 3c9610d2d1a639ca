package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Elector takes part in the election of one cell's leader. Its methods may be
// called from any goroutine.
type Elector struct {
	cfg Config

	// mu is the last lock that anything takes: those who hold locks of their
	// own ask the elector who leads, so it calls nobody while it holds it.
	mu        sync.Mutex
	state     *State // nil until the partition was read once
	suspected bool   // the leader's process answers no call
	stopping  bool
	yielding  bool                    // leadership is being handed over: to a machine with more processors, or since this one can't plan
	unread    bool                    // the state is from other processes; the store was not read yet
	blind     bool                    // the last read failed
	ledSince  time.Time               // of the newest claim of this process
	yielded   time.Time               // when this process last handed leadership over; zero: never
	usual     time.Duration           // what the last append took
	invited   bool                    // the leader has told that it stepped down, and where the partition ends
	waits     context.CancelCauseFunc // ends the read that waits for a record; nil: none does
	wake      chan struct{}
	released  chan struct{} // closed when this process has stepped down
}

// New returns an elector that has not read anything yet.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg, wake: make(chan struct{}, 1), released: make(chan struct{})}
}

// Current returns the leader as far as is known.
func (e *Elector) Current() Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil {
		return Leader{}
	}
	return e.state.Current()
}

// MayRenewLeases reports whether this process may extend executors' leases.
func (e *Elector) MayRenewLeases() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state != nil && e.state.MayRenewLeases(uptime(), e.cfg.Timing.LeaseRenewalWindow)
}

// Wake tells the elector that the store refused this process's epoch.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Release makes this process step down and claim no more. It returns when
// that is stored, or nothing was to be released, or ctx has ended. Until it is stored
// nobody else could lead, so this process goes on: in an outage of the store for as long
// as that and the process last.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	leads := e.state != nil && e.state.Leads()
	e.mu.Unlock()
	if !leads {
		return
	}
	e.Wake() // the loop makes the append, after the one that may be under way
	select {
	case <-e.released:
	case <-ctx.Done():
		e.cfg.Logger.Warn("leadership not released yet; others wait for the silence to end")
	}
}

// release appends that this process steps down.
func (e *Elector) release(ctx context.Context) error {
	at, err := e.append(ctx, releases)
	if err != nil {
		return e.settle(ctx, err)
	}
	e.cfg.OnLost()
	invitation := e.steppedDown(at)
	if e.cfg.OnReleased != nil {
		e.cfg.OnReleased(invitation)
	}
	return nil
}

// steppedDown takes in that the own release was stored, and returns the invitation for
// the next leader.
func (e *Elector) steppedDown(at platform.Offset) Invitation {
	e.mu.Lock()
	defer e.mu.Unlock()
	invitation := Invitation{Epoch: e.state.self.Epoch, End: at + 1, LastAppendDuration: e.usual}
	now := time.Now()
	e.state.stepDown(at, now)
	if e.stopping {
		close(e.released)
		return invitation
	}
	e.yielding = false
	e.yielded = now
	return invitation
}

// Run takes part until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.step(ctx); err != nil {
			e.cfg.Logger.WithError(err).Debug("leader partition not reached")
			pause.For(ctx, e.cfg.Timing.RetryDelay)
		}
	}
	return nil
}

// Resign hands leadership back, to whoever claims next: this process can't plan.
// A leader that renews and doesn't plan would keep all others from claiming.
func (e *Elector) Resign() {
	e.mu.Lock()
	e.yielding = true
	e.mu.Unlock()
	e.Wake() // wakes the loop, whose next step makes the append
}

// step makes the next call: the first read, a renewal, a claim or a watch.
func (e *Elector) step(ctx context.Context) error {
	e.mu.Lock()
	state, stopping, unread := e.state, e.stopping, e.unread
	leads := state != nil && state.Leads()
	e.yielding = e.yielding && leads
	gives := stopping || e.yielding
	e.mu.Unlock()
	switch {
	case state == nil || unread:
		return e.begin(ctx)
	case gives && leads:
		return e.release(ctx)
	case leads:
		e.sleep(ctx, e.cfg.Timing.RenewInterval)
		return e.renewOrRelease(ctx)
	case !stopping && e.due():
		return e.claim(ctx)
	case e.quiet(): // a process that stops reads on too: its last requests need the leader
		e.sleep(ctx, e.cfg.Timing.PollInterval)
		return nil
	default:
		return e.watch(ctx)
	}
}

// quiet reports whether the leader itself has told of a fresh renewal.
func (e *Elector) quiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.suspected && e.state.SinceContact(time.Now()) < e.cfg.Timing.RenewalFreshness
}

// begin finds the partition's end by reading all that is kept of it.
func (e *Elector) begin(ctx context.Context) error {
	from := platform.Offset(0)
	batch, err := e.read(ctx, from, 0)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		from = trimmed.First
		batch, err = e.read(ctx, from, 0)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	learned := e.state
	e.state = NewState(e.cfg.Self, from, time.Now())
	e.unread = false
	e.take(batch)
	e.state.seized = nil // when that was is not known
	if len(batch.Records) == 0 {
		e.state.released = true // nobody leads and nobody is waited for
	}
	if learned != nil {
		e.state.learn(learned.current, learned.heard)
	}
	return nil
}

// due reports whether this process should claim the cell.
func (e *Elector) due() bool {
	left, may := e.untilDue()
	return may && left <= 0
}

// untilDue returns how much longer the leader has to be silent before this process
// should claim the cell, and whether it may claim at all.
func (e *Elector) untilDue() (time.Duration, bool) {
	reserve, may := e.reserve()
	if !may {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	silence := e.state.SinceContact(now) - reserve
	switch {
	case e.state.Released():
		return -silence, true
	case e.suspected:
		return e.state.SilenceFactor(now)*e.cfg.Timing.SuspectedSilence - silence, true
	default:
		usual := max(e.cfg.Timing.MinTakeoverSilence, time.Duration(e.cfg.Timing.TakeoverGaps)*e.state.RenewalGap())
		return e.state.SilenceFactor(now)*usual - silence, true
	}
}

// renewOrRelease renews unless the process was asked to stop meanwhile.
func (e *Elector) renewOrRelease(ctx context.Context) error {
	standing := e.cfg.Suitability()
	e.mu.Lock()
	stopping, yields := e.stopping, e.shouldYield(standing, time.Now())
	e.mu.Unlock()
	switch {
	case stopping:
		return nil // the next step releases
	case yields:
		e.yield()
		return nil
	default:
		return e.renew(ctx)
	}
}

// yield begins to hand leadership to a machine that could lead much better;
// the next step makes the append.
func (e *Elector) yield() {
	e.cfg.Logger.Info("this process hands leadership to a machine with more processors")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.yielding = true
}

// renew appends a renewal.
func (e *Elector) renew(ctx context.Context) error {
	at, err := e.append(ctx, renews)
	if err != nil {
		return e.settle(ctx, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.renewed(at, time.Now())
	return nil
}

// settle finds out what became of an append that failed: it reads on.
func (e *Elector) settle(ctx context.Context, cause error) error {
	if errors.Is(cause, platform.ErrUnavailable) {
		return cause
	}
	return e.watchOnce(ctx, 0)
}

// What ends a read that waits for the leader's next record.
var (
	errSuspected = errors.New("leader: the leader's process answers no call")
	errInvited   = errors.New("leader: the leader has stepped down and invites this process")
)

// watch waits for the next record, or until the leader is suspected.
func (e *Elector) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.mu.Lock()
	e.waits = cancel
	e.mu.Unlock()
	wait := e.cfg.Timing.WatchTimeout
	if left, may := e.untilDue(); may && left > 0 {
		wait = min(wait, left.Truncate(time.Millisecond)+time.Millisecond)
	}
	err := e.watchOnce(ctx, wait)
	e.mu.Lock()
	e.waits = nil
	e.mu.Unlock()
	return err
}

// watchOnce reads on from the known end.
func (e *Elector) watchOnce(ctx context.Context, wait time.Duration) error {
	e.mu.Lock()
	from := e.state.End()
	e.mu.Unlock()
	batch, err := e.read(ctx, from, wait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		e.mu.Lock()
		e.state.end = trimmed.First
		e.mu.Unlock()
		return nil
	}
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errSuspected) || errors.Is(cause, errInvited)) {
		return nil // the store was not given the time to answer
	}
	if err != nil {
		e.mu.Lock()
		e.blind = true
		e.mu.Unlock()
		return err
	}
	e.mu.Lock()
	led := e.state.Leads()
	if e.blind {
		e.blind = false
		e.state.lookAgain(time.Now())
	}
	e.take(batch)
	lost := led && !e.state.Leads()
	by, own := e.state.Current(), e.state.isOwnClaim()
	e.mu.Unlock()
	if lost {
		e.cfg.Logger.WithFields(logrus.Fields{"by": by.Node, "epoch": by.Epoch}).Warn("this process was replaced as leader")
		e.cfg.OnLost()
	}
	if own {
		e.found()
	}
	return nil
}

// take applies records; e.mu is held.
func (e *Elector) take(batch platform.RecordBatch) {
	now := time.Now()
	for _, r := range batch.Records {
		rec, err := decode(r.Value)
		if err != nil {
			e.cfg.Logger.WithError(err).WithField("offset", r.Offset).Error("unreadable record in the leader partition is skipped")
			e.state.end = r.Offset + 1
			continue
		}
		before := e.state.Current().Epoch
		e.state.read(r.Offset, rec, now)
		if e.state.Current().Epoch != before {
			e.suspected = false
		}
	}
}
