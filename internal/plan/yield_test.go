package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Queues of the plays, the most urgent first.
const (
	checksQueue  = "checks"
	gangsQueue   = "gangs"
	rostersQueue = "rosters"
)

// newCrowd returns a world whose queues differ in urgency.
func newCrowd(t *testing.T, executors int) *world {
	w := newWorld(t, executors)
	w.cell.Configure(&queue.Configuration{
		Queues: []queue.Queue{
			{Name: checksQueue, Service: testService, Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond},
			{Name: gangsQueue, Service: testService, Priority: 1, MaxAttempts: 2, Stretch: 1.5, TargetLatency: time.Second},
			{Name: rostersQueue, Service: testService, Priority: 2, MaxAttempts: 2, Stretch: 4, TargetLatency: 3 * time.Second},
		},
		Services: map[string]queue.Service{testService: {Name: testService}},
	})
	return w
}

// startAndSettle starts what is planned and has it be at work for long enough to yield.
func (w *world) startAndSettle() {
	w.startAll(w.cycle())
	w.pass(minPreemptedRunTime)
	w.reportAll()
}

// roster fills the executors with tasks of a job that can wait.
func (w *world) roster(n byte, tasks int, saves bool) *work.Job {
	return w.job(n, rostersQueue, work.Step{TaskCount: tasks, TaskResources: cpus(8), Estimate: 4 * time.Second, SavesCheckpoints: saves})
}

// stopped has executors report that stopped runs have ended, with their progress saved.
func (w *world) stopped(stops []Stop) {
	for _, s := range stops {
		v := w.cell.vms[s.To.ID]
		var runs []platform.Run
		for run := range v.allocations {
			if run != s.Run {
				runs = append(runs, run)
			}
		}
		w.report(s.To.ID, running(runs...), []platform.EndedRun{{Number: v.appliedEnds + 1, Run: s.Run, Reason: platform.EndStopped, Checkpoint: "saved"}})
	}
}

// Executors are full of work that can wait, in pieces: a gang finds no room, however
// much time that work has.
func TestGangPreemptsLessUrgentRuns(t *testing.T) {
	w := newCrowd(t, 4)
	roster := w.roster(1, 16, true)
	w.startAndSettle()
	w.job(2, gangsQueue, work.Step{TaskCount: 4, TaskResources: cpus(18), Estimate: 4 * time.Second, Gang: true})
	if starts := w.cycle(); len(starts) > 0 {
		t.Fatalf("%d tasks started without room", len(starts))
	}
	stops := w.cell.TakeStops(w.now)
	if len(stops) != 12 {
		t.Fatalf("%d runs stopped, want 3 on each executor", len(stops))
	}
	w.pass(200 * time.Millisecond)
	w.stopped(stops)
	starts := w.cycle()
	if len(starts) != 4 {
		t.Fatalf("%d tasks of the gang started, want 4", len(starts))
	}
	for _, s := range w.cell.jobs[roster.ID].activeOccurrences[0].steps[0].tasks {
		if s.phase == work.Pending && s.checkpoint != "saved" {
			t.Error("a task that yielded has lost its progress")
		}
	}
}

// What a run is stopped for, and what for not.
func TestPreemptibleRuns(t *testing.T) {
	const tasks = 16
	for _, c := range []struct {
		name  string
		first func(w *world) // fills four executors
		age   time.Duration
		queue string // of the gang
		stops bool
	}{
		{"work that can wait", func(w *world) { w.roster(1, tasks, true) }, 0, gangsQueue, true},
		{"it loses what it did", func(w *world) { w.roster(1, tasks, false) }, 0, gangsQueue, false},
		{"it has no time left", func(w *world) { w.roster(1, tasks, true) }, 14 * time.Second, gangsQueue, false},
		{"the gang's own kind", func(w *world) { w.roster(1, tasks, true) }, 0, rostersQueue, false},
		{"it is more urgent", func(w *world) {
			w.job(1, checksQueue, work.Step{TaskCount: tasks, TaskResources: cpus(8), Estimate: 20 * time.Second, SavesCheckpoints: true})
		}, 0, gangsQueue, false},
		{"it is a gang itself", func(w *world) {
			w.job(1, rostersQueue, work.Step{TaskCount: tasks, TaskResources: cpus(8), Estimate: 4 * time.Second, SavesCheckpoints: true, Gang: true})
		}, 0, gangsQueue, false},
	} {
		w := newCrowd(t, 4)
		c.first(w)
		w.startAndSettle()
		w.pass(c.age)
		w.reportAll()
		w.job(2, c.queue, work.Step{TaskCount: 4, TaskResources: cpus(18), Estimate: 4 * time.Second, Gang: true})
		w.cycle()
		if stops := w.cell.TakeStops(w.now); (len(stops) > 0) != c.stops {
			t.Errorf("%s: %d runs stopped", c.name, len(stops))
		}
	}
}

