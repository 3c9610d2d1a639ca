package plan

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Bounds of a random play with restarts.
const (
	restartSeeds    = 60
	restartTroubled = 30 * time.Second
	restartCalm     = 40 * time.Second
	restartLateMost = 12 * time.Second // an order is carried out that late at most
	restartVMs      = 6
	// restartHeartbeat is the time between two records of an executor.
	restartHeartbeat = 1500 * time.Millisecond
)

// randomRestarts has jobs come while executors start again under their ids, noticed or not,
// with clocks that begin anywhere; orders and renewals are lost or carried out late, by
// whichever life is there; records come late; executors are cut off, leaders change and
// the store is down.
type randomRestarts struct {
	*crashPlay
	rand *rand.Rand
	used map[int64]bool // starts of lives
}

func newRandomRestarts(t *testing.T, seed uint64) *randomRestarts {
	r := &randomRestarts{rand: rand.New(rand.NewPCG(seed, 7)), used: make(map[int64]bool)}
	r.crashPlay = newCrashPlay(t, restartVMs, func(k work.TaskKey) behaviour {
		return behaviour{takes: time.Duration(100+150*(k.Index%7)) * time.Millisecond, fails: k.Job[0]%9 == 0 && k.Index == 0}
	})
	r.anyLife = true
	r.drawFate = r.fate
	for _, id := range r.ids() {
		r.startLife(*r.listed[id], 0)
	}
	return r
}

func (r *randomRestarts) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rand.Int64N(int64(high-low)))
}

// troubled reports whether troubles come at this time.
func (r *randomRestarts) troubled() bool { return r.now.Sub(testStart) < restartTroubled }

func (r *randomRestarts) fate() fate {
	switch {
	case !r.troubled():
		return fate{}
	case r.rand.IntN(12) == 0:
		return fate{lost: true}
	case r.rand.IntN(6) == 0:
		return fate{late: r.between(20*time.Millisecond, restartLateMost)}
	case r.rand.IntN(3) == 0:
		return fate{slow: r.between(10*time.Millisecond, playCallTimeout-playStep)}
	default:
		return fate{}
	}
}

// startLife begins a life of an executor, and writes its record after a while.
func (r *randomRestarts) startLife(record fleet.Executor, recordAfter time.Duration) {
	ahead := platform.ExecutorClock(0)
	if r.rand.IntN(2) == 0 {
		ahead = platform.ExecutorClock(r.rand.Int64N(int64(10 * time.Minute / time.Millisecond)))
	}
	e := r.newPlayedExecutor(r.clock - ahead)
	e.strict, e.tickets = true, true
	e.born = r.now.Add(r.between(-5*time.Second, 5*time.Second)).UnixMilli()
	for r.used[e.born] {
		e.born++
	}
	r.used[e.born] = true
	r.executors[record.Ref.ID] = e
	r.everyLife = append(r.everyLife, e)
	record.Ref.StartTimeMs = e.born
	r.after(recordAfter, func() { r.writeRecord(e, &record) })
}

// writeRecord writes an executor's record, and again as long as it lives.
func (r *randomRestarts) writeRecord(e *playedExecutor, record *fleet.Executor) {
	listed := maps.Clone(r.listed)
	listed[record.Ref.ID] = record
	r.list(listed)
	if r.executors[record.Ref.ID] == e {
		r.after(restartHeartbeat, func() { r.writeRecord(e, record) })
	}
}

// restart ends a life of an executor and begins the next one.
func (r *randomRestarts) restart(id string) {
	e := r.executors[id]
	if e == nil {
		return
	}
	record := fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Capacity: api.Resources{MilliCPU: 16000 + 16000*r.rand.Int64N(2), MemoryMB: 64000}}
	delete(r.executors, id)
	for run := range e.running {
		r.breakGang(run)
	}
	if h := r.holds[id]; h != nil && r.rand.IntN(2) == 0 { // else nobody notices that it is gone
		*h = call{again: r.now}
	}
	away := r.between(20*time.Millisecond, 3*time.Second)
	if r.rand.IntN(3) == 0 {
		away = r.between(20*time.Millisecond, 200*time.Millisecond)
	}
	recordAfter := r.between(0, 2*time.Second)
	r.after(away, func() { r.startLife(record, recordAfter) })
}

