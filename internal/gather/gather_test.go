package gather

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// testSource offers the same executors to every gang.
type testSource map[int]Offer

func (s testSource) Offer(_ work.StepKey, executor int) (Offer, bool) {
	o, usable := s[executor]
	return o, usable
}

func (s testSource) Offers(work.StepKey) []Offer {
	var offers []Offer
	for _, o := range s {
		offers = append(offers, o)
	}
	return offers
}

func gangKey(n int) work.StepKey { return work.StepKey{Job: work.ID{byte(n)}} }

func cpus(n int) api.Resources {
	return api.Resources{MilliCPU: int64(n) * 1000, MemoryMB: 100 * int64(n)}
}

func drawOffer(t *rapid.T, executor int) Offer {
	o := Offer{Executor: executor, Free: cpus(rapid.IntRange(0, 32).Draw(t, "free")), MaxTasks: rapid.IntRange(0, 40).Draw(t, "max")}
	at := testNow
	for range rapid.IntRange(0, 5).Draw(t, "releases") {
		at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		o.Releases = append(o.Releases, Release{At: at, Resources: cpus(rapid.IntRange(1, 9).Draw(t, "released"))})
	}
	return o
}

func drawSource(t *rapid.T) testSource {
	s := make(testSource)
	for i := range rapid.IntRange(1, 8).Draw(t, "executors") {
		s[i] = drawOffer(t, i)
	}
	return s
}

func drawRequest(t *rapid.T, n int) Request {
	start := testNow.Add(time.Duration(rapid.IntRange(-2000, 6000).Draw(t, "latest")) * time.Millisecond)
	return Request{
		Gang: gangKey(n), Width: rapid.IntRange(1, 12).Draw(t, "width"), Task: cpus(rapid.IntRange(1, 12).Draw(t, "task")),
		LatestStart: start, LatestUseful: start.Add(4 * time.Second), Late: start.Before(testNow), First: rapid.IntRange(0, 9).Draw(t, "first") == 0,
	}
}

// freeAt returns what an offer has free at a time.
func freeAt(o Offer, at time.Time) api.Resources {
	free := o.Free
	for _, r := range o.Releases {
		if !r.At.After(at) {
			free = free.Add(r.Resources)
		}
	}
	return free
}

// A plan that counts capacity that isn't free at its start never starts its gang, and a start
// that isn't the earliest one delays it.
func TestPlanFitsAtItsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, r := drawSource(t), drawRequest(t, 1)
		p, found := Plan(r, source.Offers(r.Gang), testNow)
		slotsAt := func(at time.Time) int {
			n := 0
			for _, o := range source {
				n += min(o.MaxTasks, FitCount(freeAt(o, at), r.Task))
			}
			return n
		}
		if !found {
			end := testNow.Add(Horizon)
			if r.LatestUseful.Before(end) {
				end = r.LatestUseful
			}
			if n := slotsAt(end); !end.Before(testNow) && n >= r.Width {
				t.Fatalf("no plan for %d tasks, but %d fit at %v", r.Width, n, end)
			}
			return
		}
		total := 0
		for _, s := range p.Slots {
			total += s.Count
			o := source[s.Executor]
			if s.Count > o.MaxTasks || !p.Resources(s).Fits(freeAt(o, p.Start)) {
				t.Fatalf("%d tasks don't fit on executor %d at %v", s.Count, s.Executor, p.Start)
			}
		}
		if total != r.Width {
			t.Fatalf("the plan has %d slots, want %d", total, r.Width)
		}
		if p.Start.After(testNow) && slotsAt(p.Start.Add(-time.Nanosecond)) >= r.Width {
			t.Fatalf("the gang fits before the planned start %v", p.Start)
		}
	})
}

// Two plans that hold the same slot can't both start at the planned time. After any sequence of
// arrivals, losses and passes, what all plans hold on an executor fits at the latest of their
// starts, no plan names an executor that was lost, and what is counted as held is what plans hold.
func TestPlansNeverShareSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, k, now := drawSource(t), NewKeeper(), testNow
		waiting := make(map[work.StepKey]Request)
		capacity := int64(rapid.IntRange(10, 2000).Draw(t, "capacity")) * 1000
		k.Review(waiting, capacity, source, now)
		for n := range rapid.IntRange(1, 25).Draw(t, "actions") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				r := drawRequest(t, n)
				waiting[r.Gang] = r
				k.Gather(r, source, now)
			case 2:
				delete(source, rapid.IntRange(0, 7).Draw(t, "lost"))
				k.Review(waiting, capacity, source, now)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pass")) * time.Millisecond)
				k.Review(waiting, capacity, source, now)
			case 4:
				i := rapid.IntRange(0, 7).Draw(t, "changed")
				source[i] = drawOffer(t, i)
				k.Review(waiting, capacity, source, now)
			}
			checkPlans(t, k, source, now)
		}
	})
}

