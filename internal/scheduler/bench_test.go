package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/estimate"
	"github.com/skylarklock/skylarklock/internal/scheduler"
	"github.com/skylarklock/skylarklock/internal/scheduler/baseline"
)

// cycler is what the schedulers that are compared have in common.
type cycler interface {
	Cycle(w *scheduler.State, now time.Time, maxStarts int) scheduler.Plan
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

var order = [...]string{"sampled", "first_fit", "random"}

func contender(name string) cycler {
	switch name {
	case "first_fit":
		return baseline.New(baseline.FirstFit, seeded(1))
	case "random":
		return baseline.New(baseline.Random, seeded(1))
	}
	return scheduler.New(scheduler.Config{}, seeded(1))
}

// putFleet adds VMs of 32 processors and 64 GB, six to a rack, over the
// data centres, one in six with eight accelerators.
func putFleet(w *scheduler.State, vms, dcs int) {
	for i := range vms {
		vm := scheduler.VM{ID: api.VMID(fmt.Sprintf("vm-%05d", i)), DataCentre: api.DataCentre(fmt.Sprintf("dc-%d", i%dcs)),
			Rack: fmt.Sprintf("rack-%d-%d", i%dcs, i/dcs/6), Capacity: capacityOf(i), Schedulable: true}
		w.PutVM(vm)
	}
}

func capacityOf(i int) api.Resources {
	if i%6 == 5 {
		return api.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}
	}
	return api.Resources{MilliCPU: 32000, MemoryMB: 65536}
}

// stream draws jobs of many teams and mixed sizes.
type stream struct {
	rnd    *rand.Rand
	next   int
	unlike bool // no two jobs have the same size
}

func (s *stream) size() api.Resources {
	pick := func(of ...int64) int64 { return of[s.rnd.IntN(len(of))] }
	switch p := s.rnd.IntN(100); {
	case p < 54: // balanced, small
		n := pick(1, 1, 2, 3)
		return api.Resources{MilliCPU: 500 * n, MemoryMB: 1000 * n}
	case p < 74: // processors
		return api.Resources{MilliCPU: pick(1000, 2000, 3500), MemoryMB: pick(500, 1500)}
	case p < 94: // memory
		return api.Resources{MilliCPU: pick(250, 500), MemoryMB: pick(2000, 3500, 5000)}
	case p < 97: // large
		return api.Resources{MilliCPU: pick(5000, 9000), MemoryMB: pick(10000, 20000)}
	}
	return api.Resources{MilliCPU: 3000, MemoryMB: 6000, Accelerators: pick(1, 1, 2)}
}

func (s *stream) job(tasks uint32) scheduler.Job {
	s.next++
	class := api.ClassBatch
	if s.rnd.IntN(5) == 0 {
		class = api.ClassService
	}
	spec := api.JobSpec{ID: api.JobID(fmt.Sprintf("job-%07d", s.next)), Team: fmt.Sprintf("team-%02d", s.rnd.IntN(92)), Class: class,
		Priority: api.PriorityDefault, Tasks: tasks, Resources: s.size(), Checkpointable: class == api.ClassBatch}
	if s.unlike {
		spec.Resources.MilliCPU += s.rnd.Int64N(250)
		spec.Resources.MemoryMB += s.rnd.Int64N(500)
	}
	if class == api.ClassBatch {
		spec.RunTime = time.Duration(1+s.rnd.IntN(10)) * time.Minute
	}
	return pendingAll(spec, time.Unix(int64(s.next), 0))
}

func pendingAll(spec api.JobSpec, now time.Time) scheduler.Job {
	j := scheduler.Job{Spec: spec, Submitted: now}
	for i := range spec.Tasks {
		j.Pending = append(j.Pending, i)
	}
	return j
}

// cell applies plans to a World and remembers what runs.
type cell struct {
	*scheduler.State
	by      cycler
	specs   map[api.JobID]api.JobSpec
	running []scheduler.RunningTask
}

func newCell(by cycler) *cell {
	return &cell{State: scheduler.NewState(), by: by, specs: map[api.JobID]api.JobSpec{}}
}

func (c *cell) submit(j scheduler.Job) {
	c.specs[j.Spec.ID] = j.Spec
	c.PutJob(j)
}

