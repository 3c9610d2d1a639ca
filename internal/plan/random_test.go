package plan

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Bounds of a random play.
const (
	randomSeeds = 60
	troubled    = 20 * time.Second // for which troubles come
	settling    = 3 * time.Second  // after the last of them, when bounds begin to hold
	calm        = 30 * time.Second // for which the play goes on after that
)

// tellingSeeds are played too: without the lease that is counted from an
// executor's first report, tasks run twice in them.
var tellingSeeds = []uint64{231, 301, 406}

// randomPlay has jobs come, end and be cancelled while leaders change, the store
// is down and executors are cut off, drop out of the registry, start late and
// lose stops.
type randomPlay struct {
	*play
	rand       *rand.Rand
	ids        []string
	over       map[work.ID]time.Time // when jobs were durably seen to have ended
	since      map[platform.Run]time.Time
	calmFrom   time.Time
	leaderless bool
	strict     bool // executors refuse starts that come after their own end
}

func newRandomPlay(t *testing.T, seed uint64, strict bool) *randomPlay {
	p := &randomPlay{
		play:  newPlay(t, 3),
		rand:  rand.New(rand.NewPCG(seed, 0)),
		ids:   []string{"e0", "e1", "e2"},
		over:  make(map[work.ID]time.Time),
		since: make(map[platform.Run]time.Time),
	}
	for _, e := range p.executors {
		e.strict = strict
	}
	p.strict = strict
	p.calmFrom = p.now.Add(troubled + settling)
	return p
}

func (p *randomPlay) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rand.Int64N(int64(high-low)))
}

func (p *randomPlay) chance(share float64) bool { return p.rand.Float64() < share }

// lasting has a trouble end after a time to come.
func (p *randomPlay) lasting(d time.Duration, end func()) {
	p.after(d, end)
	if calm := p.now.Add(d + settling); calm.After(p.calmFrom) {
		p.calmFrom = calm
	}
}

// trouble has one thing happen.
func (p *randomPlay) trouble(n byte) {
	id := p.ids[p.rand.IntN(len(p.ids))]
	e := p.executors[id]
	switch p.rand.IntN(7) {
	case 0:
		e.cut = true
		p.lasting(p.between(500*time.Millisecond, 8*time.Second), func() { e.cut = false })
	case 1:
		p.register(p.others(id)...)
		p.lasting(p.between(500*time.Millisecond, 5*time.Second), func() { p.register(p.ids...) })
	case 2:
		if !p.leaderless {
			p.leaderless = true
			p.lasting(p.between(100*time.Millisecond, 1500*time.Millisecond), func() {
				p.leaderless = false
				p.lead()
				if p.chance(0.3) {
					p.loseStore()
				}
			})
		}
	case 3:
		p.loseStore()
	default:
		tasks := 1 + p.rand.IntN(4)
		job := p.job(n, testQueue, work.Step{TaskCount: tasks, TaskResources: cpus(4), Estimate: time.Minute, Gang: p.chance(0.3)})
		p.after(p.between(0, 8*time.Second), func() { p.cancel(job.ID) })
	}
}

func (p *randomPlay) loseStore() {
	if !p.noStore {
		p.noStore = true
		p.lasting(p.between(500*time.Millisecond, 6*time.Second), func() { p.noStore = false })
	}
}

func (p *randomPlay) others(id string) []string {
	var others []string
	for _, o := range p.ids {
		if o != id {
			others = append(others, o)
		}
	}
	return others
}

// draw sets what becomes of the next orders.
func (p *randomPlay) draw() {
	p.startFate, p.stopFates = fate{}, nil
	if p.now.Sub(testStart) > troubled {
		return
	}
	if p.chance(0.2) {
		p.startFate = fate{late: p.between(100*time.Millisecond, 12*time.Second)}
	}
	for range 4 {
		switch {
		case p.chance(0.2):
			p.stopFates = append(p.stopFates, fate{lost: true})
		case p.chance(0.2):
			p.stopFates = append(p.stopFates, fate{late: p.between(2*time.Second, 12*time.Second)})
		default:
			p.stopFates = append(p.stopFates, fate{})
		}
	}
}

// endSome has runs end by themselves now and then.
func (p *randomPlay) endSome() {
	const share = 0.002 // of the runs in each step, so that one takes 5 s
	for _, id := range p.ids {
		e := p.executors[id]
		runs := slices.SortedFunc(maps.Keys(e.running), func(a, b platform.Run) int {
			return strings.Compare(a.Task.String(), b.Task.String())
		})
		for _, run := range runs {
			how := platform.EndDone
			if p.chance(0.3) {
				how = platform.EndFailed
			}
			if p.chance(share) {
				e.stop(run, how)
			}
		}
	}
}

// note takes in which jobs have durably ended.
func (p *randomPlay) note() {
	for id, progress := range p.saved {
		if _, known := p.over[id]; !known && progress.State.Final() {
			p.over[id] = p.now
		}
	}
}

// check returns what is wrong now, if anything.
func (p *randomPlay) check() string {
	at := make(map[work.TaskKey]string)
	here := make(map[platform.Run]time.Time)
	for id, e := range p.executors {
		for run := range e.running {
			if other := at[run.Task]; other != "" && p.strict {
				return fmt.Sprintf("task %v is at work on %s and %s", run.Task, other, id)
			}
			at[run.Task] = id
			here[run] = p.since[run]
			if here[run].IsZero() {
				here[run] = p.now
			}
			ended, known := p.over[run.Task.Job]
			if !known {
				continue
			}
			from := here[run]
			for _, later := range []time.Time{ended, p.calmFrom} {
				if later.After(from) {
					from = later
				}
			}
			if p.now.Sub(from) > stopWithin {
				return fmt.Sprintf("run %d of %v on %s is at work %v after it has to be stopped", run.Number, run.Task, id, p.now.Sub(from))
			}
		}
	}
	p.since = here
	return ""
}

// Under any mix of troubles no task runs twice at once, and once they are over
// whatever is at work of a job that has ended is stopped in time. The latter is
// played too where executors carry out starts that are void.
func TestRandomFaults(t *testing.T) {
	for _, seed := range tellingSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playTroubles(t, seed, true) })
	}
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playTroubles(t, seed, true) })
		t.Run(fmt.Sprintf("%d with void starts", seed), func(t *testing.T) { playTroubles(t, seed, false) })
	}
}

func playTroubles(t *testing.T, seed uint64, strict bool) {
	p := newRandomPlay(t, seed, strict)
	began := p.now
	next, n := p.now, byte(0)
	for p.now.Sub(began) < troubled+settling+calm {
		if !p.now.Before(next) && p.now.Sub(began) < troubled {
			n++
			p.trouble(n)
			next = p.now.Add(p.between(100*time.Millisecond, time.Second))
		}
		p.draw()
		p.paused = p.leaderless
		p.step()
		p.endSome()
		p.note()
		if wrong := p.check(); wrong != "" {
			t.Fatalf("after %v: %s", p.now.Sub(began), wrong)
		}
	}
	for id, v := range p.cell.vms {
		if len(v.allocations) != 0 {
			t.Errorf("executor %s still holds room for %d runs", id, len(v.allocations))
		}
	}
}
