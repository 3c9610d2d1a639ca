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

// cyclePlanner is the interface of the compared schedulers.
type cyclePlanner interface {
	Cycle(st *scheduler.State, now time.Time, maxStarts int) scheduler.Plan
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

var plannerNames = [...]string{"sampled", "first_fit", "random"}

func newPlanner(name string) cyclePlanner {
	switch name {
	case "first_fit":
		return baseline.New(baseline.FirstFit, newRand(1))
	case "random":
		return baseline.New(baseline.Random, newRand(1))
	}
	return scheduler.New(scheduler.Config{}, newRand(1))
}

// putFleet adds VMs with 32 processors and 64 GB, spread over the data centres and
// six to a rack. One in six VMs has 64 processors, 128 GB and eight accelerators.
func putFleet(st *scheduler.State, vms, dcs int) {
	for i := range vms {
		vm := scheduler.VM{ID: api.VMID(fmt.Sprintf("vm-%05d", i)), DataCentre: api.DataCentre(fmt.Sprintf("dc-%d", i%dcs)),
			Rack: fmt.Sprintf("rack-%d-%d", i%dcs, i/dcs/6), Capacity: capacityOf(i), Schedulable: true}
		st.PutVM(vm)
	}
}

func capacityOf(i int) api.Resources {
	if i%6 == 5 {
		return api.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}
	}
	return api.Resources{MilliCPU: 32000, MemoryMB: 65536}
}

// jobStream generates random jobs of many teams and mixed sizes.
type jobStream struct {
	rnd         *rand.Rand
	jobCount    int
	uniqueSizes bool // vary the sizes so that hardly any two jobs have the same size
}

func (s *jobStream) size() api.Resources {
	pick := func(of ...int64) int64 { return of[s.rnd.IntN(len(of))] }
	switch p := s.rnd.IntN(100); {
	case p < 54: // small, balanced
		n := pick(1, 1, 2, 3)
		return api.Resources{MilliCPU: 500 * n, MemoryMB: 1000 * n}
	case p < 74: // processor-heavy
		return api.Resources{MilliCPU: pick(1000, 2000, 3500), MemoryMB: pick(500, 1500)}
	case p < 94: // memory-heavy
		return api.Resources{MilliCPU: pick(250, 500), MemoryMB: pick(2000, 3500, 5000)}
	case p < 97: // large
		return api.Resources{MilliCPU: pick(5000, 9000), MemoryMB: pick(10000, 20000)}
	}
	return api.Resources{MilliCPU: 3000, MemoryMB: 6000, Accelerators: pick(1, 1, 2)}
}

func (s *jobStream) job(tasks uint32) scheduler.Job {
	s.jobCount++
	class := api.ClassBatch
	if s.rnd.IntN(5) == 0 {
		class = api.ClassService
	}
	spec := api.JobSpec{ID: api.JobID(fmt.Sprintf("job-%07d", s.jobCount)), Team: fmt.Sprintf("team-%02d", s.rnd.IntN(92)), Class: class,
		Priority: api.PriorityDefault, Tasks: tasks, Resources: s.size(), Checkpointable: class == api.ClassBatch}
	if s.uniqueSizes {
		spec.Resources.MilliCPU += s.rnd.Int64N(250)
		spec.Resources.MemoryMB += s.rnd.Int64N(500)
	}
	if class == api.ClassBatch {
		spec.RunTime = time.Duration(1+s.rnd.IntN(10)) * time.Minute
	}
	return pendingAll(spec, time.Unix(int64(s.jobCount), 0))
}

func pendingAll(spec api.JobSpec, now time.Time) scheduler.Job {
	j := scheduler.Job{Spec: spec, Submitted: now}
	for i := range spec.Tasks {
		j.Pending = append(j.Pending, i)
	}
	return j
}

// simulation applies the plans of a planner to a State and tracks the running tasks.
type simulation struct {
	*scheduler.State
	planner cyclePlanner
	specs   map[api.JobID]api.JobSpec
	running []scheduler.RunningTask
}

func newSimulation(planner cyclePlanner) *simulation {
	return &simulation{State: scheduler.NewState(), planner: planner, specs: map[api.JobID]api.JobSpec{}}
}

func (sim *simulation) submit(j scheduler.Job) {
	sim.specs[j.Spec.ID] = j.Spec
	sim.PutJob(j)
}

