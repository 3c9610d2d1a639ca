package speed

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// slowFactor is the factor that the tests ask for, as package plan does.
const slowFactor = 1.35

// testFleet is a fleet of executors with true speeds.
type testFleet struct {
	*Fleet
	rand      *rand.Rand
	executors []*Executor
	speeds    []float64
	now       time.Time
	error     float64 // by which share estimates are off, either way
	shared    bool    // the tasks of a step have the same error
	longShare float64 // share of runs that take 7 times as long
}

func newTestFleet(seed uint64, speeds []float64) *testFleet {
	f := &testFleet{Fleet: NewFleet(), rand: rand.New(rand.NewPCG(seed, 1)), speeds: speeds, now: testStart, error: 0.9}
	for range speeds {
		f.executors = append(f.executors, &Executor{})
	}
	return f
}

// runStep runs a step with a number of tasks on random executors.
func (f *testFleet) runStep(tasks int) {
	g := &Group{}
	common := f.drawError()
	for range tasks {
		i := f.rand.IntN(len(f.speeds))
		ratio := common / f.speeds[i]
		if !f.shared {
			ratio = f.drawError() / f.speeds[i]
		}
		if f.rand.Float64() < f.longShare {
			ratio *= 7
		}
		f.Observe(f.executors[i], "q", g, tasks, ratio, f.now)
	}
}

// drawError returns by how many times its estimate a run takes longer.
func (f *testFleet) drawError() float64 { return 1 + f.error*(2*f.rand.Float64()-1) }

// runEach runs steps until each executor has had a number of runs on average, one a second.
func (f *testFleet) runEach(runs, tasks int) {
	for n := 0; n < runs*len(f.speeds); n += tasks {
		f.now = f.now.Add(time.Duration(tasks) * time.Second / time.Duration(len(f.speeds)))
		f.runStep(tasks)
	}
	f.refresh()
}

func (f *testFleet) refresh() Summary {
	return f.Refresh(slices.Values(f.executors), slowFactor, f.now)
}

// slowByTruth counts the executors that are certainly slow, by whether they are slower than
// the typical speed in truth.
func (f *testFleet) slowByTruth(typical float64) (right, wrong int) {
	for i, e := range f.executors {
		if f.SlowerBy(e, slowFactor, f.now) {
			if f.speeds[i]*slowFactor < typical {
				right++
			} else {
				wrong++
			}
		}
	}
	return right, wrong
}

// quarterSlow returns the speeds of a fleet of which a quarter is slow.
func quarterSlow(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1.2
		if i%4 == 0 {
			speeds[i] = 0.55
		}
	}
	return speeds
}

// unlike is how many of the 40 executors of unlikeFleet have another speed. Their mean error is
// checked, since single executors are allowed to be off by their standard deviation.
const unlike = 8

func unlikeFleet(seed uint64, speed float64) *testFleet {
	speeds := slices.Repeat([]float64{1}, 40)
	f := newTestFleet(seed, speeds)
	f.setUnlike(speed)
	return f
}

func (f *testFleet) setUnlike(speed float64) {
	for i := range unlike {
		f.speeds[i] = speed
	}
}

// unlikeError returns the mean error of the logarithms of the speeds of these executors.
func (f *testFleet) unlikeError() float64 {
	sum := 0.0
	for i := range unlike {
		mean, _, _ := f.Relative(f.executors[i], f.now)
		sum += mean - math.Log(f.speeds[i])
	}
	return sum / unlike
}

// The estimates converge to the true speed whatever it is.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := unlikeFleet(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0.3, 3).Draw(t, "speed"))
		f.shared = rapid.Bool().Draw(t, "shared")
		f.runEach(100, rapid.IntRange(1, 25).Draw(t, "tasks"))
		if off := f.unlikeError(); f.known < minKnown || math.Abs(off) > 0.3 {
			t.Fatalf("log speeds are off by %.2f on average, %d executors known", off, f.known)
		}
	})
}

// A change in mid-life is followed, so that an executor that has recovered is used again:
// within 15 runs if the tasks of a step share the error of their estimate, and within 30 if
// the errors are independent and up to nine tenths.
func TestChangeIsFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := unlikeFleet(rapid.Uint64().Draw(t, "seed"), 1)
		f.shared = rapid.Bool().Draw(t, "shared")
		f.error = rapid.Float64Range(0.2, 0.9).Draw(t, "error")
		f.runEach(60, 8)
		f.setUnlike(rapid.Float64Range(0.3, 3).Draw(t, "speed"))
		runs := 15
		if !f.shared {
			runs = 30
		}
		f.runEach(runs, 8)
		if off := f.unlikeError(); math.Abs(off) > 0.4 {
			t.Fatalf("log speeds are off by %.2f on average after a change to %.2f", off, math.Log(f.speeds[0]))
		}
	})
}

