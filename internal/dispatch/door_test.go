package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Users saw nearly all requests refused, 12 s after all machines had lost power: 14
// of 175 were served. Order of events: the cell was full; all machines lost power and a
// third of the executors fell silent; a new leader took over 209 steps, of which 53
// were wide gangs, and served 91 of 102 requests; then what waited came to 8 s of the
// room that was left, and every job was refused, of each kind, for 6 s and more, while
// a quarter of the executors' room stood free. Cause: the bound on what waits was
// counted over all of it, and asked of every job alike. Evidence: of 1,266 refusals
// 1,262 were by that figure and one by the job's own wait; 1,028 of the jobs had next
// to nothing before them.
//
// Here two gangs that find no room stand for 10 s of the executor's time. The executor
// is idle, and a check that needs a hundredth of it for half a second is handed in.
func TestBacklogDoesNotRefuseJobsThatCanStartImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCellPlay(t)
		gang := work.Step{TaskCount: 2, TaskResources: api.Resources{MilliCPU: 20_000}, Estimate: 4 * time.Second, Gang: true}
		for n := range byte(2) {
			r := p.recordOf(n, gang)
			p.store.put(playJobs, r.Key, string(r.Value)) // accepted by a former leader
		}
		p.register("ready")
		p.lead()
		time.Sleep(20 * time.Second) // they are far beyond their objective
		check := work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 300}, Estimate: 500 * time.Millisecond}
		handedIn := time.Now()
		got := p.runner.Store(t.Context(), []platform.Record{p.recordOf(9, check)})
		if got[0].Outcome != assist.Stored {
			t.Errorf("outcome %v, to come back after %v, with an idle executor; want it stored", got[0].Outcome, got[0].RetryAfter)
		} else {
			p.startedWithin(1)
			if took := time.Since(handedIn); took > 250*time.Millisecond {
				t.Errorf("started after %v on an idle executor", took)
			}
		}
		p.stop()
	})
}
