package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against jobs that are accepted and never planned: the cell dropped a job that was stored, or kept the end of one that wasn't.
func TestWithdraw(t *testing.T) {
	step := work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second}
	Convey("A job that is known to be stored stays", t, func() {
		env := newTestEnv(t, 1)
		j := env.submitUnconfirmed(1, testQueue, step)
		starts := env.cell.Plan(env.now)
		env.cell.ConfirmStored(j.ID)
		So(env.cell.Withdraw(j.ID), ShouldBeFalse)
		So(env.cell.TakeDirtyRecords(), ShouldHaveLength, 1)
		So(env.cell.Confirm(starts, env.now), ShouldHaveLength, 2)
	})
	Convey("A job that ended before it was stored is forgotten, and can be submitted again", t, func() {
		for name, end := range map[string]func(*testEnv, work.ID){
			"cancelled":    func(env *testEnv, id work.ID) { env.cell.Cancel(id) },
			"unrecordable": func(env *testEnv, id work.ID) { env.cell.FailUnrecordable(id, 2, 1) },
		} {
			Convey(name, func() {
				env := newTestEnv(t, 1)
				j := env.submitUnconfirmed(1, testQueue, step)
				starts := env.cell.Plan(env.now)
				end(env, j.ID)
				So(env.cell.Withdraw(j.ID), ShouldBeTrue)
				So(env.cell.Knows(j.ID), ShouldBeFalse)
				So(env.cell.TakeDirtyRecords(), ShouldBeEmpty)
				So(env.cell.Confirm(starts, env.now), ShouldBeEmpty)
				So(env.cell.AddUnconfirmedJob(j, env.now.UnixMilli(), env.now), ShouldBeTrue)
				So(env.cell.Plan(env.now), ShouldHaveLength, 2)
			})
		}
	})
}
