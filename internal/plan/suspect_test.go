package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// suspect has a task of a job lose two executors, so that it is suspected.
func (w *world) suspect(id work.ID) *step {
	w.t.Helper()
	s := w.cell.jobs[id].activeOccurrences[0].steps[0]
	s.tasks[0].losses.crashes = suspectCrashes
	return s
}

func TestIsolationEndsIfTaskNeverStarts(t *testing.T) {
	w := newWorld(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Minute})
	w.startAll(w.cycle())
	w.job(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(30), Estimate: time.Second})
	w.suspect(work.ID{2})
	for range 30 {
		w.cycle()
		w.pass(200 * time.Millisecond)
		w.reportAll()
	}
	w.job(3, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Second})
	if orders := w.cycle(); len(orders) != 1 {
		t.Errorf("%d starts on an executor that has room, 6 s after it was first kept", len(orders))
	}
}

func TestInheritedSuspectedRunIsIsolatedForLimitedTime(t *testing.T) {
	w := newWorld(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Minute})
	w.suspect(work.ID{1})
	orders := w.cycle()
	w.startAll(orders)
	w.takeOver()
	w.report("e0", running(orders[0].Start.Run), nil)
	w.job(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Second})
	if orders := w.cycle(); len(orders) != 0 {
		t.Errorf("%d starts beside a suspected run", len(orders))
	}
	for range 11 {
		w.pass(time.Second)
		w.reportAll()
	}
	if orders := w.cycle(); len(orders) != 1 {
		t.Errorf("%d starts beside a suspected run that has been at work for %v", len(orders), isolationTime)
	}
}

func TestSuspectedTaskStartsAloneInFullCell(t *testing.T) {
	w := newWorld(t, 2)
	w.job(1, testQueue, work.Step{TaskCount: 16, TaskResources: cpus(4), Estimate: time.Minute})
	first := w.cycle()
	w.startAll(first)
	w.job(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
	s := w.suspect(work.ID{2})
	w.cycle()
	kept := s.isolation.vm
	if kept == nil {
		t.Fatal("no executor is kept")
	}
	var last uint64
	for _, o := range first {
		if o.Start.To.ID == kept.Ref.ID {
			last++
			w.report(kept.Ref.ID, nil, ended(last, o.Start.Run, platform.EndDone))
			w.job(byte(10+last), testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
			for _, next := range w.cycle() {
				if next.Start.Run.Task.Job != (work.ID{2}) {
					t.Errorf("%v starts on the executor that is kept", next.Start.Run.Task)
				} else if len(kept.allocations) != 1 {
					t.Errorf("the suspected task starts beside %d runs", len(kept.allocations)-1)
				}
			}
		}
	}
	if s.tasks[0].phase != work.Started {
		t.Error("the suspected task hasn't started on an empty executor")
	}
}

func TestSuspectedGangStartsOnFewExecutors(t *testing.T) {
	p := newCrashPlay(t, 3, crashers())
	p.runFor(time.Second)
	gang := p.job(1, testQueue, work.Step{TaskCount: 8, TaskResources: cpus(4), Estimate: time.Second, Gang: true})
	for _, s := range p.cell.jobs[gang.ID].activeOccurrences[0].steps {
		for _, task := range s.tasks {
			task.losses.unproven = suspectLosses
		}
	}
	p.runFor(20 * time.Second)
	if state := p.state(gang.ID); state != work.Completed {
		t.Errorf("the gang is %v", state)
	}
}
