package plan

import (
	"maps"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// shortlyAway is for how long an executor is away that is back before its silence counts.
const shortlyAway = 600 * time.Millisecond

// checkAcknowledgedEnds fails where a task was started after a run of it had ended as done, or after as
// many had failed as its queue allows, and these ends were acknowledged, then or later.
func (p *crashPlay) checkAcknowledgedEnds() {
	p.t.Helper()
	last := make(map[work.TaskKey]uint32)
	for run := range p.began {
		last[run.Task] = max(last[run.Task], run.Number)
	}
	failed := make(map[work.TaskKey]int)
	for _, e := range p.everyLife {
		for _, end := range e.listed {
			run := end.Run
			if !end.acked || last[run.Task] <= run.Number {
				continue
			}
			switch end.Reason {
			case platform.EndDone:
				p.t.Errorf("task %v: run %d had ended as done, which was acknowledged, and run %d was started", run.Task, run.Number, last[run.Task])
			case platform.EndFailed:
				failed[run.Task]++
			}
		}
	}
	for task, n := range failed {
		if n >= testAttempts {
			p.t.Errorf("task %v: %d runs had failed, which was acknowledged, and another was started", task, n)
		}
	}
}

func TestDoneTaskIsNotRestartedAfterExecutorRestart(t *testing.T) {
	p := newCrashPlay(t, 6, crashers())
	p.reuseIDs(shortlyAway)
	p.crowd(10, 30)
	for i := range 4 {
		p.after(time.Duration(5+5*i)*time.Second, func() {
			for k, id := range p.ids() {
				if k%3 == i%3 {
					p.crash(id)
				}
			}
		})
	}
	p.runFor(60 * time.Second)
	p.checkAcknowledgedEnds()
}

func TestUnconfirmedStartIgnoresClockOfFormerIncarnation(t *testing.T) {
	p := newCrashPlay(t, 2, crashers())
	p.reuseIDs(shortlyAway)
	p.runFor(5 * time.Minute) // by which the clocks are ahead of those of later lives
	p.startFate = fate{late: time.Hour}
	j := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second})
	p.runFor(playCycle + 10*time.Millisecond)
	p.startFate = fate{}
	for _, id := range p.ids() {
		p.crash(id)
	}
	p.runFor(20 * time.Second)
	if state := p.state(j.ID); state != work.Completed {
		t.Errorf("the job is %v", state)
	}
}

func TestTaskIsNotPlacedOnEndedIncarnation(t *testing.T) {
	w := newWorld(t, 2)
	w.job(1, testAdvised, work.Step{TaskCount: 2, TaskResources: cpus(20), Estimate: time.Second})
	asks := w.cell.AdviceCalls(w.now, anybody{})
	w.cell.HandleGrants(asks[0], []platform.Grant{{Executor: "e0", Ticket: "t0"}, {Executor: "e1", Ticket: "t1"}}, 2*time.Second, w.now)
	orders := w.cycle()
	if len(orders) != 2 {
		t.Fatalf("%d orders, want 2", len(orders))
	}
	w.cell.HandleStartAnswer(orders[0].Start, &platform.RefusedError{Reason: platform.RefusedOtherIncarnation}, w.now)
	w.cell.HandleStartAnswer(orders[1].Start, nil, w.now)
	w.report(orders[1].Start.To.ID, nil, ended(1, orders[1].Start.Run, platform.EndDone))
	again := w.cycle()
	w.checkClaims()
	if len(again) != 1 || again[0].Start.To.ID != orders[1].Start.To.ID {
		t.Errorf("orders %+v, want one to the executor that is left", again)
	}
}

func TestHoldOnNewConnectionAcknowledgesNoEnds(t *testing.T) {
	w := newWorld(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second})
	orders := w.cycle()
	w.startAll(orders)
	w.report("e0", nil, ended(3, orders[0].Start.Run, platform.EndDone))
	w.save()
	h, _ := w.cell.NextHold("e0", HoldTerms{})
	w.cell.MarkEndsDurable(h, w.cell.AppliedEnds(h))
	h, _ = w.cell.NextHold("e0", HoldTerms{Connected: true, Renew: true})
	renewal := h.Order
	if renewal.Acknowledged != 3 || renewal.LeaseExpiry == 0 || !renewal.ReuseConnection {
		t.Errorf("renewal %+v", renewal)
	}
	h, _ = w.cell.NextHold("e0", HoldTerms{Renew: true, Wait: time.Second})
	first := h.Order
	if first.Acknowledged != 0 || first.LeaseExpiry != renewal.LeaseExpiry || first.MaxWait != 0 || first.ReuseConnection {
		t.Errorf("first hold on a connection %+v", first)
	}
}

