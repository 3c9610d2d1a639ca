package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// Virtual times of BenchmarkWave.
const (
	waveTick       = 200 * time.Millisecond
	checkpointTime = time.Second // time that a victim needs to stop
	waveStarts     = time.Minute
	waveEnds       = 2 * time.Minute
	waveTestEnd    = 3 * time.Minute
	waveFactor     = 20
)

// wave runs a simulation in virtual time under a load wave.
type wave struct {
	*simulation
	now      time.Time
	rnd      *rand.Rand
	jobCount int
	kinds    map[api.JobID]string
	arrived  map[api.JobID]time.Time
	stopping map[api.TaskID]time.Time
	waits    map[string]*hdrhistogram.Histogram
}

var waveKinds = [...]string{"urgent", "service", "steady", "gang", "wave"}

func newWave(planner cyclePlanner) *wave {
	w := &wave{simulation: newSimulation(planner), now: time.Unix(0, 0), rnd: newRand(5), kinds: map[api.JobID]string{}, arrived: map[api.JobID]time.Time{},
		stopping: map[api.TaskID]time.Time{}, waits: map[string]*hdrhistogram.Histogram{}}
	for _, kind := range waveKinds {
		w.waits[kind] = hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	}
	putFleet(w.State, 48, 2)
	return w
}

func (w *wave) submitKind(kind, team string, spec api.JobSpec) {
	w.jobCount++
	spec.ID, spec.Team, spec.Tasks = api.JobID(fmt.Sprintf("job-%06d", w.jobCount)), team, max(spec.Tasks, 1)
	w.kinds[spec.ID] = kind
	w.arrived[spec.ID] = w.now
	w.submit(pendingAll(spec, w.now))
}

// submitTick submits the jobs of one tick. The steady load uses about 40% of the
// fleet; the wave is batch jobs of one team at twenty times the rate of the steady jobs.
func (w *wave) submitTick() {
	elapsed := w.now.Sub(time.Unix(0, 0))
	tick := int(elapsed / waveTick)
	batch := api.JobSpec{Class: api.ClassBatch, Priority: api.PriorityDefault, Checkpointable: true, RunTime: 60 * time.Second,
		Resources: api.Resources{MilliCPU: 2000, MemoryMB: 4000}}
	w.submitKind("steady", fmt.Sprintf("team-%d", tick%8), batch)
	if w.rnd.IntN(10) == 0 {
		urgent := batch
		urgent.Priority, urgent.RunTime = api.PriorityUrgent, 10*time.Second
		urgent.Resources = batch.Resources.Mul(4)
		w.submitKind("urgent", "team-0", urgent)
	}
	if w.rnd.IntN(25) == 0 {
		w.submitKind("service", "team-1", api.JobSpec{Class: api.ClassService, Priority: api.PriorityDefault + 200, Resources: batch.Resources})
	}
	if tick%300 == 150 {
		w.submitKind("gang", "team-2", api.JobSpec{Class: api.ClassGang, Priority: api.PriorityDefault, Tasks: 16, RunTime: 45 * time.Second,
			Resources: api.Resources{MilliCPU: 8000, MemoryMB: 16000}})
	}
	if elapsed >= waveStarts && elapsed < waveEnds {
		for range waveFactor {
			w.submitKind("wave", "team-wave", batch)
		}
	}
}

// endTasks vacates the tasks that have ended or been checkpointed. Checkpointed tasks
// become pending again.
func (w *wave) endTasks() {
	kept := w.running[:0]
	for _, r := range w.running {
		stopped, isVictim := w.stopping[r.Task]
		switch {
		case !r.ExpectedEnd.IsZero() && !r.ExpectedEnd.After(w.now):
			w.Vacate(r.Task)
		case isVictim && !stopped.After(w.now):
			w.Vacate(r.Task)
			w.PutJob(scheduler.Job{Spec: w.specs[r.Task.Job], Submitted: w.now, Pending: []uint32{r.Task.Index}})
		default:
			kept = append(kept, r)
			continue
		}
		delete(w.stopping, r.Task)
	}
	w.running = kept
}

func (w *wave) tick() {
	w.submitTick()
	w.endTasks()
	p := w.planner.Cycle(w.State, w.now, 1000)
	w.apply(p, w.now)
	for _, s := range p.Starts {
		if at, first := w.arrived[s.Task.Job]; first {
			_ = w.waits[w.kinds[s.Task.Job]].RecordValue(w.now.Sub(at).Milliseconds())
			delete(w.arrived, s.Task.Job)
		}
	}
	for _, p := range p.Preemptions {
		w.stopping[p.Task] = w.now.Add(checkpointTime)
	}
	w.now = w.now.Add(waveTick)
}

// BenchmarkWave measures the waiting times by kind of work, in virtual time, under a
// wave of batch jobs at twenty times the steady rate. Jobs that have not started by the
// end count with their waiting time so far.
func BenchmarkWave(b *testing.B) {
	for _, name := range [...]string{"sampled", "first_fit"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				w := newWave(newPlanner(name))
				for w.now.Before(time.Unix(0, 0).Add(waveTestEnd)) {
					w.tick()
				}
				for id, at := range w.arrived {
					_ = w.waits[w.kinds[id]].RecordValue(w.now.Sub(at).Milliseconds())
				}
				for _, kind := range waveKinds {
					b.ReportMetric(float64(w.waits[kind].ValueAtQuantile(50))/1000, kind+"-p50-s")
					b.ReportMetric(float64(w.waits[kind].Max())/1000, kind+"-max-s")
				}
			}
		})
	}
}
