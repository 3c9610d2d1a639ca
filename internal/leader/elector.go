package leader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Timing holds the elector's intervals.
type Timing struct {
	Renew        time.Duration // between two renewals of the leader
	Takeover     time.Duration // least silence after which another process claims
	Gaps         int           // as many of the usual gaps between renewals are waited for
	Suspected    time.Duration // the same when the leader's process answers no call
	Abandoned    time.Duration // the same when it says that it doesn't lead
	Spread       time.Duration // claims of several processes are spread over this time
	Watch        time.Duration // how long a read waits for a record
	Fresh        time.Duration // silence up to which the store is not read
	Look         time.Duration // between two looks at that
	Append       time.Duration // least timeout of an append; it grows with what appends take
	AppendMost   time.Duration // up to this
	Call         time.Duration // longest read beside its wait
	Retry        time.Duration // pause after a call that failed
	LeaseRenewal time.Duration // after the last confirmed renewal, for which executors' leases are extended
}

// DefaultTiming returns the timing in use. A renewal takes about 5 ms at the
// platform's store; two may be lost before the leader is given up. While the
// store is slow, renewals come at longer gaps, and more silence is waited for.
// The time
// for which leases are extended covers, with a lease, an outage of the store
// of 7 s; the longest that the users name is 6.2 s.
func DefaultTiming() Timing {
	return Timing{
		Renew:        250 * time.Millisecond,
		Takeover:     800 * time.Millisecond,
		Gaps:         3,
		Suspected:    450 * time.Millisecond,
		Abandoned:    100 * time.Millisecond,
		Spread:       60 * time.Millisecond,
		Watch:        200 * time.Millisecond,
		Fresh:        600 * time.Millisecond,
		Look:         50 * time.Millisecond,
		Append:       200 * time.Millisecond,
		AppendMost:   600 * time.Millisecond,
		Call:         700 * time.Millisecond,
		Retry:        100 * time.Millisecond,
		LeaseRenewal: 3 * time.Second,
	}
}

// Config is what an Elector works with.
type Config struct {
	Log       platform.PartitionLog
	Partition platform.Partition
	Self      Leader // without an epoch
	Timing    Timing
	Events    *logrus.Entry
	// Gained is called when this process has become the leader, Lost when it
	// no longer is. Neither may block.
	Gained func(epoch api.Epoch)
	Lost   func()
}

// Elector takes part in the election of one cell's leader. Its methods may be
// called from any goroutine.
type Elector struct {
	cfg Config

	mu        sync.Mutex
	state     *State // nil until the partition was read once
	suspected bool   // the leader's process answers no call
	stopping  bool
	unread    bool          // the state is from other processes; the store was not read yet
	blind     bool          // the last read failed
	usual     time.Duration // what the last append took
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
	return e.state != nil && e.state.MayRenewLeases(uptime(), e.cfg.Timing.LeaseRenewal)
}

// Learn takes in from another process who leads: one that can't read the
// store learns it only so. It returns the highest epoch known.
func (e *Elector) Learn(l Leader) api.Epoch {
	e.mu.Lock()
	if e.state == nil {
		e.state = NewState(e.cfg.Self, 0, time.Now())
		e.unread = true
	}
	led := e.state.Leads()
	if e.state.learn(l, time.Now()) {
		e.suspected = false
	}
	lost := led && !e.state.Leads()
	highest := e.state.highest
	e.mu.Unlock()
	if lost {
		e.cfg.Events.WithFields(logrus.Fields{"by": l.Node, "epoch": l.Epoch}).Warn("this process hears that it was replaced as leader")
		e.cfg.Lost()
	}
	return highest
}

// Assured takes in from the leader of an epoch how long ago its last confirmed
// renewal was sent: while that is fresh the store need not be read.
func (e *Elector) Assured(epoch api.Epoch, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != nil {
		e.state.assured(epoch, time.Now().Add(-age))
	}
}

// Confirmed returns how long ago the last confirmed renewal of this process,
// as leader, was sent.
func (e *Elector) Confirmed() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == nil || !e.state.Leads() {
		return time.Hour
	}
	return time.Duration(uptime() - e.state.confirmed)
}

// Suspect notes that the process of the given leader answers no call, so that
// less silence is waited for.
func (e *Elector) Suspect(epoch api.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != nil && e.state.Current().Epoch == epoch {
		e.suspected = true
	}
}

// Abandoned notes that the process at the address of the given leader says
// that it doesn't lead, as after a restart: no silence has to be waited for.
func (e *Elector) Abandoned(epoch api.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != nil && e.state.Current().Epoch == epoch && e.state.Silence(time.Now()) > e.cfg.Timing.Abandoned {
		e.state.released = true
	}
}

// Trust takes back a suspicion.
func (e *Elector) Trust() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspected = false
}

// Replaced tells the elector that the store refused this process's epoch.
func (e *Elector) Replaced() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Release makes this process step down and claim no more. It returns when
// that is stored, or nothing was to be released, or ctx has ended.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	leads := e.state != nil && e.state.Leads()
	e.mu.Unlock()
	if !leads {
		return
	}
	e.cfg.Lost()
	e.Replaced() // the loop makes the append, after the one that may be under way
	select {
	case <-e.released:
	case <-ctx.Done():
		e.cfg.Events.Warn("leadership not released yet; others wait for the silence to end")
	}
}

