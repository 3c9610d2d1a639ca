package plan

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/speed"
)

// At 70% load on a fleet of which a quarter is slow, more urgent jobs are in time with
// estimated speeds than without, and neither gangs nor batches pay for it.
func TestUnlikeFleetUnderLoad(t *testing.T) {
	t.Parallel()
	shares := func(estimate bool) map[string]float64 {
		sum := make(map[string]float64)
		const seeds = 3
		for seed := range uint64(seeds) {
			f := newUnlikeFleet(t, 24, seed)
			if !estimate {
				f.cell.speeds = nil
			}
			f.run(20, 1)
			f.forgetCounts()
			f.run(60, 1)
			for name := range unlikeKinds {
				sum[name] += f.shareInTime(name) / seeds
			}
			used := 0.0
			for _, share := range f.used {
				used += share / float64(len(f.used))
			}
			t.Logf("speeds estimated: %v, seed %d: used %.2f, slow %v, in time: urgent %.3f, gangs %.3f, batches %.3f",
				estimate, seed, used, f.slowIDs(), f.shareInTime("urgent"), f.shareInTime("gangs"), f.shareInTime("batch"))
		}
		return sum
	}
	with, without := shares(true), shares(false)
	if with["urgent"] < without["urgent"]+0.03 {
		t.Errorf("urgent jobs in time: %.3f with speeds, %.3f without", with["urgent"], without["urgent"])
	}
	for _, name := range []string{"gangs", "batch"} {
		if with[name] < without[name]-0.02 {
			t.Errorf("%s in time: %.3f with speeds, %.3f without", name, with[name], without[name])
		}
	}
}

// In a fleet without differences beyond those between zones no executor is treated
// differently.
func TestFleetOfLikeSpeeds(t *testing.T) {
	for _, zones := range [][]float64{{1}, {1, 1.15, 1.3}} {
		f := newUnlikeFleet(t, 24, 1)
		for i, id := range slices.Sorted(maps.Keys(f.speeds)) {
			f.speeds[id] = zones[i%len(zones)]
		}
		treated := 0
		const refreshes = 120
		for range refreshes {
			f.run(0.5, 1)
			treated += len(f.slowIDs())
		}
		if treated > refreshes*24/100 {
			t.Errorf("zones %v: executors taken for slow %d times in %d", zones, treated, refreshes*24)
		}
	}
}

// An executor that restarts under its ID with another speed is not taken for slow on account
// of its former incarnation.
func TestRestartWithAnotherSpeed(t *testing.T) {
	f := newUnlikeFleet(t, 12, 1)
	f.run(20, 0.5)
	if ids := f.slowIDs(); !slices.Equal(ids, []string{"e00", "e04", "e08"}) {
		t.Fatalf("slow executors are %v", ids)
	}
	v := f.cell.vms["e00"]
	ref := v.Ref
	f.cell.replaceIncarnation(v, ref, platform.ExecutorReport{StartTimeMs: 7, Clock: 1}, f.now)
	next := f.cell.vms["e00"]
	if next == v || next.certainlySlow || next.timeFactor != 1 || next.speed != (speed.Executor{}) {
		t.Errorf("the next incarnation keeps the speed of the former one: %+v", next.speed)
	}
}

// A new leader without a record of the speeds treats all executors alike and learns anew.
func TestNewLeaderLearnsSpeedsAnew(t *testing.T) {
	f := newUnlikeFleet(t, 12, 1)
	f.run(40, 0.5)
	before := f.slowIDs()
	f.takeOver()
	for id := range f.speeds {
		f.reportRuns(id, true)
	}
	f.runCycle()
	if ids := f.slowIDs(); len(ids) != 0 {
		t.Fatalf("slow executors right after the takeover: %v", ids)
	}
	f.run(40, 0.5)
	if ids := f.slowIDs(); !slices.Equal(ids, before) {
		t.Errorf("slow executors are %v, before the takeover %v", ids, before)
	}
}

// A new leader with the record of the former one treats slow executors as such at once, except
// those that have started again since.
func TestNewLeaderRestoresSpeeds(t *testing.T) {
	f := newUnlikeFleet(t, 12, 1)
	f.startTimes = make(map[string]int64)
	for i, id := range slices.Sorted(maps.Keys(f.speeds)) {
		f.startTimes[id] = int64(100 + i)
	}
	f.run(40, 0.5)
	records := f.cell.SpeedRecords(f.now)
	if len(records) != 12 {
		t.Fatalf("%d records", len(records))
	}
	f.takeOver()
	f.cell.RestoreSpeeds(records, 2*time.Second, f.now)
	f.startTimes["e04"]++
	for id := range f.speeds {
		f.reportRuns(id, true)
	}
	f.runCycle()
	if ids := f.slowIDs(); !slices.Equal(ids, []string{"e00", "e08"}) {
		t.Errorf("slow executors are %v", ids)
	}
}

// BenchmarkUnlikeFleet measures a plan and a check for due advice calls in a fleet of 350
// executors of which a quarter is certainly slow.
func BenchmarkUnlikeFleet(b *testing.B) {
	for _, slow := range []int{0, 350 / 4} {
		c, now := newBusyCell(350)
		c.speeds = nil // nothing is compared anew
		for _, v := range c.sortedVMs[:slow] {
			v.certainlySlow, v.timeFactor = true, 2.2
			c.slowTimeFactor = 2.2
		}
		c.Plan(now) // uses the grants
		b.Run(fmt.Sprintf("plan/%d", slow), func(b *testing.B) {
			for b.Loop() {
				c.Plan(now)
			}
		})
		b.Run(fmt.Sprintf("advice/%d", slow), func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Microsecond)
				c.resetCallChecks()
				c.AdviceCalls(now, refusingDispatcher{})
			}
		})
	}
}
