// Package lease decides, for one worker VM, which lease expiry an exchange
// carries and when an attempt is certainly not running there any more.
//
// It is pure code. The expiry is a point on the worker's own clock, worked
// out from the latest report, so that a late, doubled or reordered exchange
// never lengthens a lease. Times of this VM are never compared with the
// worker's: rates differ by at most Params.Drift.
package lease

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Params are the bounds that all entry VMs and workers agree on.
type Params struct {
	Lease time.Duration // by the worker's clock
	Hold  time.Duration // how long a superseded holder may go on renewing
	Drift float64       // largest difference of clock rates, as in 0.001
}

// stretch lengthens d by the drift.
func (p Params) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + p.Drift))
}

// Attempt names one attempt of a task.
type Attempt struct {
	Task    api.TaskID
	Attempt uint32
}

// told is what the tracker knows of an attempt that a worker may have been
// told to start.
type told struct {
	incarnation uint64              // of the worker that was told; zero: unknown
	until       platform.WorkerTime // no copy of the start is valid from here on; zero: unknown
	over        bool                // certainly neither runs there nor will
}

// ExchangeID numbers the exchanges with one VM, from 1.
type ExchangeID uint64

// Grant is what an exchange carries to the worker. A zero Expiry renews
// nothing; such an exchange must not carry starts.
type Grant struct {
	ExchangeID  ExchangeID
	Incarnation uint64
	Expiry      platform.WorkerTime
}

// Tracker follows one VM during one tenure of the placement shard. It is not
// safe for concurrent use.
type Tracker struct {
	params   Params
	takeover time.Time // when the claim was read back

	built        ExchangeID // latest built
	answered     ExchangeID // latest answered
	reportedAt   time.Time  // arrival of the latest report, zero before the first
	incarnation  uint64
	clock        platform.WorkerTime // of the latest report; meaningless without incarnation
	inheritUntil platform.WorkerTime // starts of earlier holders are invalid from here on
	first        uint64              // incarnation of the first report
	told         map[Attempt]told
}

// New returns a tracker for a tenure whose claim was read back at takeover.
func New(params Params, takeover time.Time) *Tracker {
	return &Tracker{params: params, takeover: takeover, told: make(map[Attempt]told)}
}

// Inherit tells that an earlier holder may have told the VM to start a.
func (t *Tracker) Inherit(a Attempt) {
	if _, ok := t.told[a]; !ok {
		t.told[a] = told{}
	}
}

// BuildGrant makes the grant of an exchange that tells starts. It is called
// before the holder checks its hold and sends: a message that was built and
// then delayed carries an expiry from before the check. Without a report to
// work from nothing may be started, and Build reports false.
func (t *Tracker) BuildGrant(starts []Attempt) (Grant, bool) {
	t.built++
	g := Grant{ExchangeID: t.built, Incarnation: t.incarnation}
	if t.incarnation == 0 {
		return g, len(starts) == 0
	}
	g.Expiry = t.clock + platform.WorkerTime(t.params.Lease)
	for _, a := range starts {
		prior := t.told[a]
		t.told[a] = told{incarnation: t.incarnation, until: max(prior.until, g.Expiry)}
	}
	return g, true
}

// ApplyReport takes the answer to exchange x, which arrived at now. It returns false for an answer that
// is older than one already taken; such an answer is to be dropped.
func (t *Tracker) ApplyReport(now time.Time, x ExchangeID, r platform.WorkerReport) bool {
	if x <= t.answered || x > t.built || r.Incarnation == 0 {
		return false
	}
	if r.Incarnation == t.incarnation && r.Clock < t.clock {
		return false
	}
	t.answered = x
	if t.first == 0 {
		t.first = r.Incarnation
		t.inheritUntil = r.Clock + platform.WorkerTime(t.params.Lease)
	}
	t.incarnation = r.Incarnation
	t.clock = r.Clock
	t.reportedAt = now
	return true
}

// Incarnation returns the worker's incarnation, zero before a report.
func (t *Tracker) Incarnation() uint64 {
	return t.incarnation
}

// ConfirmMissing tells whether an attempt that the latest report does not show is
// certainly not running on the VM and never will. Once it is, the attempt
// counts as told until Prune, so that it is never told again while the word
// of its loss is on the way to the log.
func (t *Tracker) ConfirmMissing(a Attempt) bool {
	what := t.told[a]
	if what.over || !t.over(a) {
		return what.over
	}
	t.MarkEnded(a)
	return true
}

func (t *Tracker) over(a Attempt) bool {
	what, ok := t.told[a]
	if !ok {
		return true // nobody was ever told
	}
	if t.incarnation == 0 {
		return false
	}
	if what.incarnation == 0 {
		return t.incarnation != t.first || t.clock >= t.inheritUntil
	}
	return what.incarnation != t.incarnation || t.clock >= what.until
}

// MarkEnded marks an attempt as over: it is not to be told any more.
func (t *Tracker) MarkEnded(a Attempt) {
	what := t.told[a]
	what.over = true
	t.told[a] = what
}

// Known reports whether the VM may have been told to start a, in this tenure
// or before, or a was given up.
func (t *Tracker) Known(a Attempt) bool {
	_, ok := t.told[a]
	return ok
}

// RevertStarts takes back the starts of an exchange that certainly did not
// reach the VM. None of them may have been told before.
func (t *Tracker) RevertStarts(starts []Attempt) {
	for _, a := range starts {
		delete(t.told, a)
	}
}

// Prune forgets the attempts that, by the log, hold the VM no longer.
func (t *Tracker) Prune(holds func(Attempt) bool) {
	for a := range t.told {
		if !holds(a) {
			delete(t.told, a)
		}
	}
}

// ExpiresAt is the time from which every lease given to the VM so far, by
// this holder or earlier ones, has certainly lapsed. All expiries since the
// latest report are the same point on the worker's clock, a lease after a
// reading that was taken before the report arrived: exchanges without an
// answer don't move it.
func (t *Tracker) ExpiresAt() time.Time {
	at := t.takeover.Add(t.params.stretch(t.params.Hold + t.params.Lease))
	if t.reportedAt.IsZero() {
		return at
	}
	if own := t.reportedAt.Add(t.params.stretch(t.params.Lease)); own.After(at) {
		return own
	}
	return at
}

// Expired tells whether every lease has certainly lapsed at now. Everything
// that the VM was told before is then over.
func (t *Tracker) Expired(now time.Time) bool {
	if now.Before(t.ExpiresAt()) {
		return false
	}
	for a := range t.told {
		t.MarkEnded(a)
	}
	return true
}