func (sim *simulation) apply(p scheduler.Plan, now time.Time) {
	for _, s := range p.Starts {
		spec := sim.specs[s.Task.Job]
		r := scheduler.RunningTask{Task: s.Task, VM: s.VM, Team: spec.Team, Class: spec.Class, Priority: spec.Priority, Resources: s.Resources,
			Checkpointable: spec.Checkpointable, Started: now, ExpectedEnd: now.Add(spec.RunTime)}
		if spec.RunTime == 0 {
			r.ExpectedEnd = time.Time{}
		}
		sim.Occupy(r)
		sim.running = append(sim.running, r)
	}
}

// endRandomTask ends a random running task.
func (sim *simulation) endRandomTask(rnd *rand.Rand) {
	i, last := rnd.IntN(len(sim.running)), len(sim.running)-1
	r := sim.running[i]
	sim.running[i] = sim.running[last]
	sim.running = sim.running[:last]
	sim.Vacate(r.Task)
	if sim.specs[r.Task.Job].Tasks == 1 {
		sim.RemoveJob(r.Task.Job)
		delete(sim.specs, r.Task.Job)
	}
}

var sizes = []struct{ vms, tasks, dcs int }{{1700, 42_000, 4}, {18_000, 460_000, 11}}

// newFilledSimulation returns a simulation with the given number of running tasks,
// and the stream that generated them.
func newFilledSimulation(vms, tasks, dcs int) (*simulation, *jobStream) {
	sim, s := newSimulation(newPlanner("sampled")), &jobStream{rnd: newRand(2)}
	putFleet(sim.State, vms, dcs)
	now := time.Unix(0, 0)
	for range 2 * tasks / 500 {
		if len(sim.running) >= tasks {
			return sim, s
		}
		for range 500 {
			sim.submit(s.job(1))
		}
		sim.apply(sim.planner.Cycle(sim.State, now, 500), now)
	}
	panic(fmt.Sprintf("only %d tasks fit", len(sim.running)))
}

// BenchmarkPlacement measures consecutive cycles of one start, each after the end of a
// task and the arrival of a job. It runs at both sizes, with free capacity and with a full
// fleet and 20,000 queued jobs, which have few shapes or all different ones.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range sizes {
		for _, load := range []struct {
			queued      int
			uniqueSizes bool
		}{{0, false}, {20_000, false}, {20_000, true}} {
			b.Run(fmt.Sprintf("vms=%d/tasks=%d/queued=%d/unlike=%v", size.vms, size.tasks, load.queued, load.uniqueSizes), func(b *testing.B) {
				sim, s := newFilledSimulation(size.vms, size.tasks, size.dcs)
				s.uniqueSizes = load.uniqueSizes
				now := time.Unix(0, 0)
				for range 100 {
					if sim.Totals().QueuedJobs >= load.queued {
						break
					}
					for range 1 + load.queued/2 {
						sim.submit(s.job(1))
					}
					for previous := -1; load.queued > 0 && len(sim.running) > previous; {
						previous = len(sim.running)
						sim.apply(sim.planner.Cycle(sim.State, now, math.MaxInt), now)
					}
				}
				decisions := hdrhistogram.New(1, int64(time.Minute), 3)
				starts := 0
				runtime.GC()
				for b.Loop() {
					sim.endRandomTask(s.rnd)
					sim.submit(s.job(1))
					before := time.Now()
					p := sim.planner.Cycle(sim.State, now, 1)
					if took := time.Since(before); len(p.Starts) > 0 {
						_ = decisions.RecordValue(int64(took))
					}
					sim.apply(p, now)
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

// BenchmarkMemory measures the memory of a State per VM, running task and queued job.
func BenchmarkMemory(b *testing.B) {
	const vms, tasks, jobs = 1700, 42_000, 20_000
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		st := scheduler.NewState()
		start := heap()
		putFleet(st, vms, 4)
		fleet := heap()
		for i := range tasks {
			st.Occupy(scheduler.RunningTask{Task: api.TaskID{Job: "running", Index: uint32(i)}, VM: api.VMID(fmt.Sprintf("vm-%05d", i%vms)), Team: "team",
				Class: api.ClassBatch, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 2000}})
		}
		running := heap()
		s := &jobStream{rnd: newRand(3)}
		for range jobs {
			st.PutJob(s.job(1))
		}
		queued := heap()
		b.ReportMetric((fleet-start)/vms, "B/worker")
		b.ReportMetric((running-fleet)/tasks, "B/task")
		b.ReportMetric((queued-running)/jobs, "B/job")
		runtime.KeepAlive(st)
	}
}

// usagePercent returns the largest used share of any one resource of the fleet, in
// percent. The upper bound from the totals is 100.
func usagePercent(used, capacity api.Resources) float64 {
	share := max(float64(used.MilliCPU)/float64(capacity.MilliCPU), float64(used.MemoryMB)/float64(capacity.MemoryMB))
	return 100 * max(share, float64(used.Accelerators)/float64(capacity.Accelerators))
}

// strandedPercent returns the percentage of accelerators that are idle without enough
// free processors and memory on their VM for the accelerator jobs of jobStream.
func strandedPercent(st *scheduler.State) float64 {
	stranded, total := int64(0), st.Totals().Capacity.Accelerators
	for _, id := range st.VMs() {
		free, _ := st.Free(id)
		stranded += free.Accelerators - min(free.Accelerators, free.MilliCPU/3000, free.MemoryMB/6000)
	}
	return 100 * float64(stranded) / float64(total)
}

// BenchmarkPacking fills a fleet until the first task fits no VM.
func BenchmarkPacking(b *testing.B) {
	for _, name := range plannerNames {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				sum, minimum, stranded := 0.0, 100.0, 0.0
				const seeds = 5
				for seed := range uint64(seeds) {
					sim, s := newSimulation(newPlanner(name)), &jobStream{rnd: newRand(seed + 10)}
					putFleet(sim.State, 120, 1)
					for sim.Totals().QueuedJobs == 0 {
						sim.submit(s.job(1))
						sim.apply(sim.planner.Cycle(sim.State, time.Unix(0, 0), 10), time.Unix(0, 0))
					}
					got := usagePercent(sim.Totals().Used, sim.Totals().Capacity)
					sum += got
					minimum = min(minimum, got)
					stranded += strandedPercent(sim.State)
				}
				b.ReportMetric(sum/seeds, "%use")
				b.ReportMetric(minimum, "%use-least")
				b.ReportMetric(stranded/seeds, "%accelerators-stranded")
			}
		})
	}
}

