package forecast

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// drawExecutors draws up to 12 executors with 1 to 8 processors each and the releases of what they run.
func drawExecutors(t *rapid.T) (executors []Executor, releases []Release) {
	for range rapid.IntRange(1, 12).Draw(t, "executors") {
		n := rapid.Int64Range(1, 8).Draw(t, "processors")
		used := rapid.Int64Range(0, n).Draw(t, "used")
		capacity := Capacity{n * 1000, n * 2000}
		executors = append(executors, Executor{Capacity: capacity, Free: Capacity{(n - used) * 1000, (n - used) * 2000}})
		if used > 0 {
			after := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "release_ms")) * time.Millisecond
			releases = append(releases, Release{After: after, Capacity: Capacity{used * 1000, used * 2000}})
		}
	}
	return executors, releases
}

func drawDemand(t *rapid.T) Demand {
	n := rapid.Int64Range(100, 4000).Draw(t, "milli_cpu")
	return Demand{
		Tasks:       rapid.IntRange(1, 20).Draw(t, "tasks"),
		Task:        Capacity{n, rapid.Int64Range(0, 8000).Draw(t, "memory")},
		Run:         time.Duration(rapid.IntRange(1, 9000).Draw(t, "run_ms")) * time.Millisecond,
		Gang:        rapid.Bool().Draw(t, "gang"),
		Share:       rapid.Float64Range(0.05, 1).Draw(t, "share"),
		NotBefore:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "not_before_ms")) * time.Millisecond,
		LatestStart: time.Duration(rapid.IntRange(0, 9000).Draw(t, "latest_ms")) * time.Millisecond,
	}
}

func drawProfile(t *rapid.T) *Profile {
	executors, releases := drawExecutors(t)
	var waiting []Demand
	for range rapid.IntRange(0, 80).Draw(t, "waiting") {
		waiting = append(waiting, drawDemand(t))
	}
	return Build(MaxHorizon, executors, releases, waiting)
}

// Guards against bookings that give capacity back, for example of negative width.
func TestBookingMakesNoEarlierStartPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		demand, position := drawDemand(t), rapid.IntRange(0, 80).Draw(t, "position")
		before := p.Start(demand, position)
		added := Job{Steps: []Step{{Demand: drawDemand(t)}}, Objective: 5 * time.Second}
		at := rapid.IntRange(0, 80).Draw(t, "added_at")
		p.Add(&added, at, p.Forecast(&added, at))
		after := p.Start(demand, position)
		if after.First < before.First || after.Last < before.Last {
			t.Fatalf("starts at %v instead of %v after a booking", after, before)
		}
	})
}

// Guards against forecasts that refuse jobs on a free cell because of rounding or fragmentation.
func TestFreeCellForecastsNoWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, processors := rapid.IntRange(1, 50).Draw(t, "executors"), rapid.Int64Range(1, 64).Draw(t, "processors")
		capacity := Capacity{processors * 1000, processors * 2000}
		executors := make([]Executor, n)
		for i := range executors {
			executors[i] = Executor{Capacity: capacity, Free: capacity}
		}
		perExecutor := rapid.Int64Range(1, 10).Draw(t, "tasks_per_executor")
		d := drawDemand(t)
		d.NotBefore = 0
		d.Task = Capacity{processors * 1000 / perExecutor, processors * 2000 / perExecutor}
		d.Share = 1
		d.Tasks = rapid.IntRange(1, n*int(perExecutor)).Draw(t, "fitting_tasks")
		j := Job{Steps: []Step{{Demand: d}}}
		f := Build(MaxHorizon, executors, nil, nil).Forecast(&j, 0)
		if f.First != 0 || f.Last != 0 || !f.Known || !f.FreeNow || f.End != d.Run {
			t.Fatalf("forecast %+v of %+v on a free cell", f, d)
		}
	})
}

// Guards against gangs that are booked in parts, and against overbooked buckets.
func TestGangStartsOnlyWhereItsWidthFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		d, position := drawDemand(t), rapid.IntRange(0, 80).Draw(t, "position")
		d.Gang = true
		times := p.Start(d, position)
		if times.First != times.Last {
			t.Fatalf("members start from %v to %v", times.First, times.Last)
		}
		if !times.Known {
			return
		}
		s := p.shapeOf(&d)
		width := d.Task.times(s.width(d.Tasks))
		free := p.layers[p.layerOf(position)].free
		first := bucketsIn(times.First)
		for b := first; b < min(first+bucketsIn(d.Run), p.buckets); b++ {
			if !free[b].holds(width.pack()) {
				t.Fatalf("starts at %v, %v is free at bucket %d, its width is %v", times.First, free[b].unpack(), b, width)
			}
		}
	})
}

