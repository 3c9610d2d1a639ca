package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

const (
	// MaxHeldShare is the share of a service's processors that plans may hold together. The
	// rest of the cell keeps working. One gang may exceed it, since a gang wider than the
	// share would never start otherwise.
	MaxHeldShare = 0.12
	// MaxOverdue is how much later than planned the slots of a plan may become free before
	// others are looked for. Shorter delays are usual, as an end reaches the leader some tens
	// of milliseconds late, and a change of executors costs a call for tickets.
	MaxOverdue = 500 * time.Millisecond
	// MinGain is how much earlier a new plan must start the gang to replace a kept one. A
	// smaller gain is within the error of expected ends, and each change costs a call for
	// tickets of 0.5 to 1 s.
	MinGain = 600 * time.Millisecond
	// ReviewInterval is the time between two searches for a better plan for a gang. A search
	// looks at all executors that the gang may run on.
	ReviewInterval = 250 * time.Millisecond
	// MaxReadyWait is how long all slots of a plan may be free without a start of the gang. It
	// covers two calls for tickets. Something other than capacity then keeps the gang back.
	MaxReadyWait = 2500 * time.Millisecond
	// retryDelay is the pause after a search that found no plan.
	retryDelay = 100 * time.Millisecond
	// expiryPause is the pause after a plan has expired, in which others use its slots.
	expiryPause = time.Second
)

// Cause says why a plan was dropped.
type Cause int

// Causes of dropped plans.
const (
	Started   Cause = iota // the gang has started
	Ended                  // the gang waits for no start any more, or is kept back by other things than capacity
	Useless                // the gang can't be of use any more
	Lost                   // an executor was lost or is unusable, and no other plan was found
	Displaced              // the gang is late, and gangs that come before it use the share
	Expired                // the slots were free, and the gang hasn't started
	Preempted              // runs are stopped for the gang
	causes
)

// String returns the cause's name in logs.
func (c Cause) String() string {
	return [...]string{"started", "ended", "useless", "lost", "displaced", "expired", "preempted"}[c]
}

