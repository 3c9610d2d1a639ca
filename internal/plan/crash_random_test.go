package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Bounds of a random play with crashes.
const (
	crashSeeds    = 40
	crashTroubled = 40 * time.Second
	crashCalm     = 60 * time.Second
	crashBad      = 4 // one job in so many has a task that crashes its executors
	// crashesShown is how many executors have to have crashed under a task for its job to be
	// shown as failed.
	crashesShown = 2
)

// randomCrashes has jobs, some of which crash their executors, come while executors crash,
// are cut off, leaders change and the store is down.
type randomCrashes struct {
	*crashPlay
	rand *rand.Rand
	bad  map[work.ID]bool
}

func newRandomCrashes(t *testing.T, seed uint64) *randomCrashes {
	r := &randomCrashes{rand: rand.New(rand.NewPCG(seed, 3)), bad: make(map[work.ID]bool)}
	r.crashPlay = newCrashPlay(t, 8, func(k work.TaskKey) behaviour {
		b := behaviour{takes: time.Duration(200+150*(k.Index%6)) * time.Millisecond}
		if r.bad[k.Job] && k.Index == 0 {
			b.crashes = time.Duration(10+40*int64(k.Job[0]%5)) * time.Millisecond
		}
		return b
	})
	return r
}

func (r *randomCrashes) submit(n byte) {
	job := r.job(n, testQueue, work.Step{
		TaskCount: 1 + r.rand.IntN(8), TaskResources: cpus(1 + r.rand.Int64N(8)), Estimate: time.Second, Gang: r.rand.IntN(4) == 0,
	})
	r.bad[job.ID] = r.rand.IntN(crashBad) == 0
}

func (r *randomCrashes) trouble() {
	ids := r.ids()
	if len(ids) == 0 {
		return
	}
	e := r.executors[ids[r.rand.IntN(len(ids))]]
	lasts := time.Duration(500+r.rand.Int64N(4000)) * time.Millisecond
	switch r.rand.IntN(8) {
	case 0:
		r.crash(ids[r.rand.IntN(len(ids))])
	case 1:
		for _, id := range ids[:len(ids)/3] {
			r.crash(id)
		}
	case 2:
		r.cutOff(e, lasts)
	case 3:
		r.replaceLeader(lasts / 3)
	case 4:
		r.failStore(lasts)
	}
}

// checkEnds fails where a job hasn't ended, or is shown as failed without a cause.
func (r *randomCrashes) checkEnds(t *testing.T) {
	for id := range r.stored {
		state := r.state(id)
		if !state.Final() {
			t.Errorf("job %v (crashes its executors: %t) is %v", id, r.bad[id], state)
		}
		if state != work.Failed {
			continue
		}
		most := 0
		for task, crashes := range r.crashes {
			if task.Job == id {
				most = max(most, len(crashes))
			}
		}
		if most < crashesShown {
			t.Errorf("job %v is shown as failed after %d crashes under one task", id, most)
		}
	}
}

func TestRandomCrashes(t *testing.T) {
	for seed := range uint64(crashSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := newRandomCrashes(t, seed)
			for _, e := range r.executors {
				e.strict = true
			}
			began, next, n := r.now, r.now, byte(0)
			for r.now.Sub(began) < crashTroubled+crashCalm {
				if !r.now.Before(next) && r.now.Sub(began) < crashTroubled {
					n++
					r.submit(n)
					r.trouble()
					next = r.now.Add(time.Duration(300+r.rand.Int64N(700)) * time.Millisecond)
				}
				r.runFor(playStep)
				if wrong := r.twice(); wrong != "" {
					t.Fatalf("after %v: %s", r.now.Sub(began), wrong)
				}
			}
			r.checkBudget()
			r.checkEnds(t)
		})
	}
}