func checkPlans(t *rapid.T, k *Keeper, source testSource, now time.Time) {
	held, latest := make(map[int]api.Resources), make(map[int]time.Time)
	for _, p := range k.Plans() {
		slots := 0
		for _, s := range p.Slots {
			slots += s.Count
			held[s.Executor] = held[s.Executor].Add(p.Resources(s))
			if p.Start.After(latest[s.Executor]) {
				latest[s.Executor] = p.Start
			}
			if _, usable := source[s.Executor]; !usable {
				t.Fatalf("a plan names executor %d, which was lost", s.Executor)
			}
		}
		if slots != p.Request.Width || p.Start.Before(now.Add(-time.Second)) || p.Request.LatestUseful.Before(p.Start) {
			t.Fatalf("plan with %d of %d slots starts at %v, is of use until %v", slots, p.Request.Width, p.Start, p.Request.LatestUseful)
		}
	}
	for executor, r := range held {
		if free := freeAt(source[executor], latest[executor]); !r.Fits(free) {
			t.Fatalf("plans hold %v on executor %d, of which %v are free", r, executor, free)
		}
		if k.held[executor] != r {
			t.Fatalf("counted as held on executor %d: %v, plans hold %v", executor, k.held[executor], r)
		}
	}
	if len(k.held) != len(held) {
		t.Fatalf("%d executors count as holding, plans hold slots on %d", len(k.held), len(held))
	}
}

// A plan on a lost executor would wait for slots that never become free.
func TestLostExecutorReplacesOrDropsPlan(t *testing.T) {
	source := testSource{0: {Executor: 0, Free: cpus(20), MaxTasks: 9}, 1: {Executor: 1, Free: cpus(10), MaxTasks: 9, Releases: []Release{{testNow.Add(time.Second), cpus(20)}}}}
	r := Request{Gang: gangKey(1), Width: 2, Task: cpus(10), LatestStart: testNow.Add(5 * time.Second), LatestUseful: testNow.Add(9 * time.Second)}
	k := NewKeeper()
	k.Review(nil, 1000000, source, testNow)
	if !k.Gather(r, source, testNow) || k.PlanOf(r.Gang).Slots[0].Executor != 0 {
		t.Fatalf("plan %+v, want one on executor 0", k.PlanOf(r.Gang))
	}
	waiting := map[work.StepKey]Request{r.Gang: r}
	delete(source, 0)
	k.Review(waiting, 1000000, source, testNow)
	if p := k.PlanOf(r.Gang); p == nil || len(p.Slots) != 1 || p.Slots[0].Executor != 1 || !p.Start.Equal(testNow.Add(time.Second)) {
		t.Fatalf("plan %+v, want one on executor 1 in 1 s", p)
	}
	delete(source, 1)
	k.Review(waiting, 1000000, source, testNow)
	if k.PlanOf(r.Gang) != nil || len(k.held) != 0 || k.TakeDropped()[Lost] != 1 {
		t.Error("the plan was not dropped as lost")
	}
}

// A gang that doesn't start for another reason than capacity must not keep others from its slots.
func TestExpiredPlanFreesEverything(t *testing.T) {
	source := testSource{0: {Executor: 0, Free: cpus(20), MaxTasks: 9}}
	r := Request{Gang: gangKey(1), Width: 2, Task: cpus(10), LatestStart: testNow.Add(20 * time.Second), LatestUseful: testNow.Add(60 * time.Second)}
	k := NewKeeper()
	k.Review(nil, 1000000, source, testNow)
	k.Gather(r, source, testNow)
	waiting := map[work.StepKey]Request{r.Gang: r}
	k.Review(waiting, 1000000, source, testNow)
	k.Review(waiting, 1000000, source, testNow.Add(MaxReadyWait))
	if k.PlanOf(r.Gang) == nil {
		t.Fatal("the plan was dropped too early")
	}
	now := testNow.Add(MaxReadyWait + time.Millisecond)
	k.Review(waiting, 1000000, source, now)
	if k.PlanOf(r.Gang) != nil || len(k.held) != 0 || k.TakeDropped()[Expired] != 1 {
		t.Error("the expired plan holds slots")
	}
	if k.Gather(r, source, now) || !k.Gather(r, source, now.Add(expiryPause)) {
		t.Error("want a new plan after a pause only")
	}
}

// Gangs beyond the share would take capacity from the rest of the cell. A gang that is late
// makes room for one that can be in time.
func TestShareOfCapacity(t *testing.T) {
	source := testSource{0: {Executor: 0, Free: cpus(200), MaxTasks: 99}}
	capacity := int64(200000)
	most := int(MaxHeldShare * 200)
	request := func(n, width int, late bool) Request {
		return Request{Gang: gangKey(n), Width: width, Task: cpus(1), Late: late, LatestStart: testNow.Add(time.Duration(n) * time.Second), LatestUseful: testNow.Add(time.Minute)}
	}
	k := NewKeeper()
	k.Review(nil, capacity, source, testNow)
	if !k.Gather(request(5, most, true), source, testNow) {
		t.Fatal("a gang that needs the whole share got no plan")
	}
	if !k.Gather(request(6, most-1, false), source, testNow) || k.PlanOf(gangKey(5)) != nil || k.TakeDropped()[Displaced] != 1 {
		t.Error("the late gang made no room for one in time")
	}
	if k.Gather(request(1, 2, false), source, testNow) {
		t.Error("plans hold more than the share")
	}
	first := request(7, most, false)
	first.First = true
	if !k.Gather(first, source, testNow) {
		t.Error("the gang that goes first got no plan")
	}
}