// Causes returns all causes.
func Causes() []Cause {
	all := make([]Cause, causes)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// Source returns the offers of executors for gangs. What plans hold is not subtracted.
type Source interface {
	// Offer returns the offer of one executor, or false if the gang may not run there now.
	Offer(gang work.StepKey, executor int) (Offer, bool)
	// Offers returns the offers of all executors that the gang may run on.
	Offers(gang work.StepKey) []Offer
}

// Keeper keeps the plans of the gangs of one service. It is not safe for concurrent use.
type Keeper struct {
	plans    map[work.StepKey]*kept
	held     map[int]api.Resources // by executor: what all plans hold
	retryAt  map[work.StepKey]time.Time
	capacity int64 // processors of the service, in thousandths
	dropped  [causes]int
}

// kept is a plan with its state.
type kept struct {
	Reservation
	planned    time.Time // start as of the search or the newest adjustment
	reviewAt   time.Time // when a better plan is searched for again
	readySince time.Time // since when all slots are free; zero if they aren't
}

// NewKeeper returns a keeper without plans.
func NewKeeper() *Keeper {
	return &Keeper{plans: make(map[work.StepKey]*kept), held: make(map[int]api.Resources), retryAt: make(map[work.StepKey]time.Time)}
}

// PlanOf returns the plan of a gang, or nil. It is valid until the next call of another method.
func (k *Keeper) PlanOf(gang work.StepKey) *Reservation {
	if p := k.plans[gang]; p != nil {
		return &p.Reservation
	}
	return nil
}

// Plans returns all plans, those of gangs with the earliest latest starts first.
func (k *Keeper) Plans() []*Reservation {
	plans := make([]*Reservation, 0, len(k.plans))
	for _, p := range k.inOrder() {
		plans = append(plans, &p.Reservation)
	}
	return plans
}

// TakeDropped returns how many plans were dropped since the previous call, by cause.
func (k *Keeper) TakeDropped() map[Cause]int {
	counts := make(map[Cause]int, causes)
	for cause, n := range k.dropped {
		counts[Cause(cause)] = n
	}
	k.dropped = [causes]int{}
	return counts
}

// inOrder returns the plans in the order in which the gangs may hold slots.
func (k *Keeper) inOrder() []*kept {
	plans := make([]*kept, 0, len(k.plans))
	for _, p := range k.plans {
		plans = append(plans, p)
	}
	slices.SortFunc(plans, func(a, b *kept) int { return a.Request.compare(&b.Request) })
	return plans
}

// compare orders gangs that can be in time before others, and then by their latest starts.
func (r *Request) compare(o *Request) int {
	return cmp.Or(
		compareBools(o.First, r.First), compareBools(r.Late, o.Late), r.LatestStart.Compare(o.LatestStart),
		slices.Compare(r.Gang.Job[:], o.Gang.Job[:]), cmp.Compare(r.Gang.Occurrence, o.Gang.Occurrence), cmp.Compare(r.Gang.Step, o.Gang.Step),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Review adjusts all plans to the newest offers. The waiting gangs are those with plans that
// may still start; the plans of others are dropped. Capacity is that of the service's
// executors, in thousandths of a processor.
func (k *Keeper) Review(waiting map[work.StepKey]Request, capacity int64, source Source, now time.Time) {
	k.capacity = capacity
	for gang, at := range k.retryAt {
		if !now.Before(at) {
			delete(k.retryAt, gang)
		}
	}
	total := int64(0)
	for _, p := range k.inOrder() {
		r, waits := waiting[p.Request.Gang]
		switch {
		case !waits || r.Width != p.Request.Width:
			k.Drop(p.Request.Gang, Ended)
			continue
		case r.LatestUseful.Before(now):
			k.Drop(r.Gang, Useless)
			continue
		case total > 0 && total+r.milliCPU() > k.maxHeld() && r.Late && !r.First:
			k.Drop(r.Gang, Displaced)
			continue
		}
		p.Request = r
		k.adjust(p, source, now)
		if k.plans[r.Gang] != nil {
			total += r.milliCPU()
		}
	}
}

// maxHeld returns how much all plans together may hold, in thousandths of a processor.
func (k *Keeper) maxHeld() int64 { return int64(MaxHeldShare * float64(k.capacity)) }

// adjust keeps, replaces or drops one plan.
func (k *Keeper) adjust(p *kept, source Source, now time.Time) {
	ready, possible := k.readyAt(p, source, now)
	overdue := possible && ready.After(p.planned.Add(MaxOverdue))
	if !possible || overdue || !now.Before(p.reviewAt) {
		p.reviewAt = now.Add(ReviewInterval)
		better, found := Plan(p.Request, k.withoutHeld(source.Offers(p.Request.Gang), p), now)
		switch {
		case found && (!possible || better.Start.Add(MinGain).Before(ready)):
			k.release(p)
			p.Reservation, p.planned, p.readySince = *better, better.Start, time.Time{}
			k.hold(p)
			ready, possible = better.Start, true
		case !possible:
			k.Drop(p.Request.Gang, Lost)
			return
		case overdue:
			p.planned = ready
		}
	}
	p.Start = ready
	if ready.After(now) {
		p.readySince = time.Time{}
		return
	}
	if p.readySince.IsZero() {
		p.readySince = now
	}
	if now.Sub(p.readySince) > MaxReadyWait {
		k.Drop(p.Request.Gang, Expired)
		k.retryAt[p.Request.Gang] = now.Add(expiryPause)
	}
}

// readyAt returns when all slots of a plan should be free, or false if that isn't expected
// while the gang is of use.
func (k *Keeper) readyAt(p *kept, source Source, now time.Time) (time.Time, bool) {
	ready := now
	end := now.Add(Horizon)
	if p.Request.LatestUseful.Before(end) {
		end = p.Request.LatestUseful
	}
	for i := range p.Slots {
		s := &p.Slots[i]
		o, usable := source.Offer(p.Request.Gang, s.Executor)
		if !usable {
			return time.Time{}, false
		}
		o.Free = o.Free.Sub(k.held[s.Executor]).Add(p.Resources(*s))
		at, fits := o.freeAt(s.Count, p.Request.Task, now, end)
		if !fits {
			return time.Time{}, false
		}
		s.FreeAt = at
		if at.After(ready) {
			ready = at
		}
	}
	return ready, true
}

// Drop drops the plan of a gang, if there is one, and frees all that it holds.
func (k *Keeper) Drop(gang work.StepKey, cause Cause) {
	p := k.plans[gang]
	if p == nil {
		return
	}
	k.release(p)
	delete(k.plans, gang)
	k.dropped[cause]++
}

func (k *Keeper) hold(p *kept) {
	for _, s := range p.Slots {
		k.held[s.Executor] = k.held[s.Executor].Add(p.Resources(s))
	}
}

func (k *Keeper) release(p *kept) {
	for _, s := range p.Slots {
		rest := k.held[s.Executor].Sub(p.Resources(s))
		if rest == (api.Resources{}) {
			delete(k.held, s.Executor)
			continue
		}
		k.held[s.Executor] = rest
	}
}
