package plan

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Timing of executors that crash.
const (
	crashedFor    = 3 * time.Second         // until the next life answers at the address
	recordLapses  = 4500 * time.Millisecond // until the registry drops a life that has crashed
	crashesAtOnce = 10 * time.Millisecond   // from the start of a task that crashes its executor
)

// answerOfCrashed returns what a call to an executor that isn't there ends with.
func (p *play) answerOfCrashed(to platform.ExecutorRef) error {
	for id := range p.executors {
		if e := p.listed[id]; e != nil && e.Ref.Address == to.Address {
			return &platform.RefusedError{Reason: platform.RefusedOtherIncarnation}
		}
	}
	return platform.ErrNotReached
}

// holdCrashed plays the loops that renew the leases of executors that aren't there.
func (p *play) holdCrashed() {
	for _, id := range slices.Sorted(maps.Keys(p.holds)) {
		h := p.holds[id]
		if p.executors[id] != nil || p.paused || p.now.Before(h.again) {
			continue
		}
		if !h.asked.IsZero() {
			p.awaitNoReport(h)
			continue
		}
		hold, wanted := p.cell.NextHold(id, HoldTerms{Renew: !p.noStore})
		if !wanted {
			delete(p.holds, id)
			continue
		}
		if p.answerOfCrashed(hold.To) == platform.ErrNotReached {
			p.cell.HandleNoReport(hold, p.now)
			*h = call{again: p.now.Add(playHoldRetry)}
			continue
		}
		p.cell.HandleExecutorLoss(hold.To, OtherIncarnation, p.now)
		delete(p.holds, id)
	}
}

// behaviour is what becomes of a task's runs.
type behaviour struct {
	crashes time.Duration // it takes its executor down after that; 0: never
	takes   time.Duration // it ends after that
	fails   bool          // and then it has failed
}

// crashPlay has tasks take their executors down.
type crashPlay struct {
	*play
	behaves   func(t work.TaskKey) behaviour
	began     map[platform.Run]time.Time
	starts    map[work.TaskKey][]time.Time
	crashes   map[work.TaskKey][]time.Time // of executors, under each task
	lives     int
	lost      int            // executors
	lostOf    map[string]int // executors, by id
	everyLife []*playedExecutor
	away      time.Duration // of an executor between two lives
	sameID    bool          // the next life has the id of the one before
}

func newCrashPlay(t *testing.T, executors int, behaves func(work.TaskKey) behaviour) *crashPlay {
	p := &crashPlay{
		play:    newPlay(t, executors),
		away:    crashedFor,
		behaves: behaves,
		began:   make(map[platform.Run]time.Time),
		starts:  make(map[work.TaskKey][]time.Time),
		crashes: make(map[work.TaskKey][]time.Time),
		lostOf:  make(map[string]int),
	}
	for _, id := range p.ids() {
		p.everyLife = append(p.everyLife, p.executors[id])
	}
	return p
}

// reuseIDs has executors that crash start again under their ids, after a time.
func (p *crashPlay) reuseIDs(away time.Duration) {
	p.sameID, p.away = true, away
	for i, id := range p.ids() {
		p.executors[id].born = p.now.UnixMilli() - int64(i)
		p.listed[id].Ref.StartTimeMs = p.executors[id].born
	}
	p.list(p.listed)
}

// crash ends the life of an executor; the next one follows at its address.
func (p *crashPlay) crash(id string) {
	e := p.executors[id]
	if e == nil {
		return
	}
	p.lost++
	p.lostOf[id]++
	for run := range e.running {
		p.crashes[run.Task] = append(p.crashes[run.Task], p.now)
	}
	delete(p.executors, id)
	for run := range e.running {
		p.breakGang(run)
	}
	if h := p.holds[id]; h != nil {
		*h = call{again: p.now}
	}
	record := *p.listed[id]
	p.after(p.away, func() { p.revive(record) })
	if !p.sameID {
		p.after(recordLapses, func() { p.unlist(id) })
	}
}

// breakGang has the other members of a gang's run end, as executors do by themselves.
func (p *crashPlay) breakGang(lost platform.Run) {
	if !p.stored[lost.Task.Job].Steps[lost.Task.Step].Gang {
		return
	}
	for _, e := range p.executors {
		for run := range e.running {
			if run.Task.StepKey == lost.Task.StepKey {
				e.stop(run, platform.EndGangBroken)
			}
		}
	}
}

func (p *crashPlay) revive(record fleet.Executor) {
	p.lives++
	if p.sameID {
		p.startAgain(record)
		return
	}
	record.Ref.ID = fmt.Sprintf("life%d", p.lives)
	p.executors[record.Ref.ID] = p.newPlayedExecutor(0)
	listed := maps.Clone(p.listed)
	listed[record.Ref.ID] = &record
	p.list(listed)
}

// startAgain has an executor begin its next life under its id, with a clock of its own.
func (p *crashPlay) startAgain(record fleet.Executor) {
	e := p.newPlayedExecutor(p.clock)
	e.born = p.now.UnixMilli()
	record.Ref.StartTimeMs = e.born
	p.executors[record.Ref.ID] = e
	p.everyLife = append(p.everyLife, e)
	listed := maps.Clone(p.listed)
	listed[record.Ref.ID] = &record
	p.list(listed)
}

func (p *crashPlay) unlist(id string) {
	listed := maps.Clone(p.listed)
	delete(listed, id)
	p.list(listed)
}

func (p *crashPlay) list(listed map[string]*fleet.Executor) {
	p.listed = listed
	if !p.paused {
		p.cell.UpdateExecutors(listed, p.now)
	}
}

// runFor lets time go by.
func (p *crashPlay) runFor(d time.Duration) {
	for until := p.now.Add(d); p.now.Before(until); {
		p.step()
		p.act()
	}
}

// act has the runs that are at work end or take their executors down.
func (p *crashPlay) act() {
	for _, id := range p.ids() {
		e := p.executors[id]
		runs := slices.SortedFunc(maps.Keys(e.running), func(a, b platform.Run) int {
			return strings.Compare(a.Task.String(), b.Task.String())
		})
		for _, run := range runs {
			if p.began[run].IsZero() {
				p.began[run] = p.now
				p.starts[run.Task] = append(p.starts[run.Task], p.now)
			}
			age := p.now.Sub(p.began[run])
			switch b := p.behaves(run.Task); {
			case b.crashes > 0 && age >= b.crashes:
				p.crash(id)
			case age >= b.takes:
				how := platform.EndDone
				if b.fails {
					how = platform.EndFailed
				}
				e.stop(run, how)
			}
			if p.executors[id] == nil {
				break
			}
		}
	}
}

// state returns the durable state of a job.
func (p *crashPlay) state(id work.ID) work.State {
	if progress := p.saved[id]; progress != nil {
		return progress.State
	}
	return work.Queued
}

// crashesBorne is how many executors may crash under a task before its starts are bounded,
// startsAfter how many starts of it may follow.
const (
	crashesBorne = 3
	startsAfter  = 2
)

// checkBudget fails where a task that crashes its executors was started too often.
func (p *crashPlay) checkBudget() {
	p.t.Helper()
	for task, crashes := range p.crashes {
		if p.behaves(task).crashes == 0 || len(crashes) < crashesBorne {
			continue
		}
		later := 0
		for _, at := range p.starts[task] {
			if at.After(crashes[crashesBorne-1]) {
				later++
			}
		}
		if later > startsAfter {
			p.t.Errorf("task %v was started %d times more after %d executors had crashed under it", task, later, crashesBorne)
		}
	}
}
