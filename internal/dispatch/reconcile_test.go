package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against a job that stays unplanned for as long as its leader leads, whatever kept the planner from hearing of it.
func TestJobMissingFromThePlannerIsPlanned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.takeOver()
		p.submit(1)
		time.Sleep(time.Second)
		p.replica.SetListener(nil) // the planner hears of nothing
		record := p.record(2)
		p.appendElsewhere(record)
		time.Sleep(3*cleanupInterval + time.Second)
		if runs, _ := p.executor.runsAndHolds(); runs != 2 {
			t.Errorf("%d runs are running, want those of two jobs", runs)
		}
		if got := p.counters.Get(missingJobs); got == nil || got.String() != "1" {
			t.Errorf("missing jobs: %v, want 1", got)
		}
		p.cancel(work.ID{1})
		p.stop()
	})
}
