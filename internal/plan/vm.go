package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/blame"
	"github.com/skylarklock/skylarklock/internal/endlist"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/speed"
)

// allocationState is what is known of a run that may exist.
type allocationState uint8

const (
	statePlanned     allocationState = iota // its record is being written and no order was sent
	stateSent                               // the order is in flight
	stateUnconfirmed                        // the order got no answer and may be carried out late
	stateRunning                            // the executor has confirmed or listed it
	stateInherited                          // it was ordered by a former leader
	stateStopping                           // the executor has accepted a stop of it
	stateFormer                             // it was ordered to a former incarnation of the executor
)

// String returns the state's name in logs.
func (s allocationState) String() string {
	return [...]string{"planned", "sent", "unsure", "at_work", "inherited", "stopping", "former"}[s]
}

// allocation holds the capacity of one run on an executor.
type allocation struct {
	run           platform.Run
	task          *task // nil if its job is not planned any more
	vm            *vm
	resources     api.Resources
	workspace     *workspace // whose usage it counts in; nil for none
	state         allocationState
	formerState   allocationState        // state at the former incarnation, while state is stateFormer
	formerSign    time.Time              // when the run was last known to be at work at the former incarnation
	orderVoidAt   platform.ExecutorClock // when a sent or unconfirmed order becomes void
	ticketBound   bool                   // the order is valid for one incarnation of the executor only
	orderExpiry   time.Time              // until when an incarnation that isn't known to have carried out the order may do so; zero if that is settled
	plannedAt     time.Time              // zero if by a former leader
	orderedAt     time.Time              // when its order was sent; zero if by a former leader or not yet
	runningSince  time.Time              // when it was confirmed to be running or, in stateStopping, when its stop was accepted
	expectedEnd   time.Time
	stopRequested bool
	lastStop      time.Time // when a stop was last sent
	resumed       bool      // it started from a checkpoint
	progress      progress
	speedObserved bool           // the run has counted for the estimated speed of its executor
	lastAlive     endlist.Report // newest report of the executor at which it had not ended: it was listed as running, or not ordered yet
	absentSince   endlist.Report // first report that lists it neither as running nor as ended although it can't start any more; zero if there is none
}

// vm is one incarnation of an executor as the leader sees it.
type vm struct {
	fleet.Executor
	index                 int                // unique in the cell, and small
	activationRank        float64            // see activationRank
	active                bool               // it is called also while it runs nothing
	registered            bool               // in the registry, under its ID
	registryRecord        *fleet.Executor    // newest record under its ID, which may be of another incarnation; nil if none was read
	hasOwnRecord          bool               // the record of this incarnation was read: capacity, kind and service are known
	usedRegisteredAddress bool               // the newest hold that opened a connection went to registeredAddress
	formerIncarnations    uint64             // number of earlier incarnations that this leader knew
	former                *formerIncarnation // former incarnation, until the outcome of its runs is settled
	historyRequested      bool               // the registry's history was queried for its address
	registeredAddress     string             // address in the registry; Ref has the one to call
	used                  api.Resources
	freeAfterPlan         api.Resources // free capacity after the newest pass over the waiting steps
	nominated             api.Resources // capacity nominated to gangs by preemption (preempt.go)
	tentative             api.Resources // capacity that steps with advice calls in flight are expected to take (tentative.go)
	held                  []heldSlots   // slots held by the plans of gangs, by planned start (gathering.go)
	allocations           map[platform.Run]*allocation
	drainingSince         time.Time // when it was first read as leaving; zero if it wasn't
	readySince            time.Time // since when its records say that it is ready after all

	hasReported          bool                   // it has reported to this leader
	clock                platform.ExecutorClock // executor's clock at its newest report
	reportedAt           time.Time              // when that report arrived; zero if never
	unresponsiveSince    time.Time              // when a hold first got no answer since that report
	leaseEnd             platform.ExecutorClock // latest end of a lease that was sent
	durableEnds          uint64                 // ends up to this number are durable
	appliedEnds          uint64                 // ends up to this number were applied
	acknowledgedEnds     uint64                 // ends up to this number were acknowledged to the executor, which has answered
	ends                 endlist.Tracker        // for which reports all ends are listed
	awaitsEnds           bool                   // the outcome of a run depends on ends that may not be listed yet
	inheritedLeaseExpiry time.Time              // when a lease from a former leader or incarnation has certainly expired
	suspectedRun         *allocation            // run of a suspected task, which should be alone
	isolatedFor          *step                  // step for which it is kept from other work until a suspected task of it starts here

	failures       blame.Executor[*job, *vm] // of tasks here in a row
	lastFailure    time.Time                 // when a task last failed here
	avoidUntil     time.Time
	lastUnanswered time.Time // when an order last got no answer
	runRatio       float64   // moving mean of run time divided by estimate; 0 if none was seen
	slowness       float64   // how many times as long as the fleet it takes; 1 if it isn't slow
	lastSlow       time.Time // time of the latest sign of slowness
	speed          speed.Executor
	timeFactor     float64 // how many times as long as on the typical executor runs take by the estimated speed; 1 if no difference is certain
	certainlySlow  bool    // it is certainly slower than the typical executor by slowFactor
	certainlyFast  bool    // it is certainly faster than the typical executor by slowFactor
}