func (c *cell) apply(p scheduler.Plan, now time.Time) {
	for _, s := range p.Starts {
		spec := c.specs[s.Task.Job]
		r := scheduler.RunningTask{Task: s.Task, VM: s.VM, Team: spec.Team, Class: spec.Class, Priority: spec.Priority, Resources: s.Resources,
			Checkpointable: spec.Checkpointable, Started: now, ExpectedEnd: now.Add(spec.RunTime)}
		if spec.RunTime == 0 {
			r.ExpectedEnd = time.Time{}
		}
		c.Occupy(r)
		c.running = append(c.running, r)
	}
}

// endOne ends a random running task.
func (c *cell) endOne(rnd *rand.Rand) {
	i, last := rnd.IntN(len(c.running)), len(c.running)-1
	r := c.running[i]
	c.running[i] = c.running[last]
	c.running = c.running[:last]
	c.Vacate(r.Task)
	if c.specs[r.Task.Job].Tasks == 1 {
		c.RemoveJob(r.Task.Job)
		delete(c.specs, r.Task.Job)
	}
}

var sizes = []struct{ vms, tasks, dcs int }{{1700, 42_000, 4}, {18_000, 460_000, 11}}

// filled returns a cell with so many tasks running, and its stream.
func filled(vms, tasks, dcs int) (*cell, *stream) {
	c, s := newCell(contender("sampled")), &stream{rnd: seeded(2)}
	putFleet(c.State, vms, dcs)
	now := time.Unix(0, 0)
	for range 2 * tasks / 500 {
		if len(c.running) >= tasks {
			return c, s
		}
		for range 500 {
			c.submit(s.job(1))
		}
		c.apply(c.by.Cycle(c.State, now, 500), now)
	}
	panic(fmt.Sprintf("only %d tasks fit", len(c.running)))
}

// BenchmarkPlacement measures one start after another, each with the end of
// another task and the arrival of a job, at both sizes: with room to spare,
// and with a full fleet and 20,000 jobs queued,
// of few shapes or all unlike.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range sizes {
		for _, load := range []struct {
			queued int
			unlike bool
		}{{0, false}, {20_000, false}, {20_000, true}} {
			b.Run(fmt.Sprintf("vms=%d/tasks=%d/queued=%d/unlike=%v", size.vms, size.tasks, load.queued, load.unlike), func(b *testing.B) {
				c, s := filled(size.vms, size.tasks, size.dcs)
				s.unlike = load.unlike
				now := time.Unix(0, 0)
				for range 100 {
					if c.Totals().QueuedJobs >= load.queued {
						break
					}
					for range 1 + load.queued/2 {
						c.submit(s.job(1))
					}
					for had := -1; load.queued > 0 && len(c.running) > had; {
						had = len(c.running)
						c.apply(c.by.Cycle(c.State, now, math.MaxInt), now)
					}
				}
				decisions := hdrhistogram.New(1, int64(time.Minute), 3)
				starts := 0
				runtime.GC()
				for b.Loop() {
					c.endOne(s.rnd)
					c.submit(s.job(1))
					before := time.Now()
					p := c.by.Cycle(c.State, now, 1)
					if took := time.Since(before); len(p.Starts) > 0 {
						_ = decisions.RecordValue(int64(took))
					}
					c.apply(p, now)
					starts += len(p.Starts)
					now = now.Add(time.Millisecond)
				}
				b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
				b.ReportMetric(float64(decisions.ValueAtQuantile(50))/1000, "p50-us")
				b.ReportMetric(float64(decisions.ValueAtQuantile(99))/1000, "p99-us")
			})
		}
	}
}

// BenchmarkMemory measures the bytes that a World keeps.
func BenchmarkMemory(b *testing.B) {
	const vms, tasks, jobs = 1700, 42_000, 20_000
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		w := scheduler.NewState()
		start := heap()
		putFleet(w, vms, 4)
		fleet := heap()
		for i := range tasks {
			w.Occupy(scheduler.RunningTask{Task: api.TaskID{Job: "running", Index: uint32(i)}, VM: api.VMID(fmt.Sprintf("vm-%05d", i%vms)), Team: "team",
				Class: api.ClassBatch, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 2000}})
		}
		running := heap()
		s := &stream{rnd: seeded(3)}
		for range jobs {
			w.PutJob(s.job(1))
		}
		queued := heap()
		b.ReportMetric((fleet-start)/vms, "B/worker")
		b.ReportMetric((running-fleet)/tasks, "B/task")
		b.ReportMetric((queued-running)/jobs, "B/job")
		runtime.KeepAlive(w)
	}
}

