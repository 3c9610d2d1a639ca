package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// stopWithin is how long after a job has ended, or after a run of it was
// started late, nothing of it may be at work any more: what the platform allows
// from the acknowledgement of a cancel (3 s) and for a stop (0.2 s).
const stopWithin = 3200 * time.Millisecond

// Ways in which a job ends.
var endings = map[string]func(*play, work.ID){
	"cancelled": func(p *play, id work.ID) { p.cell.Cancel(id) },
	"failed":    func(p *play, id work.ID) { p.cell.endJob(p.cell.jobs[id], work.Failed) },
	"completed": func(p *play, id work.ID) { p.cell.endJob(p.cell.jobs[id], work.Completed) },
	"forgotten": func(p *play, id work.ID) {
		p.cell.Cancel(id)
		p.save()
		delete(p.stored, id)
		p.cell.ForgetJobs([]work.ID{id})
	},
}

// What the registry says of the executor after it was given the start.
var standings = map[string]func(*play){
	"registered":   func(*play) {},
	"unregistered": func(p *play) { p.register() },
	"draining": func(p *play) {
		p.listed["e0"].Draining = true
		p.cell.UpdateExecutors(p.listed, p.now)
	},
	"registered again after 2 s": func(p *play) {
		p.register()
		p.after(2*time.Second, func() { p.register("e0") })
	},
}

// What becomes of the stops. The leader sends one when a start has no answer.
var stopFates = map[string][]fate{
	"stops carried out":             nil,
	"two stops lost":                {{lost: true}, {lost: true}},
	"two stops carried out late":    {{late: 6 * time.Second}, {late: 4 * time.Second}},
	"two stops refused as unwell":   {{refused: true}, {refused: true}},
	"a stop lost, the next refused": {{lost: true}, {refused: true}},
}

// endsWithin checks that whatever is at work, now or later, is over in time, and
// that no room is held for it after that.
func (p *play) endsWithin(t *testing.T, within time.Duration) {
	t.Helper()
	for end := p.now.Add(20 * time.Second); p.now.Before(end); {
		p.until(time.Minute, func() bool { return p.atWork() || !p.now.Before(end) })
		if took := p.until(time.Minute, func() bool { return !p.atWork() }); took > within {
			t.Errorf("a run of a job that has ended was at work for %v, want at most %v", took, within)
		}
	}
	for id, v := range p.cell.vms {
		if len(v.allocations) > 0 || v.used.MilliCPU != 0 {
			t.Errorf("executor %s still holds room for %d runs", id, len(v.allocations))
		}
	}
}

// A start without an answer that is carried out after its job has ended, or
// before, doesn't run on.
func TestLateStartOfEndedJobIsStopped(t *testing.T) {
	for ending, end := range endings {
		for standing, stand := range standings {
			for stops, fates := range stopFates {
				for _, order := range []struct{ started, ended time.Duration }{
					{2 * time.Second, 500 * time.Millisecond},
					{2 * time.Second, 3 * time.Second},
					{12 * time.Second, 500 * time.Millisecond},
					{12 * time.Second, 5 * time.Second},
					{100 * time.Millisecond, 150 * time.Millisecond},
					{100 * time.Millisecond, 5 * time.Second},
				} {
					name := fmt.Sprintf("%s/%s/%s/started after %v, ended after %v", ending, standing, stops, order.started, order.ended)
					t.Run(name, func(t *testing.T) {
						p := newPlay(t, 1)
						p.startFate = fate{late: order.started}
						job := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
						p.loseStops = true // those that follow a start without an answer
						p.cycleOnce()
						stand(p)
						p.run(order.ended)
						p.loseStops = false
						p.stopFates = append([]fate(nil), fates...)
						end(p, job.ID)
						p.endsWithin(t, stopWithin)
						if e := p.executors["e0"]; e.started+e.barred == 0 {
							t.Error("the start was never carried out")
						}
					})
				}
			}
		}
	}
}

