package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// stopWithin is how long after a cancel was acknowledged nothing of its job may
// be at work any more: what the platform allows from then on (3 s) and for a
// stop (0.2 s).
const stopWithin = 3200 * time.Millisecond

// A run of a cancelled job is stopped whatever the registry says of its
// executor, also when the first stops have no effect.
func TestRunOfCancelledJobIsStopped(t *testing.T) {
	for _, state := range []string{"ready", "draining", ""} {
		for _, lost := range []int{0, 2, 4} {
			for _, late := range []time.Duration{0, 2 * time.Second, 12 * time.Second} {
				t.Run(fmt.Sprintf("registered as %q/%d stops lost/started after %v", state, lost, late), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newCellPlay(t)
						p.register("ready")
						p.lead()
						p.executor.faults(late, 100) // stops of starts without an answer
						id := p.submit(1)
						time.Sleep(500 * time.Millisecond)
						p.register(state)
						p.cancel(id)
						time.Sleep(max(0, late-400*time.Millisecond))
						p.executor.faults(0, lost)
						p.mustRun()
						p.idleWithin(stopWithin)
						p.stop()
					})
				})
			}
		}
	}
}

// A leader that takes over finds runs of jobs that were cancelled before, and
// starts of its predecessor that are carried out late.
func TestNewLeaderStopsRunsOfCancelledJobs(t *testing.T) {
	for _, c := range []struct {
		name                  string
		late, cancelled, lead time.Duration
	}{
		{"at work, cancelled without a leader", 0, 500 * time.Millisecond, time.Second},
		{"at work, cancelled after the takeover", 0, 1500 * time.Millisecond, time.Second},
		{"started late without a leader", 700 * time.Millisecond, 500 * time.Millisecond, time.Second},
		{"started late without a leader, cancelled later", 700 * time.Millisecond, 1500 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCellPlay(t)
				p.register("ready")
				p.lead()
				p.executor.faults(c.late, 1)
				id := p.submit(1)
				time.Sleep(300 * time.Millisecond)
				p.stop()
				p.stop = func() {}
				time.AfterFunc(c.cancelled-300*time.Millisecond, func() { p.cancel(id) })
				time.Sleep(c.lead - 300*time.Millisecond - time.Millisecond)
				p.mustRun()
				p.lead()
				time.Sleep(max(0, c.cancelled-c.lead))
				p.idleWithin(stopWithin)
				p.stop()
			})
		})
	}
}

// While the store takes no appends, a cycle waits for it. What needs no durable
// record is done all the same: runs of cancelled jobs are stopped, and
// executors that register are called.
func TestStopsDoNotWaitForStore(t *testing.T) {
	for name, late := range map[string]time.Duration{
		"cancelled while at work": 0,
		"started late":            3 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCellPlay(t)
				p.register("ready")
				p.lead()
				p.executor.faults(late, 1) // the stop of a start without an answer
				id := p.submit(1)
				time.Sleep(400 * time.Millisecond)
				p.executor.faults(0, 0)
				p.store.stick(true)
				p.submit(2) // its append isn't done
				time.Sleep(100 * time.Millisecond)
				p.cancel(id)
				time.Sleep(max(0, late-400*time.Millisecond))
				p.mustRun()
				p.idleWithin(stopWithin)
				p.stop()
			})
		})
	}
}

func TestExecutorsAreHeldWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCellPlay(t)
		p.lead()
		p.store.stick(true)
		p.submit(1)
		time.Sleep(100 * time.Millisecond)
		p.register("ready")
		time.Sleep(2 * registryPace)
		if _, holds := p.executor.atWork(); holds == 0 {
			t.Error("the executor wasn't called after it had registered")
		}
		p.stop()
	})
}

// A cancel may be read before the submission of its job, as when the newest
// records are read anew: they come ordered by key. The leader may have planned
// the job by then, which was handed to it.
func TestCancelReadBeforeSubmissionTakesEffect(t *testing.T) {
	for name, planned := range map[string]time.Duration{
		"the job was planned before": 100 * time.Millisecond,
		"the job is planned after":   0,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCellPlay(t)
				p.register("ready")
				p.lead()
				p.store.stick(true) // the submission isn't applied yet
				id := p.submit(1)
				time.Sleep(planned)
				cancel := platform.Record{Key: work.Key(work.KindCancellation, id), Value: work.CancellationValue}
				p.replica.ApplyRecords(p.replica.Position(), []platform.Record{cancel}, time.Now())
				p.store.put(playJobs, cancel.Key, string(cancel.Value))
				time.Sleep(100 * time.Millisecond)
				p.store.stick(false)
				time.Sleep(2 * time.Second)
				if runs, _ := p.executor.atWork(); runs != 0 {
					t.Error("a job that was cancelled before its submission was read is at work")
				}
				if e, _ := p.replica.Get(id); e.State() != work.Cancelled {
					t.Errorf("the job is shown as %v", e.State())
				}
				p.stop()
			})
		})
	}
}

// A report is asked for at once after a hold without an answer: what has
// started meanwhile is not known otherwise until another wait for an end is
// over. The hold that is lost begins up to a second before the start.
func TestLateStartIsReportedAfterLostHold(t *testing.T) {
	const late = 3 * time.Second
	for before := 100 * time.Millisecond; before <= time.Second; before += 100 * time.Millisecond {
		for _, stops := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("holds are lost from %v before the start, %d stops", before, stops), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newCellPlay(t)
					p.register("ready")
					p.lead()
					p.executor.faults(late, 1) // the stop of the start without an answer
					id := p.submit(1)
					time.Sleep(500 * time.Millisecond)
					p.cancel(id)
					time.Sleep(late - 500*time.Millisecond - before)
					p.executor.faults(0, stops)
					p.executor.loseNextHold()
					time.Sleep(before + 100*time.Millisecond)
					p.mustRun()
					p.idleWithin(stopWithin - 100*time.Millisecond)
					p.stop()
				})
			})
		}
	}
}
