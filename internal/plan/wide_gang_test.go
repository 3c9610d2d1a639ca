package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A gang that needs most of the executors starts in time to be of use, however many narrow gangs with
// tight objectives keep coming. They fill what becomes free in small parts, and reservations alone
// let them: they end before the wide gang could start, and a late gang comes after those in time.
func TestWideGangStartsBesideNarrowOnes(t *testing.T) {
	const (
		executors  = 8
		narrowTime = 900 * time.Millisecond
		wideTime   = 4 * time.Second
	)
	env := newTestEnv(t, executors)
	ends := make(map[platform.Run]time.Time)
	onExecutor := make(map[platform.Run]string)
	reported := make(map[string]uint64)
	var wide work.ID
	wideStarted := time.Time{}
	arrival := testStart.Add(time.Second)
	for n := byte(2); env.now.Sub(arrival) < overdueFactor*(2*wideTime+time.Second); {
		if wide == (work.ID{}) && !env.now.Before(arrival) {
			wide = env.submitJob(1, testQueue, work.Step{TaskCount: 2 * (executors - 1), TaskResources: cpus(16), Estimate: wideTime, Gang: true}).ID
		}
		for waiting := len(env.cell.waitingSteps); waiting < 6; waiting++ {
			// The numbers of jobs that have ended are used again.
			delete(env.submittedJobs, work.ID{n})
			env.cell.ForgetJobs([]work.ID{{n}})
			env.submitJob(n, testQueue, work.Step{TaskCount: 5, TaskResources: cpus(16), Estimate: narrowTime, Gang: true})
			n = max(2, n+1)
		}
		orders := env.runCycle()
		env.confirmStarts(orders)
		for _, o := range orders {
			duration := narrowTime
			if o.Order.Run.Task.Job == wide {
				duration = wideTime
				wideStarted = env.now
			}
			ends[o.Order.Run] = env.now.Add(duration)
			onExecutor[o.Order.Run] = o.Start.To.ID
		}
		if !wideStarted.IsZero() {
			break
		}
		env.advance(50 * time.Millisecond)
		for run, at := range ends {
			if env.now.Before(at) {
				continue
			}
			id := onExecutor[run]
			reported[id]++
			var others []platform.Run
			for other := range ends {
				if other != run && onExecutor[other] == id {
					others = append(others, other)
				}
			}
			delete(ends, run)
			env.report(id, running(others...), ended(reported[id], run, platform.EndDone))
		}
		for id := range env.registry {
			var runs []platform.Run
			for run := range ends {
				if onExecutor[run] == id {
					runs = append(runs, run)
				}
			}
			env.report(id, running(runs...), nil)
		}
	}
	if wideStarted.IsZero() {
		t.Fatalf("the wide gang has not started after %v", env.now.Sub(arrival))
	}
}