// newVM returns an executor of which only its reference is known.
func (c *Cell) newVM(ref platform.ExecutorRef) *vm {
	v := &vm{index: c.vmsCreated, activationRank: activationRank(ref.ID), allocations: make(map[platform.Run]*allocation), slowness: 1, timeFactor: 1}
	v.Ref = ref
	c.vmsCreated++
	return v
}

// register applies the newest record under the executor's ID. Only answers tell which
// incarnation is there: records may come late, and may be of an incarnation that has ended.
func (v *vm) register(e *fleet.Executor, now time.Time) {
	v.registeredAddress = e.Ref.Address
	v.registered = true
	v.registryRecord = e
	if !v.hasReported || v.Ref.Incarnation().Matches(e.Ref.Incarnation()) {
		v.describe(e, now)
	}
}

// describe applies the record of this incarnation. An executor that has answered is called
// at the same address until it is unresponsive and its lease has expired: an incarnation
// keeps its address, and calls to another address would be taken as proof of its end.
func (v *vm) describe(e *fleet.Executor, now time.Time) {
	ref := e.Ref
	if v.hasReported {
		ref = v.Ref
	}
	v.Executor = *e
	v.Ref = ref
	v.hasOwnRecord = true
	switch {
	case e.Draining && v.drainingSince.IsZero():
		v.drainingSince = now
	case e.Draining:
		v.readySince = time.Time{}
	case !v.drainingSince.IsZero() && v.readySince.IsZero():
		v.readySince = now
	}
}

// isLeaving reports whether the executor is leaving, and since when.
func (v *vm) isLeaving(now time.Time) (since time.Time, leaving bool) {
	returned := !v.readySince.IsZero() && now.Sub(v.readySince) >= returnDelay
	return v.drainingSince, !v.drainingSince.IsZero() && !returned
}

// isReplacedBy reports whether another executor has answered at this executor's address
// after it did.
func (v *vm) isReplacedBy(other *vm) bool {
	return other.registered && other.Ref.Address == v.Ref.Address && other.reportedAt.After(v.reportedAt)
}

// free returns the capacity that no allocation holds.
func (v *vm) free() api.Resources { return v.Capacity.Sub(v.used) }

// addAllocation allocates the capacity of a run.
func (v *vm) addAllocation(alloc *allocation) {
	alloc.vm = v
	v.allocations[alloc.run] = alloc
	v.used = v.used.Add(alloc.resources)
	alloc.workspace.add(alloc)
	if alloc.task != nil {
		alloc.task.allocations++
		if alloc.task.suspected() {
			v.suspectedRun = alloc
		}
	}
}

// removeAllocation frees the capacity of a run.
func (v *vm) removeAllocation(alloc *allocation) {
	delete(v.allocations, alloc.run)
	v.used = v.used.Sub(alloc.resources)
	alloc.workspace.remove(alloc)
	if v.suspectedRun == alloc {
		v.suspectedRun = nil
	}
	if alloc.task != nil {
		alloc.task.allocations--
	}
}

// minClock returns the earliest reading that the executor's clock can have at now.
func (v *vm) minClock(now time.Time, drift float64) platform.ExecutorClock {
	elapsed := float64(now.Sub(v.reportedAt)) * (1 - drift)
	return v.clock.Add(time.Duration(elapsed))
}

// leaseExpired reports whether the lease of everything on the executor has certainly
// expired.
func (v *vm) leaseExpired(now time.Time, drift float64) bool {
	if !v.inheritedLeaseExpiry.IsZero() && now.Before(v.inheritedLeaseExpiry) {
		return false
	}
	if v.reportedAt.IsZero() {
		return !v.inheritedLeaseExpiry.IsZero()
	}
	return v.minClock(now, drift) > v.leaseEnd
}

// usable reports whether the executor may be given new work. After a call that got no
// answer or didn't reach it, it has to report first.
func (v *vm) usable(now time.Time, cfg *Config) bool {
	_, leaving := v.isLeaving(now)
	return v.registered && v.hasOwnRecord && v.hasReported && !leaving &&
		now.Sub(v.reportedAt) < cfg.MaxReportAge &&
		!now.Before(v.avoidUntil) &&
		v.reportedAt.After(v.lastUnanswered) && !v.unresponsiveSince.After(v.reportedAt) &&
		(!v.onTrial(cfg) || !v.isTried())
}

// onTrial reports whether the executor has failed so often that it gets one task at a time.
func (v *vm) onTrial(cfg *Config) bool { return v.failures.Streak() >= cfg.FailureStreak }

// isTried reports whether the executor has been given a task since one last failed there. What it ran before
// says nothing about it.
func (v *vm) isTried() bool {
	for _, alloc := range v.allocations {
		if alloc.plannedAt.After(v.lastFailure) {
			return true
		}
	}
	return false
}

// returnDelay is how long the records of an executor that was read as leaving have to say
// that it is ready before it is given work again. Reads may be some 3 s old, and executors
// write a record about every 1.5 s.
const returnDelay = 5 * time.Second