// The estimates deviate from the truth by more than 2 standard deviations no more often than
// these allow on both sides, 4.6%, also if they are taken at any time of a long life.
func TestConfidence(t *testing.T) {
	for name, fleet := range map[string][]float64{"equal": {1}, "slow quarter": {0.55, 1.2, 1.2, 1.2}} {
		for _, tasks := range []int{1, 3, 25} {
			for _, shared := range []bool{false, true} {
				outside, checked := 0, 0
				for seed := range uint64(5) {
					speeds := slices.Repeat(fleet, 120/len(fleet))
					f := newTestFleet(seed, speeds)
					f.longShare, f.shared = 0.03, shared
					for range 60 {
						f.runEach(1, tasks)
						for i, e := range f.executors {
							mean, sd, known := f.Relative(e, f.now)
							if known && math.Abs(mean-math.Log(speeds[i]/speeds[len(speeds)-1])) > certainty*sd {
								outside++
							}
							checked++
						}
					}
				}
				share := float64(outside) / float64(checked)
				t.Logf("%s, %d tasks a step, shared error %v: %.4f outside", name, tasks, shared, share)
				if share > 0.0455 {
					t.Errorf("%s, %d tasks a step, shared error %v: %.4f outside", name, tasks, shared, share)
				}
			}
		}
	}
}

// In a fleet without differences, or with those between zones, hardly any executor is taken
// for slow at any time. Two standard deviations on one side leave 2.3%.
func TestHomogeneousFleet(t *testing.T) {
	for name, zones := range map[string][]float64{"equal": {1}, "three zones": {1, 1.15, 1.3}, "most in a fast zone": {1, 1.3, 1.3}} {
		for _, tasks := range []int{1, 3, 25} {
			for _, shared := range []bool{false, true} {
				wrong, checked := 0, 0
				for seed := range uint64(10) {
					speeds := make([]float64, 120)
					for i := range speeds {
						speeds[i] = zones[i%len(zones)]
					}
					f := newTestFleet(seed, speeds)
					f.longShare, f.shared = 0.03, shared
					for range 60 {
						f.runEach(1, tasks)
						wrong += f.refresh().Slow
						checked += len(speeds)
					}
				}
				share := float64(wrong) / float64(checked)
				t.Logf("%s, %d tasks a step, shared error %v: %.4f taken for slow", name, tasks, shared, share)
				if share > 0.0228 {
					t.Errorf("%s, %d tasks a step, shared error %v: %.4f taken for slow", name, tasks, shared, share)
				}
			}
		}
	}
}

// A quarter of slow executors is recognised within about 10 runs an executor.
func TestSlowQuarterIsRecognised(t *testing.T) {
	for _, tasks := range []int{3, 25} {
		for _, shared := range []bool{false, true} {
			for _, limit := range []struct {
				runs  int
				share float64
			}{{10, 0.55}, {20, 0.8}} {
				right, wrong := 0, 0
				for seed := range uint64(10) {
					f := newTestFleet(seed, quarterSlow(120))
					f.shared, f.longShare, f.error = shared, 0.03, 0.6
					f.runEach(limit.runs, tasks)
					r, w := f.slowByTruth(1.2)
					right, wrong = right+r, wrong+w
				}
				t.Logf("%d tasks a step, shared error %v, %d runs: %d of 300 recognised, %d of 900 wrong", tasks, shared, limit.runs, right, wrong)
				if float64(right) < limit.share*300 || wrong > 18 {
					t.Errorf("%d tasks a step, shared error %v, %d runs: %d of 300 recognised, %d of 900 wrong", tasks, shared, limit.runs, right, wrong)
				}
			}
		}
	}
}

// Without enough observations nothing is certain.
func TestUnknownFleet(t *testing.T) {
	f := newTestFleet(1, []float64{1, 0.3})
	f.runEach(100, 2)
	if f.SlowerBy(f.executors[1], slowFactor, f.now) || f.TimeFactor(f.executors[1], f.now) != 1 {
		t.Error("a difference is certain among two executors")
	}
}

func BenchmarkObserve(b *testing.B) {
	f := newTestFleet(1, quarterSlow(350))
	b.ReportAllocs()
	for b.Loop() {
		f.runStep(3)
	}
}

func BenchmarkRefresh(b *testing.B) {
	f := newTestFleet(1, quarterSlow(350))
	f.runEach(20, 3)
	b.ReportAllocs()
	for b.Loop() {
		f.refresh()
	}
}
