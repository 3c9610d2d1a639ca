package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// The members of a gang were started again with the checkpoint that each had reported last, although a gang
// resumes from one.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	Convey("Given a gang whose members report different checkpoints", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(4), Estimate: time.Minute, Gang: true, SavesCheckpoints: true})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 3)
		env.confirmStarts(orders)
		env.advance(time.Second)
		var rows []platform.RunningTask
		var ends []platform.EndedRun
		for i, o := range orders {
			checkpoint := string(rune('a' + i))
			rows = append(rows, platform.RunningTask{Run: o.Start.Run, Checkpoint: checkpoint})
			reason := platform.EndGangBroken
			if i == 0 {
				reason = platform.EndFailed
			}
			ends = append(ends, platform.EndedRun{Number: uint64(i + 1), Run: o.Start.Run, Reason: reason, Checkpoint: checkpoint})
		}
		env.report("e0", rows, nil)

		resumesFromOne := func() {
			again := env.runCycle()
			So(again, ShouldHaveLength, 3)
			So(again[0].Order.Checkpoint, ShouldNotBeEmpty)
			for _, o := range again {
				So(o.Order.Checkpoint, ShouldEqual, again[0].Order.Checkpoint)
			}
		}
		Convey("it resumes from one of them", func() {
			env.advance(time.Second)
			env.report("e0", nil, ends)
			resumesFromOne()
		})
		Convey("it does so under a leader that reads a record with several", func() {
			env.advance(time.Second)
			env.report("e0", nil, ends)
			env.saveRecords()
			for i := range 3 {
				env.savedProgress[work.ID{1}].Occurrences[0].Steps[0][i].Checkpoint = string(rune('a' + i))
			}
			env.takeOver()
			env.report("e0", nil, nil)
			resumesFromOne()
		})
	})
}
