package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// stopDeadline is the time after an acknowledged cancellation at which no run of the job may be
// running: what the platform allows (3 s) and the time of a stop (0.2 s).
const stopDeadline = 3200 * time.Millisecond

// A run of a cancelled job is stopped whatever the registry says about its executor, even if the
// first stops have no effect.
func TestRunOfCancelledJobIsStopped(t *testing.T) {
	for _, state := range []string{"ready", "draining", ""} {
		for _, stopsLost := range []int{0, 2, 4} {
			for _, startDelay := range []time.Duration{0, 2 * time.Second, 12 * time.Second} {
				t.Run(fmt.Sprintf("registered as %q/%d stops lost/started after %v", state, stopsLost, startDelay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newTestCell(t)
						p.register("ready")
						p.takeOver()
						p.executor.setFaults(startDelay, 100) // loses the stops sent for a start without an answer
						id := p.submit(1)
						time.Sleep(500 * time.Millisecond)
						p.register(state)
						p.cancel(id)
						time.Sleep(max(0, startDelay-400*time.Millisecond))
						p.executor.setFaults(0, stopsLost)
						p.requireOneRun()
						p.requireIdleAfter(stopDeadline)
						p.stop()
					})
				})
			}
		}
	}
}

// A new leader finds runs of jobs that were cancelled before, and starts of its predecessor that
// are carried out late. It must stop these runs in time too.
func TestNewLeaderStopsRunsOfCancelledJobs(t *testing.T) {
	for _, c := range []struct {
		name                            string
		startDelay, cancelled, takeOver time.Duration
	}{
		{"running, cancelled without a leader", 0, 500 * time.Millisecond, time.Second},
		{"running, cancelled after the takeover", 0, 1500 * time.Millisecond, time.Second},
		{"started late without a leader", 700 * time.Millisecond, 500 * time.Millisecond, time.Second},
		{"started late without a leader, cancelled later", 700 * time.Millisecond, 1500 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestCell(t)
				p.register("ready")
				p.takeOver()
				p.executor.setFaults(c.startDelay, 1)
				id := p.submit(1)
				time.Sleep(300 * time.Millisecond)
				p.stop()
				p.stop = func() {}
				time.AfterFunc(c.cancelled-300*time.Millisecond, func() { p.cancel(id) })
				time.Sleep(c.takeOver - 300*time.Millisecond - time.Millisecond)
				p.requireOneRun()
				p.takeOver()
				time.Sleep(max(0, c.cancelled-c.takeOver))
				p.requireIdleAfter(stopDeadline)
				p.stop()
			})
		})
	}
}

// A cycle waits while the store accepts no appends. What needs no durable record continues: runs of
// cancelled jobs are stopped, and newly registered executors are called.
func TestStopsDoNotWaitForStore(t *testing.T) {
	for name, startDelay := range map[string]time.Duration{
		"cancelled while running": 0,
		"started late":            3 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestCell(t)
				p.register("ready")
				p.takeOver()
				p.executor.setFaults(startDelay, 1) // loses the stop sent for a start without an answer
				id := p.submit(1)
				time.Sleep(400 * time.Millisecond)
				p.executor.setFaults(0, 0)
				p.store.setStalled(true)
				p.submit(2) // its append is not applied
				time.Sleep(100 * time.Millisecond)
				p.cancel(id)
				time.Sleep(max(0, startDelay-400*time.Millisecond))
				p.requireOneRun()
				p.requireIdleAfter(stopDeadline)
				p.stop()
			})
		})
	}
}

func TestExecutorsAreHeldWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.takeOver()
		p.store.setStalled(true)
		p.submit(1)
		time.Sleep(100 * time.Millisecond)
		p.register("ready")
		time.Sleep(2 * registryInterval)
		if _, holds := p.executor.runsAndHolds(); holds == 0 {
			t.Error("the executor was not called after it had registered")
		}
		p.stop()
	})
}

// A cancellation may be read before the submission of its job, for example when the newest records
// are read again, ordered by key. By then the leader may already have planned the job, because the
// job was submitted to it.
func TestCancelReadBeforeSubmissionTakesEffect(t *testing.T) {
	for name, beforeCancel := range map[string]time.Duration{
		"the job is planned before": 100 * time.Millisecond,
		"the job is planned after":  0,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestCell(t)
				p.register("ready")
				p.takeOver()
				p.store.setStalled(true) // the submission is not applied yet
				id := p.submit(1)
				time.Sleep(beforeCancel)
				record := platform.Record{Key: work.Key(work.KindCancellation, id), Value: work.CancellationValue}
				p.replica.ApplyRecords(p.replica.Position(), []platform.Record{record}, time.Now())
				p.store.put(jobsPartition, record.Key, string(record.Value))
				time.Sleep(100 * time.Millisecond)
				p.store.setStalled(false)
				time.Sleep(2 * time.Second)
				if runs, _ := p.executor.runsAndHolds(); runs != 0 {
					t.Error("a run of a job whose cancellation was read before its submission is running")
				}
				if e, _ := p.replica.Get(id); e.State() != work.Cancelled {
					t.Errorf("job state is %v, want Cancelled", e.State())
				}
				p.stop()
			})
		})
	}
}

// After a hold without an answer the next hold must ask for a report immediately. Otherwise a run
// that started in the meantime is reported only after another full wait for the end of a run. The
// lost hold begins up to a second before the start.
func TestLateStartIsReportedAfterLostHold(t *testing.T) {
	const startDelay = 3 * time.Second
	for before := 100 * time.Millisecond; before <= time.Second; before += 100 * time.Millisecond {
		for _, stopsLost := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("hold lost from %v before the start, %d stops lost", before, stopsLost), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newTestCell(t)
					p.register("ready")
					p.takeOver()
					p.executor.setFaults(startDelay, 1) // loses the stop sent for the start without an answer
					id := p.submit(1)
					time.Sleep(500 * time.Millisecond)
					p.cancel(id)
					time.Sleep(startDelay - 500*time.Millisecond - before)
					p.executor.setFaults(0, stopsLost)
					p.executor.loseNextHold()
					time.Sleep(before + 100*time.Millisecond)
					p.requireOneRun()
					p.requireIdleAfter(stopDeadline - 100*time.Millisecond)
					p.stop()
				})
			})
		}
	}
}
