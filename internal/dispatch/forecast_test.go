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

// Guards against jobs that are accepted although they would be worthless, jobs that are refused
// while the executor is free, and clients that are all sent back at the same time.
func TestAdmissionByForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.overload = true
		p.register("ready")
		p.takeOver()
		time.Sleep(3 * time.Second)
		whole := work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 32_000}, Estimate: time.Second}
		submit := func(n byte) assist.StoreResult {
			return p.runner.Store(t.Context(), []platform.Record{p.recordOf(n, whole)})[0]
		}
		// The objective is 3 s, so three jobs of a second can end in time one after the other.
		for n := range byte(3) {
			if r := submit(n); r.Outcome != assist.Stored {
				t.Fatalf("job %d: %+v", n, r)
			}
		}
		var last time.Duration
		for n := byte(3); n < 8; n++ {
			r := submit(n)
			if r.Outcome != assist.TooBusy || r.RetryAfter < time.Second || r.RetryAfter < last {
				t.Errorf("job %d behind 3 s of work: %+v, last retry after %v", n, r, last)
			}
			last = r.RetryAfter
		}
		if last < 3*time.Second {
			t.Errorf("five refused jobs of a second are all sent back within %v", last)
		}
		small := work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 100}, Estimate: 100 * time.Millisecond}
		if r := p.runner.Store(t.Context(), []platform.Record{p.recordOf(9, small)})[0]; r.Outcome != assist.TooBusy {
			t.Errorf("small job on an executor that is taken for 3 s: %+v", r)
		}
		p.stop()
	})
}
