package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// capGrace is how long after a cap was lowered an order that was sent before may still be carried out.
const capGrace = 13 * time.Second

// randomCaps is a random simulation whose jobs belong to a workspace with a changing cap.
type randomCaps struct {
	*randomSimulation
	caps    []capChange
	running int // tasks of the workspace that ran after the last step
}

type capChange struct {
	at   time.Time
	cpus int64
}

// adoptJobs takes the jobs that the simulation itself submits out of the plan: only those of the
// workspace are counted.
func (r *randomCaps) adoptJobs() {
	for id, j := range r.submittedJobs {
		if j.Workspace == 0 && r.savedProgress[id] == nil {
			r.cancelJob(id)
		}
	}
}

// changeCap draws a new cap: far below what runs, above it, or none because the workspace is removed.
func (r *randomCaps) changeCap() {
	cpus := []int64{8, 12, 24, 40}[r.rand.IntN(4)]
	if r.chance(0.1) {
		cpus = 0
	}
	r.setWorkspaces(cpus, 0)
	if cpus > 0 { // a workspace that was removed keeps its cap
		r.caps = append(r.caps, capChange{r.now, cpus})
	}
}

// highestCap returns the highest cap that may have been in force when an order was sent that is carried
// out now.
func (r *randomCaps) highestCap() int64 {
	highest := int64(0)
	for i, c := range r.caps {
		replaced := i+1 < len(r.caps) && r.now.Sub(r.caps[i+1].at) > capGrace
		if !replaced {
			highest = max(highest, c.cpus)
		}
	}
	return highest
}

// findExcess describes starts that took the workspace above its cap, or returns "".
func (r *randomCaps) findExcess() string {
	used, running := int64(0), 0
	for _, e := range r.executors {
		for run := range e.running {
			used += r.submittedJobs[run.Task.Job].Steps[run.Task.Step].TaskResources.MilliCPU / 1000
			running++
		}
	}
	started := running > r.running
	r.running = running
	if limit := r.highestCap(); started && used > limit {
		return fmt.Sprintf("a start brings %d processors in use with a cap of %d", used, limit)
	}
	return ""
}

// Whatever is lost, late, cut off or taken over, no start takes a workspace above its cap: leaders change
// while a cap is full, orders are carried out seconds later, executors are cut off and come back, caps are
// raised and lowered, and the workspace is removed and comes back.
func TestRandomCaps(t *testing.T) {
	t.Parallel()
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &randomCaps{randomSimulation: newRandomSimulation(t, seed, true)}
			r.setWorkspaces(12, 0)
			r.caps = []capChange{{r.now, 12}}
			startedAt, nextFault, nextCap := r.now, r.now, r.now.Add(time.Second)
			for n := byte(1); r.now.Sub(startedAt) < faultPeriod+capGrace; {
				if !r.now.Before(nextFault) && r.now.Sub(startedAt) < faultPeriod {
					r.injectFault(2 * n)
					r.adoptJobs()
					if r.rand.IntN(2) == 0 {
						step := work.Step{TaskCount: 1 + r.rand.IntN(4), TaskResources: api.Resources{MilliCPU: 1000 * (1 + r.rand.Int64N(4))}, Estimate: time.Minute, Gang: r.chance(0.3)}
						job := r.submitIn(cappedWorkspace, 2*n+1, step)
						r.after(r.randomDuration(0, 8*time.Second), func() { r.cancelJob(job.ID) })
					}
					n++
					nextFault = r.now.Add(r.randomDuration(100*time.Millisecond, time.Second))
				}
				if !r.now.Before(nextCap) {
					r.changeCap()
					nextCap = r.now.Add(r.randomDuration(200*time.Millisecond, 3*time.Second))
				}
				r.drawDeliveryFaults()
				r.hasNoLeader = r.leaderless
				r.step()
				r.endSomeRuns()
				if excess := r.findExcess(); excess != "" {
					t.Fatalf("after %v: %s", r.now.Sub(startedAt), excess)
				}
			}
		})
	}
}