// Starts of two lives of an executor.
const (
	bornFirst = int64(1769871780000)
	bornNext  = int64(1769871790000)
)

// tell has an executor's record and its next report tell a life.
func (w *world) tell(id string, born int64) {
	record := *w.listed[id]
	record.Ref.StartTimeMs = born
	w.listed = maps.Clone(w.listed)
	w.listed[id] = &record
	w.cell.UpdateExecutors(w.listed, w.now)
}

// answer has a life of an executor answer a hold.
func (w *world) answer(id string, r platform.ExecutorReport) Hold {
	h, _ := w.cell.NextHold(id, HoldTerms{Connected: true, Renew: true})
	w.cell.HandleReport(h, r, w.now, w.now)
	return h
}

// newWorldOfLives has executors that tell their lives.
func newWorldOfLives(t *testing.T, executors int) *world {
	w := newWorld(t, executors)
	for id := range w.listed {
		w.tell(id, bornFirst)
		w.answer(id, platform.ExecutorReport{StartTimeMs: bornFirst, Clock: w.clock})
	}
	return w
}

func TestNewIncarnationGetsHigherToken(t *testing.T) {
	w := newWorldOfLives(t, 1)
	former := w.answer("e0", platform.ExecutorReport{StartTimeMs: bornNext, Clock: 10})
	next, _ := w.cell.NextHold("e0", HoldTerms{Connected: true, Renew: true})
	if next.Order.FencingToken <= former.Order.FencingToken {
		t.Errorf("token %d after %d", next.Order.FencingToken, former.Order.FencingToken)
	}
	if !w.cell.IsTokenOutdated("e0", former.Order.FencingToken) || w.cell.IsTokenOutdated("e0", next.Order.FencingToken) {
		t.Error("a call to the former life isn't told from one to the next")
	}
	w.takeOver()
	later, _ := w.cell.NextHold("e0", HoldTerms{})
	if later.Order.FencingToken <= next.Order.FencingToken {
		t.Errorf("token %d of a later leader after %d", later.Order.FencingToken, next.Order.FencingToken)
	}
}

func TestClockThatGoesBackIsNewIncarnation(t *testing.T) {
	w := newWorldOfLives(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
	orders := w.cycle()
	w.startAll(orders)
	for range 2 {
		w.answer("e0", platform.ExecutorReport{StartTimeMs: bornFirst, Clock: 10})
	}
	if len(w.cell.vms["e0"].allocations) != 0 {
		t.Error("a run of the former life is held to go on")
	}
}

func TestRecordOfOtherIncarnationIsNotApplied(t *testing.T) {
	w := newWorldOfLives(t, 1)
	next := platform.ExecutorReport{StartTimeMs: bornNext, Clock: 10}
	w.answer("e0", next)
	w.answer("e0", next)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
	if orders := w.cycle(); len(orders) != 0 {
		t.Fatal("a task is started on a life of which no record was read")
	}
	w.listed["e0"].Capacity = cpus(2)
	w.tell("e0", bornNext)
	w.answer("e0", next)
	if orders := w.cycle(); len(orders) != 0 {
		t.Fatal("a task is started by the room of the former life")
	}
	w.listed["e0"].Capacity = cpus(8)
	w.tell("e0", bornFirst) // a read that is behind
	if v := w.cell.vms["e0"]; v.Ref.StartTimeMs != bornNext || v.Capacity != cpus(2) {
		t.Errorf("a late record makes it the life %d with %v", v.Ref.StartTimeMs, v.Capacity)
	}
	w.tell("e0", bornNext)
	if orders := w.cycle(); len(orders) != 1 {
		t.Error("the task isn't started by the record of the life that answers")
	}
}

func TestFormerRunsAreSettledByAnswerToHigherToken(t *testing.T) {
	for name, reached := range map[string]bool{"the order has reached the next life": true, "it has not": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorldOfLives(t, 2)
			w.job(1, testAdvised, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
			orders := w.advisedCycle()
			w.startAll(orders)
			run := orders[0].Start.Run
			next := platform.ExecutorReport{StartTimeMs: bornNext, Clock: 10}
			w.answer(orders[0].Start.To.ID, next)
			if len(w.advisedCycle()) > 0 {
				t.Fatal("it starts again while an order to the former life may still arrive")
			}
			if reached {
				next.Running = running(run)
			}
			w.pass(10 * time.Millisecond)
			w.answer(orders[0].Start.To.ID, next)
			if again := w.advisedCycle(); (len(again) == 0) != reached {
				t.Errorf("%d starts after the answer", len(again))
			}
		})
	}
}

