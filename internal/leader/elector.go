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

// Elector takes part in the election of one cell's leader. It is safe for concurrent
// use.
type Elector struct {
	cfg Config

	// mu is the innermost lock of the process: callers ask the elector who leads while
	// they hold their own locks, so no callback may run while mu is held.
	mu                 sync.Mutex
	state              *State // nil until the partition has been read or a leader was observed
	suspected          bool   // the leader's process does not answer calls
	stopping           bool
	resigning          bool                    // leadership is being handed over, to a machine with more processors or because this one can't plan
	storeUnread        bool                    // the state comes from other processes; the store has not been read yet
	readFailed         bool                    // the last read failed
	leadingSince       time.Time               // time of this process's newest claim
	lastHandover       time.Time               // when this process last handed leadership over; zero: never
	lastAppendDuration time.Duration           // estimate from the last append
	invited            bool                    // the leader has announced that it stepped down and where the partition ends
	cancelWatch        context.CancelCauseFunc // cancels the read that waits for a record; nil: there is none
	wake               chan struct{}
	released           chan struct{} // closed when this process has stepped down
}

// New returns an elector that has not read the partition yet.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg, wake: make(chan struct{}, 1), released: make(chan struct{})}
}

// Current returns the current leader as known to this process; its epoch is zero if
// none is known.
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

// Wake ends the pause between two steps of Run, for example after the store has
// rejected this process's epoch.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Release makes this process step down and never claim again. It returns when the
// release is stored, when this process does not lead, or when ctx ends. Until the
// release is stored no other process can lead, so this process continues to lead:
// during an outage of the store for as long as the outage and the process last.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	leads := e.state != nil && e.state.Leads()
	e.mu.Unlock()
	if !leads {
		return
	}
	e.Wake() // Run appends the release, after an append that may be in progress
	select {
	case <-e.released:
	case <-ctx.Done():
		e.cfg.Logger.Warn("leadership not released in time; other processes claim it after the takeover timeout")
	}
}

// release appends a release record, by which this process steps down.
func (e *Elector) release(ctx context.Context) error {
	at, err := e.append(ctx, kindRelease)
	if err != nil {
		return e.resolveAppend(ctx, err)
	}
	e.cfg.OnLost()
	invitation := e.handleStoredRelease(at)
	if e.cfg.OnReleased != nil {
		e.cfg.OnReleased(invitation)
	}
	return nil
}

// handleStoredRelease updates the state after this process's release was stored, and
// returns the invitation for the next leader.
func (e *Elector) handleStoredRelease(at platform.Offset) Invitation {
	e.mu.Lock()
	defer e.mu.Unlock()
	invitation := Invitation{Epoch: e.state.self.Epoch, End: at + 1, LastAppendDuration: e.lastAppendDuration}
	now := time.Now()
	e.state.releaseStored(at, now)
	if e.stopping {
		close(e.released)
		return invitation
	}
	e.resigning = false
	e.lastHandover = now
	return invitation
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.step(ctx); err != nil {
			e.cfg.Logger.WithError(err).Debug("leader partition can't be reached")
			pause.For(ctx, e.cfg.Timing.RetryDelay)
		}
	}
	return nil
}

// Resign gives up leadership, for any process to claim, because this process can't
// plan. A leader that renews without planning would keep all others from claiming.
func (e *Elector) Resign() {
	e.mu.Lock()
	e.resigning = true
	e.mu.Unlock()
	e.Wake() // the next step of Run appends the release
}

// step makes the next call to the store: the first read, a renewal, a release, a claim
// or a watch.
func (e *Elector) step(ctx context.Context) error {
	e.mu.Lock()
	state, stopping, storeUnread := e.state, e.stopping, e.storeUnread
	leads := state != nil && state.Leads()
	e.resigning = e.resigning && leads
	shouldRelease := stopping || e.resigning
	e.mu.Unlock()
	switch {
	case state == nil || storeUnread:
		return e.initialize(ctx)
	case shouldRelease && leads:
		return e.release(ctx)
	case leads:
		e.sleep(ctx, e.cfg.Timing.RenewInterval)
		return e.renewOrRelease(ctx)
	case !stopping && e.claimDue():
		return e.claim(ctx)
	case e.hasFreshRenewal(): // a stopping process also follows the election: its last requests need the leader
		e.sleep(ctx, e.cfg.Timing.PollInterval)
		return nil
	default:
		return e.watch(ctx)
	}
}

// hasFreshRenewal reports whether the leader's last known renewal is recent enough that
// the store need not be read. After a release the next claim is read at once, since
// nothing else tells a machine that the new leader doesn't know.
func (e *Elector) hasFreshRenewal() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.suspected && !e.state.Released() && e.state.SinceContact(time.Now()) < e.cfg.Timing.RenewalFreshness
}