// The same holds when the leader that sent the start is gone and another one,
// which knows only what is durable, leads from some time on.
func TestLateStartOfFormerLeaderIsStopped(t *testing.T) {
	for standing, stand := range standings {
		for stops, fates := range stopFates {
			for _, order := range []struct{ started, ended, led time.Duration }{
				{2 * time.Second, 500 * time.Millisecond, time.Second},
				{2 * time.Second, time.Second, 500 * time.Millisecond},
				{2 * time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond},
				{2 * time.Second, 3 * time.Second, 2500 * time.Millisecond},
				{2 * time.Second, 3 * time.Second, 4 * time.Second},
				{12 * time.Second, 500 * time.Millisecond, time.Second},
				{12 * time.Second, 11 * time.Second, 11500 * time.Millisecond},
				{100 * time.Millisecond, 600 * time.Millisecond, 500 * time.Millisecond},
				{100 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond},
				{100 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond},
			} {
				name := fmt.Sprintf("%s/%s/started after %v, ended after %v, led after %v", standing, stops, order.started, order.ended, order.led)
				t.Run(name, func(t *testing.T) {
					p := newPlay(t, 1)
					p.startFate = fate{late: order.started}
					job := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
					p.loseStops = true
					p.cycleOnce()
					p.startFate = fate{}
					stand(p)
					p.after(order.led, p.lead)
					p.run(order.ended)
					p.loseStops = false
					p.stopFates = append([]fate(nil), fates...)
					p.cancel(job.ID)
					p.endsInTime(t, standing)
				})
			}
		}
	}
}

// endsInTime checks that whatever is at work is stopped in time. An executor
// that isn't registered can't be called by a leader that has never known it:
// there the lease, which nobody renews any more, ends what runs.
func (p *play) endsInTime(t *testing.T, standing string) {
	t.Helper()
	if standing != "unregistered" {
		p.endsWithin(t, stopWithin)
		return
	}
	p.until(time.Minute, func() bool { return p.epoch > 1 })
	p.endsWithin(t, p.cell.cfg.Lease)
}

// A run that was at work before its job was cancelled is stopped by a leader
// that finds neither the job nor the run in what it takes over, and by one
// that can reach the executor only later.
func TestNewLeaderStopsRunOfCancelledJob(t *testing.T) {
	for standing, stand := range standings {
		for stops, fates := range stopFates {
			for _, order := range []struct{ ended, led time.Duration }{
				{0, 700 * time.Millisecond},
				{500 * time.Millisecond, 500 * time.Millisecond},
				{800 * time.Millisecond, 700 * time.Millisecond},
				{3 * time.Second, 700 * time.Millisecond},
			} {
				t.Run(fmt.Sprintf("%s/%s/ended after %v, led after %v", standing, stops, order.ended, order.led), func(t *testing.T) {
					p := newPlay(t, 1)
					job := p.job(1, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(4), Estimate: time.Minute})
					p.cycleOnce()
					p.run(3 * time.Second)
					if n := len(p.executors["e0"].running); n != 3 {
						t.Fatalf("%d runs are at work, want 3", n)
					}
					stand(p)
					p.loseStops = true // of the former leader, which is about to end
					p.after(order.led, p.lead)
					p.run(order.ended)
					p.loseStops = false
					p.stopFates = append([]fate(nil), fates...)
					p.cancel(job.ID)
					p.endsInTime(t, standing)
				})
			}
		}
	}
}

// An executor that was out of reach for longer than its lease isn't forgotten:
// what starts there late is stopped when it can be reached again.
func TestLateStartAfterNetworkCutIsStopped(t *testing.T) {
	for standing, stand := range standings {
		for _, order := range []struct{ started, ended time.Duration }{
			{2 * time.Second, 500 * time.Millisecond},
			{8500 * time.Millisecond, 500 * time.Millisecond},
			{12 * time.Second, 500 * time.Millisecond},
			{12 * time.Second, 10 * time.Second},
		} {
			t.Run(fmt.Sprintf("%s/started after %v, ended after %v", standing, order.started, order.ended), func(t *testing.T) {
				p := newPlay(t, 1)
				p.run(2 * time.Second) // its lease runs
				p.startFate = fate{late: order.started}
				job := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
				p.cycleOnce()
				stand(p)
				p.executors["e0"].cut = true
				p.after(8*time.Second, func() { p.executors["e0"].cut = false })
				p.run(order.ended)
				p.cancel(job.ID)
				p.endsWithin(t, p.cell.cfg.Lease)
			})
		}
	}
}

// A stop that may not have been carried out is sent again without waiting for
// a report, which comes once a second and may itself be lost.
func TestUnansweredStopIsRepeated(t *testing.T) {
	for name, f := range map[string]fate{
		"lost":              {lost: true},
		"carried out late":  {late: 6 * time.Second},
		"refused as unwell": {refused: true},
	} {
		for _, c := range []struct{ stops, holds int }{{1, 1}, {4, 0}, {4, 1}} {
			t.Run(fmt.Sprintf("%s/%d stops and %d holds without effect", name, c.stops, c.holds), func(t *testing.T) {
				p := newPlay(t, 1)
				job := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
				p.cycleOnce()
				p.run(3 * time.Second)
				for range c.stops {
					p.stopFates = append(p.stopFates, f)
				}
				e := p.executors["e0"]
				e.mute = c.holds
				p.until(2*time.Second, func() bool { return e.mute == 0 })
				p.cancel(job.ID)
				p.endsWithin(t, stopWithin)
			})
		}
	}
}