func TestTicketOfFormerIncarnationIsNotUsed(t *testing.T) {
	w := newWorldOfLives(t, 1)
	w.job(1, testAdvised, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
	w.cycle()
	asks := w.cell.AdviceCalls(w.now, anybody{})
	next := platform.ExecutorReport{StartTimeMs: bornNext, Clock: 10}
	w.answer("e0", next)
	w.tell("e0", bornNext)
	w.answer("e0", next)
	w.cell.HandleGrants(asks[0], grants("e0"), 2*time.Second, w.now) // it was asked for the former life
	if orders := w.cycle(); len(orders) != 0 {
		t.Error("a task is started with the ticket of a former life")
	}
	if asks = w.cell.AdviceCalls(w.now, anybody{}); len(asks) != 1 {
		t.Error("nothing is asked about the new life")
	}
}

// advise has all calls for advice answered that are due, with tickets for what they name.
func (w *world) advise() {
	for _, ask := range w.cell.AdviceCalls(w.now, anybody{}) {
		w.cell.HandleGrants(ask, grants(ask.Executors...), 2*time.Second, w.now)
	}
}

// advisedCycle plans, asks for advice where that is due, and plans again.
func (w *world) advisedCycle() []ConfirmedStart {
	orders := w.cycle()
	w.advise()
	return append(orders, w.cycle()...)
}

// startedElsewhere returns after what time of an executor's silence a task starts on another
// one.
func (w *world) startedElsewhere(silent, other string, born int64) time.Duration {
	began := w.now
	for w.now.Sub(began) < time.Minute {
		w.pass(100 * time.Millisecond)
		w.answer(other, platform.ExecutorReport{StartTimeMs: born, Clock: w.clock})
		h, _ := w.cell.NextHold(silent, HoldTerms{Renew: true})
		w.cell.HandleNoReport(h, w.now)
		w.advise()
		if len(w.cycle()) > 0 {
			break
		}
	}
	return w.now.Sub(began)
}

func TestUnconfirmedOrderOnUnresponsiveExecutorDefersTask(t *testing.T) {
	cfg := DefaultConfig()
	const slack = 1500 * time.Millisecond
	for _, c := range []struct {
		name, queue string
		born        int64
		want        time.Duration
	}{
		{"good for any life", testQueue, bornFirst, cfg.MaxOrderDelay + cfg.MaxLease},
		{"bound to a life by its ticket", testAdvised, bornFirst, 2*time.Second + cfg.MaxLease},
		{"of the older kind", testQueue, 0, cfg.Lease},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 2)
			if c.born != 0 {
				w = newWorldOfLives(t, 2)
				w.pass(cfg.MaxLease) // what others may have extended is over
				w.answer("e0", platform.ExecutorReport{StartTimeMs: c.born, Clock: w.clock})
				w.answer("e1", platform.ExecutorReport{StartTimeMs: c.born, Clock: w.clock})
			}
			w.job(1, c.queue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
			orders := w.advisedCycle()
			w.cell.HandleStartAnswer(orders[0].Start, platform.ErrNoAnswer, w.now)
			silent := orders[0].Start.To.ID
			other := map[string]string{"e0": "e1", "e1": "e0"}[silent]
			if took := w.startedElsewhere(silent, other, c.born); took < c.want || took > c.want+slack {
				t.Errorf("it starts elsewhere after %v, want %v to %v", took, c.want, c.want+slack)
			}
		})
	}
}

func TestNewIncarnationMayHoldMaxLease(t *testing.T) {
	cfg := DefaultConfig()
	w := newWorldOfLives(t, 2)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
	orders := w.cycle()
	w.startAll(orders)
	silent := orders[0].Start.To.ID
	other := map[string]string{"e0": "e1", "e1": "e0"}[silent]
	// The order has reached the next life, whose clock is far behind what it names.
	at := platform.ExecutorReport{StartTimeMs: bornNext, Clock: 10, Running: running(orders[0].Start.Run)}
	w.answer(silent, at)
	w.answer(silent, at)
	if took := w.startedElsewhere(silent, other, bornFirst); took < cfg.MaxLease {
		t.Errorf("it starts elsewhere after %v, while it may be at work for %v", took, cfg.MaxLease)
	}
}

