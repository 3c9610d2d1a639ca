package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// A submission that is handed in once more, to a leader that knows of its job
// the outcome only, starts nothing.
func TestRepeatedSubmissionOfEndedJobStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCellPlay(t)
		p.register("ready")
		p.lead()
		id := p.submit(1)
		time.Sleep(500 * time.Millisecond)
		p.mustRun()
		p.cancel(id)
		time.Sleep(wholeFor + 3*tidyEvery)
		p.idleWithin(0)
		p.stop()
		p.replica = replica.New(time.Hour, logging.Silent())
		p.reader = &replica.Reader{
			Replica: p.replica, Log: p.store, Partition: playJobs,
			Timing: replica.DefaultTiming(), Leads: func() bool { return true },
		}
		p.lead()
		time.Sleep(500 * time.Millisecond)
		if e, _ := p.replica.Get(id); e.Outcome == nil {
			t.Fatal("the job has no outcome")
		}
		p.submit(1)
		p.idleWithin(time.Second)
		p.stop()
	})
}