// Guards against a search cache that skips buckets with enough capacity, and against
// overbooking by steps that start in several parts.
func TestSearchCacheChangesNoResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		executors, releases := drawExecutors(t)
		p := Build(MaxHorizon, executors, releases, nil)
		l := p.layers[0].clone()
		var known searchCache
		for range rapid.IntRange(1, 60).Draw(t, "demands") {
			d := drawDemand(t)
			want := p.place(&l, &d, nil)
			got := p.place(&l, &d, &known)
			if got != want {
				t.Fatalf("placed at %v with the cache and at %v without", got, want)
			}
			p.book(&l, &d)
			wider := d.Gang && d.Tasks > 1
			for b, c := range l.free {
				if c := c.unpack(); !wider && (c.MilliCPU < 0 || c.MemoryMB < 0) {
					t.Fatalf("%v is free in bucket %d", c, b)
				}
			}
			if wider {
				l = p.layers[0].clone() // a gang wider than its share is booked with its full width
				known = searchCache{}
			}
		}
	})
}

// Guards against a part of an amount that leaks into the other when it is negative.
func TestPackedAmounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Capacity {
			return Capacity{rapid.Int64Range(-maxPart/2, maxPart/2).Draw(t, name+"_cpu"), rapid.Int64Range(-maxPart/2, maxPart/2).Draw(t, name+"_mb")}
		}
		a, b := draw("a"), draw("b")
		if got := a.pack().unpack(); got != a {
			t.Fatalf("%v becomes %v", a, got)
		}
		if got := (a.pack() - b.pack()).unpack(); got != a.sub(b) {
			t.Fatalf("%v less %v is %v", a, b, got)
		}
		if got := a.pack().holds(b.pack()); got != a.holds(b) {
			t.Fatalf("%v holds %v: %v", a, b, got)
		}
	})
}

// Guards against layers that miss waiting steps: a demand behind all of them once saw
// capacity that the last ones take.
func TestLayersContainTheStepsAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Profile{waiting: rapid.IntRange(0, 5000).Draw(t, "waiting")}
		for n := 1; n <= p.waiting; n++ {
			if step := p.layerOf(n) - p.layerOf(n-1); step < 0 || step > 1 {
				t.Fatalf("layer %d follows %d", p.layerOf(n), p.layerOf(n-1))
			}
		}
		if got := p.layerOf(p.waiting); got != min(maxLayers, p.waiting) {
			t.Fatalf("all steps are in layer %d", got)
		}
	})
}

