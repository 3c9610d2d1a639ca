package plan

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Runs are moved away from executors that have become slow or stalled. This is needed for
// short tasks whose executor drops to a sixth of its pace in the middle of their run. If such
// a task stayed there, it would end when its result is no longer useful.

const (
	// minSlowdown is how many times slower than before a run has to be for its executor to
	// count as slow. A smaller slowdown may come from other work there.
	minSlowdown = 3.0
	// moveOverhead is the time of a stop, a new advice call and a start.
	moveOverhead = 600 * time.Millisecond
	// minMoveGain is how many times as long as elsewhere a run has to take on its executor
	// to be moved.
	minMoveGain = 1.5
	// maxMoves is how often a task may be moved.
	maxMoves = 1
)

// checkPace detects a slow executor by the change of a run's pace, and stops the run if it
// would end sooner elsewhere. Members of a gang wait for each other, so their pace says
// nothing about a single executor.
func (c *Cell) checkPace(alloc *allocation, now time.Time) {
	if alloc.task == nil || alloc.stopRequested || alloc.task.step.spec.Gang || alloc.task.step.spec.LongRunning {
		return
	}
	usual, recent, known := alloc.progress.paces()
	if !known || recent*minSlowdown > usual {
		return
	}
	slowness := usual / max(recent, usual/maxSlowness)
	alloc.vm.markSlow(slowness, now)
	s := alloc.task.step
	remainingPercent := 100.0
	if s.spec.SavesCheckpoints {
		remainingPercent -= float64(alloc.progress.last.percent)
	}
	timeHere := seconds((100 - float64(alloc.progress.last.percent)) * slowness / usual)
	timeElsewhere := moveOverhead + seconds(remainingPercent/usual)
	if alloc.task.moves >= maxMoves || alloc.task.suspected() || float64(timeHere) < minMoveGain*float64(timeElsewhere) || c.rankOf(s, now).Lateness == overdue {
		return
	}
	alloc.stopRequested = true
	alloc.task.moves++
	c.logger.WithFields(logrus.Fields{
		"executor": alloc.vm.Ref.ID, "task": alloc.run.Task, "run": alloc.run.Number,
		"usual_percent_s": int(usual), "late_percent_s": int(recent), "here_ms": timeHere.Milliseconds(), "elsewhere_ms": timeElsewhere.Milliseconds(),
	}).Info("run is moved: its executor has become slow")
	c.stopRun(alloc)
}

// maxSlowness bounds the slowness assumed of an executor on which a run makes no progress.
const maxSlowness = 20

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
