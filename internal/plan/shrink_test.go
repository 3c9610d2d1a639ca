package plan

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// roomOfCPUs is the room of an executor with so many processors.
func roomOfCPUs(n int64) api.Resources { return api.Resources{MilliCPU: n * 1000, MemoryMB: 64000} }

// resize has the registry say that an executor has another capacity.
func (w *world) resize(id string, room api.Resources) {
	e := *w.listed[id]
	e.Capacity = room
	listed := maps.Clone(w.listed)
	listed[id] = &e
	w.listed = listed
	w.cell.UpdateExecutors(listed, w.now)
}

func TestPlannedStartIsNotSentToShrunkExecutor(t *testing.T) {
	w := newWorld(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(8), Estimate: time.Second})
	starts := w.cell.Plan(w.now)
	if len(starts) != 3 {
		t.Fatalf("%d starts planned, want 3", len(starts))
	}
	w.save()
	w.resize("e0", roomOfCPUs(17))
	if orders := w.cell.Confirm(starts, w.now); len(orders) != 2 {
		t.Errorf("%d starts are sent to an executor that has room for 2", len(orders))
	}
}

func TestGangIsNotPartlySentToShrunkExecutor(t *testing.T) {
	w := newWorld(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(8), Estimate: time.Second, Gang: true})
	starts := w.cell.Plan(w.now)
	w.save()
	w.resize("e0", roomOfCPUs(17))
	if orders := w.cell.Confirm(starts, w.now); len(orders) != 0 {
		t.Errorf("%d members of a gang of 3 are sent", len(orders))
	}
}

func TestGrownCapacityTriggersAdviceCheck(t *testing.T) {
	w := newWorld(t, 2)
	for _, id := range []string{"e0", "e1"} {
		w.resize(id, roomOfCPUs(1))
	}
	w.job(1, testAdvised, work.Step{TaskCount: 2, TaskResources: cpus(8), Estimate: time.Second})
	w.cycle()
	askers := anybody{}
	first := w.cell.AdviceCalls(w.now, askers)
	for _, a := range first {
		w.cell.HandleGrants(a, grants(a.Executors...), 2*time.Second, w.now)
	}
	w.cycle()
	w.cell.AdviceCalls(w.now, askers)
	w.resize("e0", roomOfCPUs(32))
	w.cycle()
	for _, s := range w.cell.waitingSteps {
		if w.now.Before(s.advice.nextCheck) {
			t.Errorf("step %v doesn't look for advice for another %v", s.key(), s.advice.nextCheck.Sub(w.now))
		}
	}
}

func TestJobWaitsForLargeEnoughExecutor(t *testing.T) {
	p := newCrashPlay(t, 2, crashers())
	for _, id := range p.ids() {
		p.resize(id, roomOfCPUs(4))
	}
	j := p.job(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(9), Estimate: time.Second})
	p.runFor(20 * time.Second)
	if state := p.state(j.ID); state.Final() {
		t.Fatalf("the job is %v while no executor has room for it", state)
	}
	p.resize("e0", roomOfCPUs(32))
	p.runFor(3 * time.Second)
	if state := p.state(j.ID); state != work.Completed {
		t.Errorf("the job is %v", state)
	}
}

// Timing of rooms that change.
const (
	roomCounts  = 4500 * time.Millisecond // after a room has shrunk it binds
	slowestRead = 3300 * time.Millisecond // from a change to its record's being read
)

// resizing plays executors whose rooms change and which carry out whatever they are told.
type resizing struct {
	*crashPlay
	rand    *rand.Rand
	rooms   map[string][]roomSince
	read    map[string]time.Time // when the room was set that was read last
	checked map[platform.Run]bool
}

// roomSince is a room that an executor has from a time on.
type roomSince struct {
	since time.Time
	room  api.Resources
}

// change gives an executor another room, of which the leader reads later.
func (r *resizing) change(id string) {
	room := roomOfCPUs(4 + r.rand.Int64N(29))
	r.rooms[id] = append(r.rooms[id], roomSince{r.now, room})
	made := r.now
	r.after(time.Duration(r.rand.Int64N(int64(slowestRead))), func() {
		if made.After(r.read[id]) {
			r.read[id] = made
			r.resize(id, room)
		}
	})
}

// most returns the largest room that the executor may be held to.
func (r *resizing) most(id string) int64 {
	most := int64(0)
	for i, at := range r.rooms[id] {
		until := r.now
		if i+1 < len(r.rooms[id]) {
			until = r.rooms[id][i+1].since
		}
		if i+1 == len(r.rooms[id]) || r.now.Sub(until) <= roomCounts {
			most = max(most, at.room.MilliCPU)
		}
	}
	return most
}

// check returns which executor a start has brought over its room, if any.
func (r *resizing) check() string {
	for _, id := range r.ids() {
		used, fresh := int64(0), false
		for run := range r.executors[id].running {
			used += r.stored[run.Task.Job].Steps[run.Task.Step].TaskResources.MilliCPU
			fresh = fresh || !r.checked[run]
			r.checked[run] = true
		}
		if fresh && used > r.most(id) {
			return fmt.Sprintf("a start brings %s to %d of %d", id, used, r.most(id))
		}
	}
	return ""
}

func TestStartsNeverOverfillResizedExecutors(t *testing.T) {
	const seeds = 30
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &resizing{
				crashPlay: newCrashPlay(t, 6, func(k work.TaskKey) behaviour {
					return behaviour{takes: time.Duration(300+200*(k.Index%9)) * time.Millisecond}
				}),
				rand:    rand.New(rand.NewPCG(seed, 1)),
				rooms:   make(map[string][]roomSince),
				read:    make(map[string]time.Time),
				checked: make(map[platform.Run]bool),
			}
			for _, id := range r.ids() {
				r.rooms[id] = []roomSince{{r.now, r.listed[id].Capacity}}
			}
			began, next, n := r.now, r.now, byte(0)
			for r.now.Sub(began) < 40*time.Second {
				if !r.now.Before(next) && r.now.Sub(began) < 25*time.Second {
					n++
					r.job(n, testQueue, work.Step{TaskCount: 1 + r.rand.IntN(12), TaskResources: cpus(1 + r.rand.Int64N(9)), Estimate: time.Second, Gang: r.rand.IntN(4) == 0})
					r.change(r.ids()[r.rand.IntN(len(r.ids()))])
					next = r.now.Add(time.Duration(100+r.rand.Int64N(400)) * time.Millisecond)
				}
				r.runFor(playStep)
				if wrong := r.check(); wrong != "" {
					t.Fatalf("after %v: %s", r.now.Sub(began), wrong)
				}
			}
		})
	}
}