func (r *randomRestarts) trouble() {
	ids := r.ids()
	if len(ids) == 0 {
		return
	}
	id := ids[r.rand.IntN(len(ids))]
	lasts := r.between(500*time.Millisecond, 6*time.Second)
	switch r.rand.IntN(8) {
	case 0, 1, 2:
		r.restart(id)
	case 3:
		for _, id := range ids[:len(ids)/3+1] {
			r.restart(id)
		}
	case 4:
		e := r.executors[id]
		r.cutOff(e, lasts)
		if r.rand.IntN(2) == 0 { // it starts again behind the cut
			r.after(lasts/4, func() {
				r.restart(id)
				r.after(3*time.Second, func() {
					if n := r.executors[id]; n != nil {
						r.cutOff(n, lasts)
					}
				})
			})
		}
	case 5:
		r.replaceLeader(lasts / 3)
	case 6:
		r.failStore(lasts)
	}
}

func (r *randomRestarts) submit(n byte) {
	first := work.Step{TaskCount: 1 + r.rand.IntN(8), TaskResources: cpus(1 + r.rand.Int64N(8)), Estimate: time.Second, Gang: r.rand.IntN(4) == 0}
	second := work.Step{TaskCount: 1 + r.rand.IntN(3), TaskResources: cpus(2), Estimate: time.Second, DependsOn: []int{0}}
	queue := testQueue
	if r.rand.IntN(2) == 0 {
		queue = testAdvised
	}
	r.add(&work.Job{
		ID: work.ID{n}, Queue: queue, Service: testService, AcceptedMs: r.now.UnixMilli(), Steps: []work.Step{first, second},
	})
}

// advise has the calls for advice made that are due. Tickets are of the lives that are there
// when the service answers, whichever were there when it was asked.
func (r *randomRestarts) advise() {
	if r.paused {
		return
	}
	cell := r.cell
	for _, ask := range cell.AdviceCalls(r.now, anybody{}) {
		r.after(r.between(10*time.Millisecond, 150*time.Millisecond), func() {
			var grants []platform.Grant
			for _, id := range ask.Executors {
				if e := r.executors[id]; e != nil && (int(id[1])+int(ask.Step.Job[0]))%3 > 0 {
					grants = append(grants, platform.Grant{Executor: id, Ticket: fmt.Sprint(e.born)})
				}
			}
			cell.HandleGrants(ask, grants, 2*time.Second, r.now)
		})
	}
}

// unfinished returns the jobs that have not ended.
func (r *randomRestarts) unfinished() []work.ID {
	var open []work.ID
	for _, id := range slices.SortedFunc(maps.Keys(r.stored), func(a, b work.ID) int { return int(a[0]) - int(b[0]) }) {
		if !r.state(id).Final() {
			open = append(open, id)
		}
	}
	return open
}

func TestRandomRestartsUnderTheSameID(t *testing.T) {
	for seed := range uint64(restartSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRestarts(t, seed) })
	}
}

func playRestarts(t *testing.T, seed uint64) {
	r := newRandomRestarts(t, seed)
	next, n := r.now, byte(0)
	for r.now.Sub(testStart) < restartTroubled+restartCalm {
		if r.troubled() && !r.now.Before(next) {
			n++
			r.submit(n)
			r.trouble()
			next = r.now.Add(r.between(100*time.Millisecond, 700*time.Millisecond))
		}
		r.advise()
		r.runFor(playStep)
		if wrong := r.twice(); wrong != "" {
			t.Fatalf("after %v: %s", r.now.Sub(testStart), wrong)
		}
	}
	r.checkAcknowledgedEnds()
	for _, id := range r.unfinished() {
		t.Errorf("job %v is %v", id, r.state(id))
	}
}
