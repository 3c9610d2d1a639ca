package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// stopWithin is how long after a cancel was acknowledged nothing of its job may
// be at work any more: what the platform allows from then on (3 s) and for a
// stop (0.2 s).
const stopWithin = 3200 * time.Millisecond

// A run of a cancelled job is stopped whatever the registry says of its
// executor, also when the first stops have no effect.
func TestRunOfACancelledJobIsStopped(t *testing.T) {
	for _, state := range []string{"ready", "draining", ""} {
		for _, lost := range []int{0, 2, 4} {
			for _, late := range []time.Duration{0, 2 * time.Second, 12 * time.Second} {
				t.Run(fmt.Sprintf("registered as %q/%d stops lost/started after %v", state, lost, late), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newCellPlay(t)
						p.register("ready")
						p.lead()
						p.executor.lateStart = late
						p.executor.loseStops = 100 // of starts without an answer
						id := p.submit(1)
						time.Sleep(500 * time.Millisecond)
						p.register(state)
						p.cancel(id)
						time.Sleep(max(0, late-400*time.Millisecond))
						p.executor.mu.Lock()
						p.executor.loseStops = lost
						p.executor.mu.Unlock()
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
				p.executor.lateStart = c.late
				p.executor.loseStops = 1
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
