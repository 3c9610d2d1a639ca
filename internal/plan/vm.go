package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// claimState is what is known of a run that may exist.
type claimState uint8

const (
	planned   claimState = iota // its record is being written; nothing was sent
	sent                        // the order is on its way
	unsure                      // the order had no answer and may come late
	atWork                      // the executor has confirmed or listed it
	inherited                   // a former leader ordered it
	stopping                    // the executor has taken a stop of it
	former                      // it was ordered to a life of the executor that is over
)

// String returns the state's name in logs.
func (s claimState) String() string {
	return [...]string{"planned", "sent", "unsure", "at_work", "inherited", "stopping", "former"}[s]
}

// claim holds the room of one run on an executor.
type claim struct {
	run       platform.Run
	task      *task // nil: of a job that is not planned any more
	vm        *vm
	need      api.Resources
	state     claimState
	was       claimState             // while it is former: its state at the life that is over
	voidAt    platform.ExecutorClock // of the order that is sent or unsure
	bound     bool                   // its order is good for one life of the executor only
	openUntil time.Time              // until when its order may be carried out by a life that isn't known to have; zero: that is settled
	ordered   time.Time              // when its order was sent; zero: by a former leader, or not yet
	since     time.Time              // when it was confirmed to be at work
	ends      time.Time              // expected
	unwanted  bool                   // to be stopped
	stopped   time.Time              // when a stop was last sent
	resumed   bool                   // it began from a checkpoint
	progress  progress
}

// vm is one life of an executor as the leader sees it.
type vm struct {
	fleet.Executor
	listed    bool            // in the registry, under its id
	record    *fleet.Executor // the newest there under its id, which may be of another life; nil: none was read
	described bool            // its own record was read: room, kind and service are known
	elsewhere bool            // the newest hold that opened a connection went where record says
	lives     uint64          // of the executor that this leader knew before
	former    *formerLife     // the end of the life before, until it is settled what became of its runs
	recalled  bool            // the registry's history was asked for its address
	address   string          // that the registry names; Ref has the one to call
	used      api.Resources
	kept      api.Resources // for gangs that gather room (yield.go)
	promised  api.Resources // to steps whose calls for advice name it (promise.go)
	claims    map[platform.Run]*claim
	draining  time.Time // when it was first read as leaving; zero: it wasn't
	ready     time.Time // since when its records say that it is ready after all

	known       bool                   // it has reported to this leader
	clock       platform.ExecutorClock // at its newest report
	clockAt     time.Time              // when that report arrived; zero: never
	silentFrom  time.Time              // when a hold first had no answer since that report
	lease       platform.ExecutorClock // latest end of lease that was sent
	seen        uint64                 // ends up to here are durable
	taken       uint64                 // ends up to here were applied
	lapses      time.Time              // when an inherited lease is certainly over
	suspect     *claim                 // a suspected task's, which should be alone
	isolatedFor *step                  // kept from other work until a suspected task of it starts here
	lapsed      []*claim               // runs that were over with the lease, while it isn't known whether its life is

	failJobs   map[*job]struct{} // whose tasks failed in a row
	failedLast time.Time         // when a task last failed there
	avoidUntil time.Time
	unanswered time.Time // when an order last got no answer
	ratio      float64   // moving mean of run times to estimates; 0: none was seen
	slowness   float64   // how many times as long as the fleet it takes; 1: it isn't slow
	slowAt     time.Time // latest sign of that
}

// newVM returns an executor of which nothing is known but how it is called.
func newVM(ref platform.ExecutorRef) *vm {
	v := &vm{claims: make(map[platform.Run]*claim), failJobs: make(map[*job]struct{}), slowness: 1}
	v.Ref = ref
	return v
}

// register takes in the newest record under the executor's id. Which life is there is
// known from answers alone: records may come late, and of a life that is over.
func (v *vm) register(e *fleet.Executor, now time.Time) {
	v.address = e.Ref.Address
	v.listed = true
	v.record = e
	if !v.known || v.Ref.Life().Same(e.Ref.Life()) {
		v.describe(e, now)
	}
}

// describe takes in the record of this life. One that has answered is called where it did
// until it is silent and its lease is over: a life keeps its address, and calls to another
// place would be taken for its end.
func (v *vm) describe(e *fleet.Executor, now time.Time) {
	ref := e.Ref
	if v.known {
		ref = v.Ref
	}
	v.Executor = *e
	v.Ref = ref
	v.described = true
	switch {
	case e.Draining && v.draining.IsZero():
		v.draining = now
	case e.Draining:
		v.ready = time.Time{}
	case !v.draining.IsZero() && v.ready.IsZero():
		v.ready = now
	}
}

// leaves reports whether the executor leaves, since when.
func (v *vm) leaves(now time.Time) (since time.Time, leaves bool) {
	back := !v.ready.IsZero() && now.Sub(v.ready) >= backAfter
	return v.draining, !v.draining.IsZero() && !back
}

// isFollowedBy reports whether another life has answered at the executor's
// address after it.
func (v *vm) isFollowedBy(o *vm) bool {
	return o.listed && o.Ref.Address == v.Ref.Address && o.clockAt.After(v.clockAt)
}

// free returns the room that no claim holds.
func (v *vm) free() api.Resources { return v.Capacity.Sub(v.used) }

// add takes room for a run.
func (v *vm) add(c *claim) {
	c.vm = v
	v.claims[c.run] = c
	v.used = v.used.Add(c.need)
	if c.task != nil {
		c.task.claims++
		if c.task.suspected() {
			v.suspect = c
		}
	}
}

// remove gives the room of a run back.
func (v *vm) remove(c *claim) {
	delete(v.claims, c.run)
	v.used = v.used.Sub(c.need)
	if v.suspect == c {
		v.suspect = nil
	}
	if c.task != nil {
		c.task.claims--
	}
}

// clockNow returns a reading that the executor's clock has reached by now at
// the earliest.
func (v *vm) clockNow(now time.Time, drift float64) platform.ExecutorClock {
	passed := float64(now.Sub(v.clockAt)) * (1 - drift)
	return v.clock.Add(time.Duration(passed))
}

// leaseOver reports whether everything on the executor is certainly over.
func (v *vm) leaseOver(now time.Time, drift float64) bool {
	if !v.lapses.IsZero() && now.Before(v.lapses) {
		return false
	}
	if v.clockAt.IsZero() {
		return !v.lapses.IsZero()
	}
	return v.clockNow(now, drift) > v.lease
}

// usable reports whether the executor may be given new work. After a call that had no
// answer, or didn't reach it, it has to report first.
func (v *vm) usable(now time.Time, cfg *Config) bool {
	_, leaves := v.leaves(now)
	return v.listed && v.described && v.known && !leaves &&
		now.Sub(v.clockAt) < cfg.MaxReportAge &&
		!now.Before(v.avoidUntil) &&
		v.clockAt.After(v.unanswered) && !v.silentFrom.After(v.clockAt) &&
		(!v.onTrial(cfg) || len(v.claims) == 0)
}

// onTrial reports whether the executor has failed so often that it gets one
// task at a time.
func (v *vm) onTrial(cfg *Config) bool { return len(v.failJobs) >= cfg.FailureStreak }

// backAfter is for how long the records of an executor that was read as leaving
// have to say that it is ready before it is given work again: reads may be some
// 3 s old, and executors write a record about every 1.5 s.
const backAfter = 5 * time.Second