// initialize reads all records that the partition still holds and so finds its end.
func (e *Elector) initialize(ctx context.Context) error {
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
	observed := e.state
	e.state = NewState(e.cfg.Self, from, time.Now())
	e.storeUnread = false
	e.applyBatch(batch)
	e.state.takeovers = nil // their times are not known
	if len(batch.Records) == 0 {
		e.state.released = true // there is no leader to wait for
	}
	if observed != nil {
		e.state.observeLeader(observed.current, observed.lastContact)
	}
	return nil
}

// claimDue reports whether this process should claim the cell now.
func (e *Elector) claimDue() bool {
	remaining, mayClaim := e.timeUntilClaim()
	return mayClaim && remaining <= 0
}

// timeUntilClaim returns for how much longer the leader must be silent until this
// process should claim the cell, and whether it may claim at all.
func (e *Elector) timeUntilClaim() (time.Duration, bool) {
	claimDelay, mayClaim := e.claimDelay()
	if !mayClaim {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	silence := e.state.SinceContact(now) - claimDelay
	switch {
	case e.state.Released():
		return -silence, true
	case e.suspected:
		return e.state.SilenceFactor(now)*e.cfg.Timing.SuspectedSilence - silence, true
	default:
		minSilence := max(e.cfg.Timing.MinTakeoverSilence, time.Duration(e.cfg.Timing.TakeoverGaps)*e.state.RenewalGap())
		return e.state.SilenceFactor(now)*minSilence - silence, true
	}
}

// renewOrRelease renews leadership unless the process is stopping or should hand over.
func (e *Elector) renewOrRelease(ctx context.Context) error {
	suitability := e.cfg.Suitability()
	e.mu.Lock()
	stopping, outclassed := e.stopping, e.shouldHandOver(suitability, time.Now())
	e.mu.Unlock()
	switch {
	case stopping:
		return nil // the next step appends the release
	case outclassed:
		e.handOver()
		return nil
	default:
		return e.renew(ctx)
	}
}

// handOver starts to hand leadership to a machine with many more processors. The next
// step appends the release.
func (e *Elector) handOver() {
	e.cfg.Logger.Info("this process hands leadership to a machine with more processors")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigning = true
}

// renew appends a renewal record.
func (e *Elector) renew(ctx context.Context) error {
	at, err := e.append(ctx, kindRenewal)
	if err != nil {
		return e.resolveAppend(ctx, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.renewalStored(at, time.Now())
	return nil
}

// resolveAppend determines the outcome of a failed append by reading the partition from
// the known end. An append that certainly did not happen needs no read.
func (e *Elector) resolveAppend(ctx context.Context, cause error) error {
	if errors.Is(cause, platform.ErrUnavailable) {
		return cause
	}
	return e.watchOnce(ctx, 0)
}

// Causes for which a read that waits for the leader's next record is cancelled.
var (
	errSuspected = errors.New("leader: the leader's process does not answer calls")
	errInvited   = errors.New("leader: the leader stepped down and invited this process")
)

// watch waits for the next record, until a claim is due, or until the leader is
// suspected or invites this process.
func (e *Elector) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.mu.Lock()
	e.cancelWatch = cancel
	e.mu.Unlock()
	wait := e.cfg.Timing.WatchTimeout
	if remaining, mayClaim := e.timeUntilClaim(); mayClaim && remaining > 0 {
		wait = min(wait, remaining.Truncate(time.Millisecond)+time.Millisecond)
	}
	err := e.watchOnce(ctx, wait)
	e.mu.Lock()
	e.cancelWatch = nil
	e.mu.Unlock()
	return err
}

// watchOnce reads and applies the records from the known end on.
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
		return nil // the read was cancelled, so the store has not failed
	}
	if err != nil {
		e.mu.Lock()
		e.readFailed = true
		e.mu.Unlock()
		return err
	}
	e.mu.Lock()
	led := e.state.Leads()
	if e.readFailed {
		e.readFailed = false
		e.state.resetContact(time.Now())
	}
	e.applyBatch(batch)
	lost := led && !e.state.Leads()
	by, own := e.state.Current(), e.state.hasUnadoptedClaim()
	e.mu.Unlock()
	if lost {
		e.cfg.Logger.WithFields(logrus.Fields{"by": by.Node, "epoch": by.Epoch}).Warn("this process was replaced as leader")
		e.cfg.OnLost()
	}
	if own {
		e.adoptStoredClaim()
	}
	return nil
}

// applyBatch applies the records of a batch. The caller holds e.mu.
func (e *Elector) applyBatch(batch platform.RecordBatch) {
	now := time.Now()
	for _, r := range batch.Records {
		rec, err := decode(r.Value)
		if err != nil {
			e.cfg.Logger.WithError(err).WithField("offset", r.Offset).Error("unreadable record in the leader partition is skipped")
			e.state.end = r.Offset + 1
			continue
		}
		before := e.state.Current().Epoch
		e.state.applyRecord(r.Offset, rec, now)
		if e.state.Current().Epoch != before {
			e.suspected = false
		}
	}
}