// BenchmarkWrongSizes is like BenchmarkPacking, but the declared sizes of each team are
// wrong by a factor of up to four in either direction. Jobs are planned as declared, or
// as learned from 64 reports per job. It also reports the share of VMs whose tasks
// actually use more than the capacity.
func BenchmarkWrongSizes(b *testing.B) {
	for _, learn := range []bool{false, true} {
		for _, name := range plannerNames {
			b.Run(fmt.Sprintf("%s/learned=%v", name, learn), func(b *testing.B) {
				for b.Loop() {
					wrongSizes(b, newPlanner(name), learn)
				}
			})
		}
	}
}

func wrongSizes(b *testing.B, planner cyclePlanner, learn bool) {
	sim, s := newSimulation(planner), &jobStream{rnd: newRand(20)}
	putFleet(sim.State, 120, 1)
	e := estimate.New(estimate.Config{})
	var factor [92]float64
	for i := range factor {
		factor[i] = math.Exp2(s.rnd.Float64()*4 - 2)
	}
	actual := map[api.VMID]api.Resources{}
	var total api.Resources
	for sim.Totals().QueuedJobs == 0 {
		j := s.job(1)
		actualSize := j.Spec.Resources
		var team int
		_, _ = fmt.Sscanf(j.Spec.Team, "team-%d", &team)
		j.Spec.Resources = api.Resources{MilliCPU: int64(float64(actualSize.MilliCPU) * factor[team]), MemoryMB: int64(float64(actualSize.MemoryMB) * factor[team]),
			Accelerators: actualSize.Accelerators}
		if learn {
			for range 64 {
				e.Observe(j.Spec, estimate.Report{Usage: actualSize})
			}
			j.Estimate = e.Estimate(j.Spec).Resources
		}
		sim.submit(j)
		p := sim.planner.Cycle(sim.State, time.Unix(0, 0), 10)
		sim.apply(p, time.Unix(0, 0))
		for _, start := range p.Starts {
			actual[start.VM] = actual[start.VM].Add(actualSize)
			total = total.Add(actualSize)
		}
	}
	overusedVMs := 0
	for id, used := range actual {
		var i int
		_, _ = fmt.Sscanf(string(id), "vm-%d", &i)
		if !used.Fits(capacityOf(i)) {
			overusedVMs++
		}
	}
	b.ReportMetric(usagePercent(total, sim.Totals().Capacity), "%use-real")
	b.ReportMetric(100*float64(overusedVMs)/120, "%VMs-over")
}