// Nothing is stopped for a gang that would find too little room all the same.
func TestNoPreemptionIfGangStillDoesNotFit(t *testing.T) {
	w := newCrowd(t, 4)
	w.roster(1, 16, true)
	w.startAndSettle()
	w.job(2, gangsQueue, work.Step{TaskCount: 5, TaskResources: cpus(18), Estimate: 4 * time.Second, Gang: true})
	w.cycle()
	if stops := w.cell.TakeStops(w.now); len(stops) > 0 {
		t.Errorf("%d runs stopped, and there is no room for five tasks on four executors", len(stops))
	}
}

// crowdPlay has gangs come to executors that are full of work which can wait.
type crowdPlay struct {
	*world
	rand    *rand.Rand
	ends    map[platform.Run]time.Time
	stops   map[work.TaskKey]int
	waiting map[work.ID]time.Time // gangs, since when
}

func (p *crowdPlay) step() {
	p.pass(50 * time.Millisecond)
	for id, v := range p.cell.vms {
		var runs []platform.Run
		var ended []platform.EndedRun
		number := v.appliedEnds
		for run, cl := range v.allocations {
			end, timed := p.ends[run]
			switch {
			case cl.stopRequested:
				number++
				ended = append(ended, platform.EndedRun{Number: number, Run: run, Reason: platform.EndStopped, Checkpoint: "saved"})
			case timed && !end.After(p.now):
				number++
				ended = append(ended, platform.EndedRun{Number: number, Run: run, Reason: platform.EndDone})
			default:
				runs = append(runs, run)
			}
		}
		p.report(id, running(runs...), ended)
	}
	starts := p.cycle()
	p.startAll(starts)
	together := make(map[work.ID]time.Time) // a gang ends as one
	for _, s := range starts {
		run := s.Start.Run
		spec := p.stored[run.Task.Job].Steps[0]
		end, known := together[run.Task.Job]
		if !known || !spec.Gang {
			end = p.now.Add(time.Duration((0.5 + p.rand.Float64()) * float64(spec.Estimate)))
			together[run.Task.Job] = end
		}
		p.ends[run] = end
		delete(p.waiting, run.Task.Job)
	}
	for _, s := range p.cell.TakeStops(p.now) {
		p.stops[s.Run.Task]++
	}
}

// In random plays no run is stopped more often than allowed or for a less urgent one,
// and no gang waits beyond its time where what may yield would make room.
func TestPreemptionIsBounded(t *testing.T) {
	for seed := range uint64(30) {
		p := &crowdPlay{
			world: newCrowd(t, 8), rand: rand.New(rand.NewPCG(seed, 1)),
			ends: make(map[platform.Run]time.Time), stops: make(map[work.TaskKey]int), waiting: make(map[work.ID]time.Time),
		}
		n := byte(0)
		for i := range 800 { // 40 s
			if i%30 == 0 && i < 500 { // 0.9 of the executors in all
				n++
				p.roster(n, 4+p.rand.IntN(8), true)
			}
			if i%60 == 30 && i < 500 { // up to three at a time, which have room by themselves
				n++
				j := p.job(n, gangsQueue, work.Step{TaskCount: 1 + p.rand.IntN(2), TaskResources: cpus(18), Estimate: 3 * time.Second, Gang: true})
				p.waiting[j.ID] = p.now
			}
			p.step()
			for id, since := range p.waiting {
				if p.now.Sub(since) > 4*time.Second {
					t.Errorf("seed %d: gang %s has waited for %v, on executors of which work that can wait fills most", seed, id, p.now.Sub(since))
					delete(p.waiting, id)
				}
			}
		}
		for task, stops := range p.stops {
			if of := p.stored[task.Job].Queue; stops > maxPreemptions || of != rostersQueue {
				t.Errorf("seed %d: task %s of %s was stopped %d times", seed, task, of, stops)
			}
		}
		if left := len(p.cell.jobs); left > 0 {
			t.Errorf("seed %d: %d jobs have not ended", seed, left)
		}
	}
}