// release appends that this process steps down.
func (e *Elector) release(ctx context.Context) error {
	at, err := e.append(ctx, releases)
	if err != nil {
		return e.settle(ctx, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.stepDown(at, time.Now())
	close(e.released)
	return nil
}

// Run takes part until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := e.step(ctx); err != nil {
			e.cfg.Events.WithError(err).Debug("leader partition not reached")
			pause.For(ctx, e.cfg.Timing.Retry)
		}
	}
	return nil
}

// step makes the next call: the first read, a renewal, a claim or a watch.
func (e *Elector) step(ctx context.Context) error {
	e.mu.Lock()
	state, stopping, unread := e.state, e.stopping, e.unread
	leads := state != nil && state.Leads()
	e.mu.Unlock()
	switch {
	case state == nil || unread:
		return e.begin(ctx)
	case stopping && leads:
		return e.release(ctx)
	case stopping:
		pause.For(ctx, e.cfg.Timing.Renew)
		return nil
	case leads:
		e.sleep(ctx, e.cfg.Timing.Renew)
		return e.renewOrRelease(ctx)
	case e.due():
		return e.claim(ctx)
	case e.quiet():
		pause.For(ctx, e.cfg.Timing.Look)
		return nil
	default:
		return e.watch(ctx)
	}
}

// quiet reports whether the leader itself has told of a fresh renewal.
func (e *Elector) quiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.suspected && e.state.Silence(time.Now()) < e.cfg.Timing.Fresh
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
	e.mu.Lock()
	defer e.mu.Unlock()
	silence := e.state.Silence(time.Now())
	switch {
	case e.state.Released():
		return true
	case e.suspected:
		return silence > e.cfg.Timing.Suspected
	default:
		return silence > max(e.cfg.Timing.Takeover, time.Duration(e.cfg.Timing.Gaps)*e.state.Gap())
	}
}

// claim appends a claim.
func (e *Elector) claim(ctx context.Context) error {
	pause.For(ctx, rand.N(e.cfg.Timing.Spread))
	if err := e.watchOnce(ctx, 0); err != nil { // somebody may have been faster
		return err
	}
	if !e.due() {
		return nil
	}
	at, err := e.append(ctx, claims)
	if err != nil {
		return e.settle(ctx, err)
	}
	e.mu.Lock()
	e.state.claimed(at, time.Now())
	e.suspected = false
	epoch := e.state.self.Epoch
	e.mu.Unlock()
	e.cfg.Events.WithField("epoch", epoch).Info("this process leads the cell")
	e.cfg.Gained(epoch)
	return nil
}

// renewOrRelease renews unless the process was asked to stop meanwhile.
func (e *Elector) renewOrRelease(ctx context.Context) error {
	e.mu.Lock()
	stopping := e.stopping
	e.mu.Unlock()
	if stopping {
		return nil // the next step releases
	}
	return e.renew(ctx)
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

// watch waits for the next record.
func (e *Elector) watch(ctx context.Context) error {
	return e.watchOnce(ctx, e.cfg.Timing.Watch)
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
	by := e.state.Current()
	e.mu.Unlock()
	if lost {
		e.cfg.Events.WithFields(logrus.Fields{"by": by.Node, "epoch": by.Epoch}).Warn("this process was replaced as leader")
		e.cfg.Lost()
	}
	return nil
}

// take applies records; e.mu is held. A record of this process that it holds
// for unwritten (its answer was lost) is recognised by its incarnation.
func (e *Elector) take(batch platform.RecordBatch) {
	now := time.Now()
	for _, r := range batch.Records {
		rec, err := decode(r.Value)
		if err != nil {
			e.cfg.Events.WithError(err).WithField("offset", r.Offset).Error("unreadable record in the leader partition is skipped")
			e.state.end = r.Offset + 1
			continue
		}
		before := e.state.Current().Epoch
		e.state.read(r.Offset, rec, now)
		if rec.Kind == claims && e.state.isOwn(rec) {
			// The claim counts, but nothing was begun on it: give it back by
			// claiming again, which is simpler than to begin late.
			e.state.released = true
		}
		if e.state.Current().Epoch != before {
			e.suspected = false
		}
	}
}

func (e *Elector) append(ctx context.Context, k kind) (platform.Offset, error) {
	e.mu.Lock()
	rec, at := e.state.own(k), e.state.End()
	e.state.sending(uptime())
	e.mu.Unlock()
	data, err := encode(rec)
	if err != nil {
		return 0, err
	}
	timeout := e.appendTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	offset, err := e.cfg.Log.Append(ctx, platform.Append{
		Partition: e.cfg.Partition,
		Records:   []platform.Record{{Value: data}},
		At:        &at,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.usual = time.Since(sent)
	case errors.Is(err, platform.ErrUncertain):
		e.usual = min(timeout, e.cfg.Timing.AppendMost/2) // the next one is given more
	}
	return offset, err
}

// appendTimeout returns for how long the next append is waited for: a
// multiple of what the last one took.
func (e *Elector) appendTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.cfg.Timing.Append, min(2*e.usual, e.cfg.Timing.AppendMost))
}

func (e *Elector) read(ctx context.Context, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timing.Call+wait)
	defer cancel()
	return e.cfg.Log.Read(ctx, e.cfg.Partition, from, wait)
}

// sleep pauses for d, or less if the store refused this process's epoch.
func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.wake:
	case <-ctx.Done():
	}
}