// startedByFormerLeader has a task started on a life of an executor, and another leader take
// over.
func (w *world) startedByFormerLeader() (*task, string) {
	job := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
	orders := w.cycle()
	w.startAll(orders)
	w.takeOver()
	return w.cell.jobs[job.ID].activeOccurrences[0].steps[0].tasks[0], orders[0].Start.To.ID
}

func TestLossBeforeTakeoverCounts(t *testing.T) {
	for answers, want := range map[int64]int{bornNext: 1, bornFirst: 0} {
		w := newWorldOfLives(t, 1)
		task, id := w.startedByFormerLeader()
		w.answer(id, platform.ExecutorReport{StartTimeMs: answers, Clock: w.clock})
		if got := task.losses.total(); got != want {
			t.Errorf("%d losses are counted where the life %d answers, want %d", got, answers, want)
		}
	}
}

func TestLossNamedByLateRecordEndsNoOtherRuns(t *testing.T) {
	w := newWorldOfLives(t, 2)
	for id := range w.listed {
		w.tell(id, bornNext)
		w.answer(id, platform.ExecutorReport{StartTimeMs: bornNext, Clock: w.clock})
		w.answer(id, platform.ExecutorReport{StartTimeMs: bornNext, Clock: w.clock})
	}
	job := w.job(1, testAdvised, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
	orders := w.advisedCycle()
	w.startAll(orders)
	id := orders[0].Start.To.ID
	other := map[string]string{"e0": "e1", "e1": "e0"}[id]
	w.tell(id, bornFirst) // the new leader's read is behind
	w.takeOver()
	w.answer(other, platform.ExecutorReport{StartTimeMs: bornNext, Clock: w.clock})
	w.cell.HandleExecutorLoss(w.ref(id), OtherIncarnation, w.now) // somebody else is where the former life was
	w.pass(10 * time.Millisecond)
	if orders := w.advisedCycle(); len(orders) > 0 {
		t.Errorf("job %v, which runs on a later life, starts again", job.ID)
	}
}

func TestLostTaskStartsOnOtherExecutor(t *testing.T) {
	p := newCrashPlay(t, 2, crashers(1))
	p.reuseIDs(shortlyAway)
	p.runFor(time.Second)
	j := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second})
	p.runFor(20 * time.Second)
	if state := p.state(j.ID); state != work.Failed {
		t.Fatalf("the job, whose task crashes its executors, is %v", state)
	}
	if p.lost != crashesToBlame || p.lostOf["e0"] == 0 || p.lostOf["e1"] == 0 {
		t.Errorf("it was given up after %v were lost, want %d crashes of both executors", p.lostOf, crashesToBlame)
	}
}

func TestRepeatedFailedEndCountsOnceAcrossTakeover(t *testing.T) {
	w := newWorld(t, 1)
	job := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
	orders := w.cycle()
	w.startAll(orders)
	failed := ended(1, orders[0].Start.Run, platform.EndFailed)
	w.report("e0", nil, failed)
	w.save()
	w.takeOver() // before the end was acknowledged
	w.report("e0", nil, failed)
	w.save()
	if state := w.saved[job.ID].State; state.Final() {
		t.Errorf("the job is %v after one failed run of %d", state, testAttempts)
	}
}

func TestNewIncarnationAtOtherAddressIsFound(t *testing.T) {
	w := newWorldOfLives(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
	w.startAll(w.cycle())
	const elsewhere = "10.0.0.2:e0"
	w.listed["e0"].Ref.Address = elsewhere
	w.tell("e0", bornNext)
	for range 2 {
		h, _ := w.cell.NextHold("e0", HoldTerms{})
		if h.To.Address != elsewhere {
			w.cell.HandleNoReport(h, w.now)
			continue
		}
		w.cell.HandleExecutorLoss(h.To, OtherIncarnation, w.now) // the record may be of a former life
		if len(w.cell.vms["e0"].allocations) == 0 {
			t.Fatal("a run counts as over since somebody else is where a record says")
		}
		w.cell.HandleReport(h, platform.ExecutorReport{StartTimeMs: bornNext, Clock: 10}, w.now, w.now)
		break
	}
	if got := w.cell.vms["e0"].Ref; got.Address != elsewhere || got.StartTimeMs != bornNext {
		t.Errorf("the executor is %+v", got)
	}
}