// Stops are not repeated to an executor that gives no report either: it is
// asked for one first.
func TestStopsWaitForUnresponsiveExecutor(t *testing.T) {
	p := newPlay(t, 1)
	job := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
	p.cycleOnce()
	p.run(3 * time.Second)
	p.executors["e0"].cut = true
	p.run(p.cell.cfg.MaxReportAge)
	sent := p.stops
	p.cancel(job.ID)
	p.run(2 * time.Second)
	if n := p.stops - sent; n != 1 {
		t.Errorf("%d stops were sent to an executor that can't be reached, want 1", n)
	}
	p.executors["e0"].cut = false
	p.endsWithin(t, stopWithin)
}

// Wherever a run stands when its job is cancelled, it isn't started after that
// or it is stopped, and the stop is repeated as long as a report lists the run.
func TestCancelInEachAllocationState(t *testing.T) {
	sent := 0 // orders in the newest case
	nothing := func(*world, []Start) {}
	send := func(w *world, s []Start) { sent += len(w.cell.Confirm(s, w.now)) }
	answer := func(err error) func(*world, []Start) {
		return func(w *world, s []Start) { w.cell.HandleStartAnswer(s[0], err, w.now) }
	}
	sendAnd := func(then func(*world, []Start)) func(*world, []Start) {
		return func(w *world, s []Start) {
			send(w, s)
			then(w, s)
		}
	}
	for name, c := range map[string]struct {
		before func(*world, []Start) // what happens before the cancel
		after  func(*world, []Start) // and what after it
		orders int                   // that are sent in all
	}{
		"planned":                      {before: nothing, after: send, orders: 0},
		"sent, then confirmed":         {before: send, after: answer(nil), orders: 1},
		"sent, then without an answer": {before: send, after: answer(platform.ErrNoAnswer), orders: 1},
		"confirmed":                    {before: sendAnd(answer(nil)), after: nothing, orders: 1},
		"without an answer":            {before: sendAnd(answer(platform.ErrNoAnswer)), after: nothing, orders: 1},
		"inherited":                    {before: sendAnd(func(w *world, _ []Start) { w.takeOver() }), after: nothing, orders: 1},
		"inherited, at an address that is not known yet": {
			before: sendAnd(func(w *world, _ []Start) {
				listed := w.listed
				w.listed = nil
				w.takeOver()
				w.listed = listed
			}),
			after:  func(w *world, _ []Start) { w.cell.UpdateExecutors(w.listed, w.now) },
			orders: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			job := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
			sent = 0
			starts := w.cell.Plan(w.now)
			w.save()
			c.before(w, starts)
			w.cell.Cancel(job.ID)
			c.after(w, starts)
			if sent != c.orders {
				t.Fatalf("%d orders were sent, want %d", sent, c.orders)
			}
			if c.orders == 0 {
				w.report("e0", nil, nil)
			}
			stops := len(w.cell.TakeStops(w.now))
			for range 5 * c.orders {
				w.pass(time.Second)
				w.report("e0", running(starts[0].Run), nil)
				stops += len(w.cell.TakeStops(w.now))
			}
			if stops < 5*c.orders {
				t.Errorf("%d stops were sent over 5 reports that list the run", stops)
			}
			w.report("e0", nil, ended(1, starts[0].Run, platform.EndStopped))
			if v := w.cell.vms["e0"]; len(v.allocations) != 0 || v.used.MilliCPU != 0 {
				t.Errorf("%d runs hold room after the end", len(v.allocations))
			}
		})
	}
}

// The done end of one member of a gang counts for all. A member that is listed
// as at work all the same is stopped.
func TestRunningMemberOfDoneGangIsStopped(t *testing.T) {
	for name, steps := range map[string][]work.Step{
		"the job has ended":  {{TaskCount: 2, TaskResources: cpus(20), Estimate: time.Second, Gang: true}},
		"another step comes": {{TaskCount: 2, TaskResources: cpus(20), Estimate: time.Second, Gang: true}, {TaskCount: 1, TaskResources: cpus(40), DependsOn: []int{0}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(t, 2)
			job := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: p.now.UnixMilli(), Steps: steps}
			p.add(job)
			p.cycleOnce()
			p.run(2 * time.Second)
			for run := range p.executors["e0"].running {
				p.executors["e0"].stop(run, platform.EndDone)
			}
			p.endsWithin(t, stopWithin)
		})
	}
}