func TestForecast(t *testing.T) {
	capacity := Capacity{10_000, 20_000}
	busy := func() []Executor { return []Executor{{Capacity: capacity}, {Capacity: capacity}} }
	ends := []Release{{After: time.Second, Capacity: capacity}, {After: 2 * time.Second, Capacity: capacity}}
	task := Capacity{5_000, 5_000}
	Convey("Given two executors that become free after 1 and 2 s", t, func() {
		d := Demand{Tasks: 4, Task: task, Run: time.Second, Share: 1, LatestStart: 2 * time.Second}
		Convey("a step starts in parts, or a second earlier if it is small", func() {
			p := Build(MaxHorizon, busy(), ends, nil)
			So(p.Start(d, 0), ShouldResemble, Times{First: time.Second, Last: 2 * time.Second, Known: true})
			d.Tasks = 2
			So(p.Start(d, 0), ShouldResemble, Times{First: time.Second, Last: time.Second, Known: true})
		})
		Convey("a gang waits until its whole width fits", func() {
			d.Gang = true
			So(Build(MaxHorizon, busy(), ends, nil).Start(d, 0), ShouldResemble, Times{First: 2 * time.Second, Last: 2 * time.Second, Known: true})
		})
		Convey("a demand ahead of a waiting step starts as if that were not there", func() {
			p := Build(MaxHorizon, busy(), ends, []Demand{d})
			So(p.Start(d, 0).First, ShouldEqual, time.Second)
			So(p.Start(d, 1).First, ShouldBeGreaterThanOrEqualTo, 2*time.Second)
		})
		Convey("the steps of a job follow each other", func() {
			j := Job{Steps: []Step{{Demand: d}, {Demand: d, DependsOn: []int{0}}}, Objective: 3 * time.Second}
			f := Build(MaxHorizon, busy(), ends, nil).Forecast(&j, 0)
			So(f.First, ShouldEqual, time.Second)
			So(f.Last, ShouldEqual, 3*time.Second)
			So(f.End, ShouldEqual, 4*time.Second)
			So(f.FreeNow, ShouldBeFalse)
		})
		Convey("steps ahead that can't be in time don't count as capacity booked by steps in time", func() {
			j := Job{Steps: []Step{{Demand: d}}, Objective: 3 * time.Second}
			inTime := Build(MaxHorizon, busy(), ends, []Demand{d}).Forecast(&j, 1)
			So(inTime.InTimeEnd, ShouldBeGreaterThan, j.Objective)
			ahead := d
			ahead.LatestStart = -time.Second
			late := Build(MaxHorizon, busy(), ends, []Demand{ahead}).Forecast(&j, 1)
			So(late.End, ShouldEqual, inTime.End)
			So(late.InTimeEnd, ShouldEqual, 3*time.Second)
		})
		Convey("refused jobs are sent to different times, also after a new profile", func() {
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			p := Build(MaxHorizon, busy(), ends, nil)
			j := Job{Steps: []Step{{Demand: d}}, Objective: time.Second}
			var r Retries
			So(r.Next(p, now, &j), ShouldEqual, 2*time.Second)
			So(r.Next(p, now, &j), ShouldEqual, 3*time.Second)
			So(r.Next(Build(MaxHorizon, busy(), ends, nil), now.Add(100*time.Millisecond), &j), ShouldBeGreaterThan, 3*time.Second)
		})
	})
}

func TestAccuracy(t *testing.T) {
	var a Accuracy
	for i := range 10 {
		a.Record("q", time.Second, time.Duration(500+100*i)*time.Millisecond) // 500 to 1,400 ms
	}
	got := a.Take()
	// Within a third of a second are 700 to 1,300 ms.
	if len(got) != 1 || got[0].Starts != 10 || got[0].Accurate != 0.7 {
		t.Fatalf("summary %+v", got)
	}
	if got[0].P10 > -200*time.Millisecond || got[0].P90 < 300*time.Millisecond {
		t.Errorf("quantiles %+v", got[0])
	}
	if len(a.Take()) != 0 {
		t.Error("the second summary repeats the starts of the first")
	}
}

// Guards against layers whose capacity for steps in time, or whose accepted work, differs from
// what the steps' bookings take.
func TestBuildBooksEachStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		executors, releases := drawExecutors(t)
		var waiting []Demand
		for range rapid.IntRange(0, 2*maxLayers).Draw(t, "waiting") {
			d := drawDemand(t)
			d.Expected = rapid.Bool().Draw(t, "expected")
			d.LatestStart -= 2 * time.Second
			waiting = append(waiting, d)
		}
		p := Build(MaxHorizon, executors, releases, waiting)
		want := p.layers[0].clone()
		accepted := want.clone()
		take := func(from []packed, d *Demand) {
			for _, s := range p.starts {
				for b := s.bucket; b < min(s.bucket+bucketsIn(d.Run), p.buckets); b++ {
					from[b] -= d.Task.times(s.tasks).pack()
				}
			}
		}
		for i := range waiting {
			d := &waiting[i]
			p.place(&want, d, nil)
			p.book(&want, d)
			if d.LatestStart > 0 {
				take(want.inTime, d)
			}
			if !d.Expected {
				take(accepted.free, d)
			}
			if n := p.layerOf(i + 1); i+1 == len(waiting) || p.layerOf(i+2) > n {
				if got := &p.layers[n]; !slices.Equal(got.free, want.free) || !slices.Equal(got.inTime, want.inTime) || got.overflow != want.overflow {
					t.Fatalf("layer %d differs from the bookings of its %d steps", n, i+1)
				}
			}
		}
		if !slices.Equal(p.accepted.free, accepted.free) {
			t.Fatal("accepted work differs from the bookings")
		}
	})
}
