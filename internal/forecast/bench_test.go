package forecast

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// busyFleet returns executors of 64 processors that are 95% in use by runs that end over the
// next 5 s, and waiting steps of three kinds.
func busyFleet(executors, steps int) ([]Executor, []Release, []Demand) {
	random := rand.New(rand.NewPCG(1, 2))
	var fleet []Executor
	var releases []Release
	for range executors {
		e := Executor{Capacity: Capacity{64_000, 131_072}, Free: Capacity{64_000, 131_072}}
		for e.Free.MilliCPU > 6_000 {
			c := Capacity{min(e.Free.MilliCPU, 4_000+random.Int64N(12_000)), min(e.Free.MemoryMB, 8_000+random.Int64N(16_000))}
			e.Free = e.Free.sub(c)
			releases = append(releases, Release{After: time.Duration(random.IntN(5000)) * time.Millisecond, Capacity: c})
		}
		fleet = append(fleet, e)
	}
	var waiting []Demand
	for i := range steps {
		d := Demand{Tasks: 1 + random.IntN(6), Run: 300*time.Millisecond + time.Duration(random.IntN(1000))*time.Millisecond, Share: 0.7, LatestStart: 500 * time.Millisecond}
		size := 6_000 + random.Int64N(8_000)
		switch {
		case i%28 == 0:
			d = Demand{Tasks: 5 + random.IntN(40), Gang: true, Run: 5 * time.Second, Share: 0.3, LatestStart: 7 * time.Second, NotBefore: time.Second}
			size = 14_000 + random.Int64N(8_000)
		case i%7 == 0:
			d = Demand{Tasks: 5 + random.IntN(40), Run: 2700 * time.Millisecond, Share: 0.45, LatestStart: 11 * time.Second, NotBefore: 200 * time.Millisecond}
			size = 4_000 + random.Int64N(6_000)
		}
		d.Task = Capacity{size, size * 2}
		waiting = append(waiting, d)
	}
	return fleet, releases, waiting
}

// BenchmarkBuild measures one profile. At 350 executors and 2,000 waiting steps it may take 1 ms.
func BenchmarkBuild(b *testing.B) {
	for _, executors := range []int{350, 6000} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			fleet, releases, waiting := busyFleet(executors, 2000)
			b.ReportAllocs()
			for b.Loop() {
				Build(MaxHorizon, fleet, releases, waiting)
			}
		})
	}
}

// BenchmarkAdmit measures the forecast and the booking of one job behind half of the steps.
func BenchmarkAdmit(b *testing.B) {
	for _, executors := range []int{350, 6000} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			fleet, releases, waiting := busyFleet(executors, 2000)
			p := Build(MaxHorizon, fleet, releases, waiting)
			j := Job{Steps: []Step{{Demand: waiting[1]}}, Objective: time.Second}
			var r Retries
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				p.Add(&j, 1000, p.Forecast(&j, 1000))
				r.Next(p, now, &j)
			}
		})
	}
}

// BenchmarkFreeIn measures the check for free capacity before a refusal, where nothing is free for
// the job and where all waiting steps have to be looked at.
func BenchmarkFreeIn(b *testing.B) {
	for _, executors := range []int{350, 6000} {
		fleet, releases, waiting := busyFleet(executors, 2000)
		for i := range waiting {
			waiting[i].NotBefore = time.Duration(i%100) * time.Millisecond
			waiting[i].Gang, waiting[i].Tasks = true, 10_000 // they take nothing
		}
		p := Build(MaxHorizon, fleet, releases, waiting)
		for name, size := range map[string]int64{"none": 64_000, "some": 5_000} {
			b.Run(fmt.Sprint(name, "/", executors), func(b *testing.B) {
				j := Job{Steps: []Step{{Demand: Demand{Tasks: 3, Task: Capacity{size, 2 * size}, Run: time.Second, Share: 0.7, NotBefore: 30 * time.Millisecond}}}, Objective: time.Second}
				b.ReportAllocs()
				for b.Loop() {
					p.FreeIn(fleet, &j, len(waiting))
				}
			})
		}
	}
}
