package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Parameters of the random simulation with crashes.
const (
	crashSeeds       = 40
	crashFaultPeriod = 40 * time.Second
	crashCalmPeriod  = 60 * time.Second
	crashingJobRatio = 4 // one job in this many has a task that crashes its executors
	// minCrashesOfFailedJob is how many executors must have crashed under a task before its
	// job may be recorded as failed.
	minCrashesOfFailedJob = 2
)

// randomCrashes submits jobs, some of which crash their executors, while executors crash or
// are cut off, leaders change and the store is down.
type randomCrashes struct {
	*crashSimulation
	rand         *rand.Rand
	crashingJobs map[work.ID]bool
}

func newRandomCrashes(t *testing.T, seed uint64) *randomCrashes {
	r := &randomCrashes{rand: rand.New(rand.NewPCG(seed, 3)), crashingJobs: make(map[work.ID]bool)}
	r.crashSimulation = newCrashSimulation(t, 8, func(k work.TaskKey) behaviour {
		b := behaviour{runTime: time.Duration(200+150*(k.Index%6)) * time.Millisecond}
		if r.crashingJobs[k.Job] && k.Index == 0 {
			b.crashAfter = time.Duration(10+40*int64(k.Job[0]%5)) * time.Millisecond
		}
		return b
	})
	return r
}

// submitRandomJob submits a job of random size that may crash its executors.
func (r *randomCrashes) submitRandomJob(n byte) {
	job := r.submitJob(n, testQueue, work.Step{
		TaskCount: 1 + r.rand.IntN(8), TaskResources: cpus(1 + r.rand.Int64N(8)), Estimate: time.Second, Gang: r.rand.IntN(4) == 0,
	})
	r.crashingJobs[job.ID] = r.rand.IntN(crashingJobRatio) == 0
}

// injectFault causes a random fault, or none.
func (r *randomCrashes) injectFault() {
	ids := r.liveIDs()
	if len(ids) == 0 {
		return
	}
	e := r.executors[ids[r.rand.IntN(len(ids))]]
	duration := time.Duration(500+r.rand.Int64N(4000)) * time.Millisecond
	switch r.rand.IntN(8) {
	case 0:
		r.crash(ids[r.rand.IntN(len(ids))])
	case 1:
		for _, id := range ids[:len(ids)/3] {
			r.crash(id)
		}
	case 2:
		r.cutOffFor(e, duration)
	case 3:
		r.replaceLeaderAfter(duration / 3)
	case 4:
		r.failStoreFor(duration)
	}
}

// checkOutcomes fails the test if a job hasn't ended, or has failed without enough crashes
// under one of its tasks.
func (r *randomCrashes) checkOutcomes(t *testing.T) {
	for id := range r.submittedJobs {
		state := r.durableState(id)
		if !state.Final() {
			t.Errorf("job %v (crashes its executors: %t) is %v", id, r.crashingJobs[id], state)
		}
		if state != work.Failed {
			continue
		}
		maxCrashes := 0
		for task, crashes := range r.crashTimes {
			if task.Job == id {
				maxCrashes = max(maxCrashes, len(crashes))
			}
		}
		if maxCrashes < minCrashesOfFailedJob {
			t.Errorf("job %v failed after only %d crashes under one task", id, maxCrashes)
		}
	}
}

// No task may run on two executors at once, however many executors crash, and a task that
// crashes its executors must neither be restarted without limit nor fail other jobs.
func TestRandomCrashes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := newRandomCrashes(t, seed)
			for _, e := range r.executors {
				e.refusesVoidStarts = true
			}
			startedAt, nextFault, n := r.now, r.now, byte(0)
			for r.now.Sub(startedAt) < crashFaultPeriod+crashCalmPeriod {
				if !r.now.Before(nextFault) && r.now.Sub(startedAt) < crashFaultPeriod {
					n++
					r.submitRandomJob(n)
					r.injectFault()
					nextFault = r.now.Add(time.Duration(300+r.rand.Int64N(700)) * time.Millisecond)
				}
				r.runFor(simulationStep)
				if violation := r.findDuplicateRun(); violation != "" {
					t.Fatalf("after %v: %s", r.now.Sub(startedAt), violation)
				}
			}
			r.checkLaterStarts()
			r.checkOutcomes(t)
		})
	}
}