// use is the largest share of any one resource of the fleet, in percent: 100
// is the bound given by the sums.
func use(used, capacity api.Resources) float64 {
	share := max(float64(used.MilliCPU)/float64(capacity.MilliCPU), float64(used.MemoryMB)/float64(capacity.MemoryMB))
	return 100 * max(share, float64(used.Accelerators)/float64(capacity.Accelerators))
}

// stranded is the share of the accelerators, in percent, that are idle and
// have not the room beside them that the stream's work needs.
func stranded(w *scheduler.State) float64 {
	lost, all := int64(0), w.Totals().Capacity.Accelerators
	for _, id := range w.VMs() {
		free, _ := w.Free(id)
		lost += free.Accelerators - min(free.Accelerators, free.MilliCPU/3000, free.MemoryMB/6000)
	}
	return 100 * float64(lost) / float64(all)
}

// BenchmarkPacking fills a fleet until the first task finds no VM.
func BenchmarkPacking(b *testing.B) {
	for _, name := range order {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				sum, least, lost := 0.0, 100.0, 0.0
				const seeds = 5
				for seed := range uint64(seeds) {
					c, s := newCell(contender(name)), &stream{rnd: seeded(seed + 10)}
					putFleet(c.State, 120, 1)
					for c.Totals().QueuedJobs == 0 {
						c.submit(s.job(1))
						c.apply(c.by.Cycle(c.State, time.Unix(0, 0), 10), time.Unix(0, 0))
					}
					got := use(c.Totals().Used, c.Totals().Capacity)
					sum += got
					least = min(least, got)
					lost += stranded(c.State)
				}
				b.ReportMetric(sum/seeds, "%use")
				b.ReportMetric(least, "%use-least")
				b.ReportMetric(lost/seeds, "%accelerators-stranded")
			}
		})
	}
}

// BenchmarkWrongSizes does the same with declared sizes wrong by up to four
// times either way, by team, planned as declared and as learned from 64
// reports of each team's jobs. It also gives the share of VMs whose tasks
// really use more than they hold.
func BenchmarkWrongSizes(b *testing.B) {
	for _, learn := range []bool{false, true} {
		for _, name := range order {
			b.Run(fmt.Sprintf("%s/learned=%v", name, learn), func(b *testing.B) {
				for b.Loop() {
					wrongSizes(b, contender(name), learn)
				}
			})
		}
	}
}

func wrongSizes(b *testing.B, by cycler, learn bool) {
	c, s := newCell(by), &stream{rnd: seeded(20)}
	putFleet(c.State, 120, 1)
	e := estimate.New(estimate.Config{})
	var factor [92]float64
	for i := range factor {
		factor[i] = math.Exp2(s.rnd.Float64()*4 - 2)
	}
	real := map[api.VMID]api.Resources{}
	var total api.Resources
	for c.Totals().QueuedJobs == 0 {
		j := s.job(1)
		truth := j.Spec.Resources
		var team int
		_, _ = fmt.Sscanf(j.Spec.Team, "team-%d", &team)
		j.Spec.Resources = api.Resources{MilliCPU: int64(float64(truth.MilliCPU) * factor[team]), MemoryMB: int64(float64(truth.MemoryMB) * factor[team]),
			Accelerators: truth.Accelerators}
		if learn {
			for range 64 {
				e.Observe(j.Spec, estimate.Report{Usage: truth})
			}
			j.Estimate = e.Estimate(j.Spec).Resources
		}
		c.submit(j)
		p := c.by.Cycle(c.State, time.Unix(0, 0), 10)
		c.apply(p, time.Unix(0, 0))
		for _, start := range p.Starts {
			real[start.VM] = real[start.VM].Add(truth)
			total = total.Add(truth)
		}
	}
	over := 0
	for id, used := range real {
		var i int
		_, _ = fmt.Sscanf(string(id), "vm-%d", &i)
		if !used.Fits(capacityOf(i)) {
			over++
		}
	}
	b.ReportMetric(use(total, c.Totals().Capacity), "%use-real")
	b.ReportMetric(100*float64(over)/120, "%VMs-over")
}
