// Package lease computes, for one worker VM, the lease expiry that each exchange
// carries, and decides when an attempt is certainly no longer running there.
//
// It does no I/O and reads no clock. The expiry is a time on the worker's own clock,
// computed from the latest report, so that a delayed, duplicated or reordered exchange
// never extends a lease. Times of this VM are never compared with the worker's; only
// the clock rates are assumed to differ by at most Params.Drift.
package lease

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Params are the parameters that all entry VMs and workers must agree on.
type Params struct {
	Lease time.Duration // on the worker's clock
	Hold  time.Duration // how long a superseded holder may continue to renew leases
	Drift float64       // maximum relative difference of clock rates, for example 0.001
}

// withDrift returns d extended by the maximum clock drift.
func (p Params) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + p.Drift))
}

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task    api.TaskID
	Attempt uint32
}

// attemptState is the state of an attempt whose start may have been sent to the worker.
type attemptState struct {
	incarnation uint64              // of the worker that the start was sent to; zero: unknown
	validUntil  platform.WorkerTime // no copy of the start is valid from this time on; zero: unknown
	ended       bool                // certainly isn't running and never will
}

// ExchangeID is the sequence number of an exchange with one VM, starting at 1.
type ExchangeID uint64

// Grant is the lease information of an exchange. A zero Expiry renews no lease, and such
// an exchange must not carry starts.
type Grant struct {
	ExchangeID  ExchangeID
	Incarnation uint64
	Expiry      platform.WorkerTime
}

// Tracker tracks the leases and attempts of one VM during one tenure of the placement
// shard. It is not safe for concurrent use.
type Tracker struct {
	params   Params
	takeover time.Time // when the claim was read back

	lastBuilt        ExchangeID
	lastAnswered     ExchangeID
	reportedAt       time.Time           // arrival of the latest report; zero before the first
	incarnation      uint64              // of the latest report; zero before the first
	clock            platform.WorkerTime // of the latest report; only valid with incarnation
	inheritedUntil   platform.WorkerTime // starts sent by earlier holders are invalid from this time on
	firstIncarnation uint64              // of the first report
	attempts         map[Attempt]attemptState
}

// New returns a tracker for a tenure whose claim was read back at takeover.
func New(params Params, takeover time.Time) *Tracker {
	return &Tracker{params: params, takeover: takeover, attempts: make(map[Attempt]attemptState)}
}

// Inherit records that an earlier holder may have sent the VM a start of a.
func (t *Tracker) Inherit(a Attempt) {
	if _, ok := t.attempts[a]; !ok {
		t.attempts[a] = attemptState{}
	}
}

// BuildGrant returns the grant for a new exchange that carries the given starts. It must
// be called before the holder checks its hold and sends the exchange, so that a delayed
// exchange carries an expiry computed before the check. Before the first report nothing
// may be started, and BuildGrant returns false if there are starts.
func (t *Tracker) BuildGrant(starts []Attempt) (Grant, bool) {
	t.lastBuilt++
	g := Grant{ExchangeID: t.lastBuilt, Incarnation: t.incarnation}
	if t.incarnation == 0 {
		return g, len(starts) == 0
	}
	g.Expiry = t.clock + platform.WorkerTime(t.params.Lease)
	for _, a := range starts {
		prior := t.attempts[a]
		t.attempts[a] = attemptState{incarnation: t.incarnation, validUntil: max(prior.validUntil, g.Expiry)}
	}
	return g, true
}

// ApplyReport applies the answer to exchange x, which arrived at now. It returns false,
// and the answer must be ignored, if a newer answer was already applied.
func (t *Tracker) ApplyReport(now time.Time, x ExchangeID, r platform.WorkerReport) bool {
	if x <= t.lastAnswered || x > t.lastBuilt || r.Incarnation == 0 {
		return false
	}
	if r.Incarnation == t.incarnation && r.Clock < t.clock {
		return false
	}
	t.lastAnswered = x
	if t.firstIncarnation == 0 {
		t.firstIncarnation = r.Incarnation
		t.inheritedUntil = r.Clock + platform.WorkerTime(t.params.Lease)
	}
	t.incarnation = r.Incarnation
	t.clock = r.Clock
	t.reportedAt = now
	return true
}

// Incarnation returns the worker's incarnation, or zero before the first report.
func (t *Tracker) Incarnation() uint64 {
	return t.incarnation
}

// ConfirmMissing reports whether an attempt that is missing in the latest report
// certainly isn't running on the VM and never will. If so, the attempt is marked as ended
// and stays known until Prune, so that its start is not sent again before its loss is in
// the log.
func (t *Tracker) ConfirmMissing(a Attempt) bool {
	state := t.attempts[a]
	if state.ended || !t.hasEnded(a) {
		return state.ended
	}
	t.MarkEnded(a)
	return true
}

// hasEnded reports whether an attempt that is missing in the latest report certainly isn't
// running and never will.
func (t *Tracker) hasEnded(a Attempt) bool {
	state, ok := t.attempts[a]
	if !ok {
		return true // its start was never sent
	}
	if t.incarnation == 0 {
		return false
	}
	if state.incarnation == 0 {
		return t.incarnation != t.firstIncarnation || t.clock >= t.inheritedUntil
	}
	return state.incarnation != t.incarnation || t.clock >= state.validUntil
}

// MarkEnded marks an attempt as ended, so that its start is not sent again.
func (t *Tracker) MarkEnded(a Attempt) {
	state := t.attempts[a]
	state.ended = true
	t.attempts[a] = state
}

// Known reports whether a start of a may have been sent to the VM, in this tenure or an
// earlier one, or a was marked as ended.
func (t *Tracker) Known(a Attempt) bool {
	_, ok := t.attempts[a]
	return ok
}

// RevertStarts reverts the starts of an exchange that certainly did not reach the VM.
// None of them may have been sent before.
func (t *Tracker) RevertStarts(starts []Attempt) {
	for _, a := range starts {
		delete(t.attempts, a)
	}
}

// Prune drops the attempts that, according to the log, no longer hold capacity of the VM.
func (t *Tracker) Prune(holds func(Attempt) bool) {
	for a := range t.attempts {
		if !holds(a) {
			delete(t.attempts, a)
		}
	}
}

// ExpiresAt returns the time from which every lease granted to the VM so far, by this
// holder or earlier ones, has certainly expired. All grants since the latest report carry
// the same expiry on the worker's clock, namely one lease after the clock reading in that
// report, so exchanges without an answer don't extend it.
func (t *Tracker) ExpiresAt() time.Time {
	at := t.takeover.Add(t.params.withDrift(t.params.Hold + t.params.Lease))
	if t.reportedAt.IsZero() {
		return at
	}
	if own := t.reportedAt.Add(t.params.withDrift(t.params.Lease)); own.After(at) {
		return own
	}
	return at
}

// Expired reports whether every lease of the VM has certainly expired at now. If so, all
// known attempts are marked as ended.
func (t *Tracker) Expired(now time.Time) bool {
	if now.Before(t.ExpiresAt()) {
		return false
	}
	for a := range t.attempts {
		t.MarkEnded(a)
	}
	return true
}
