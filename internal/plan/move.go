package plan

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Runs move away from executors that have become slow or stand still. The load it
// answers: short work in the middle of its run when its executor falls to a sixth of its
// pace. Where it goes on, nothing of it is left of use when it ends.

const (
	// slowedFrom is how many times slower than before a run has to be to say that its
	// executor is; less may be other work there.
	slowedFrom = 3.0
	// moveTakes is the time of a stop, of a new call for advice and of a start.
	moveTakes = 600 * time.Millisecond
	// moveGain is how many times as long as elsewhere a run has to take where it is.
	moveGain = 1.5
	// mostMoves is how often a task may be moved.
	mostMoves = 1
)

// noticePace learns from how a run's pace has changed whether its executor is slow, and
// has the run stopped if it would end sooner elsewhere. Members of a gang wait for each
// other, so theirs tells nothing of one executor.
func (c *Cell) noticePace(cl *claim, now time.Time) {
	if cl.task == nil || cl.unwanted || cl.task.step.spec.Gang || cl.task.step.spec.LongRunning {
		return
	}
	usual, late, known := cl.progress.paces()
	if !known || late*slowedFrom > usual {
		return
	}
	slowness := usual / max(late, usual/slowestTold)
	cl.vm.noteSlow(slowness, now)
	s := cl.task.step
	work := 100.0
	if s.spec.Checkpoints {
		work -= float64(cl.progress.last.percent)
	}
	here := seconds((100 - float64(cl.progress.last.percent)) * slowness / usual)
	elsewhere := moveTakes + seconds(work/usual)
	if cl.task.moves >= mostMoves || cl.task.suspected() || float64(here) < moveGain*float64(elsewhere) || c.turnOf(s, now).stands == overdue {
		return
	}
	cl.unwanted = true
	cl.task.moves++
	c.events.WithFields(logrus.Fields{
		"executor": cl.vm.Ref.ID, "task": cl.run.Task, "run": cl.run.Number,
		"usual_percent_s": int(usual), "late_percent_s": int(late), "here_ms": here.Milliseconds(), "elsewhere_ms": elsewhere.Milliseconds(),
	}).Info("run is moved: its executor has become slow")
	c.stop(cl)
}

// slowestTold bounds how slow an executor on which a run stands still counts as.
const slowestTold = 20

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
