package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// A submission that is repeated to a leader that knows only the outcome of its job starts nothing.
func TestRepeatedSubmissionOfEndedJobStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.takeOver()
		id := p.submit(1)
		time.Sleep(500 * time.Millisecond)
		p.requireOneRun()
		p.cancel(id)
		time.Sleep(submissionRetention + 3*cleanupInterval)
		p.requireIdleAfter(0)
		p.stop()
		p.replica = replica.New(time.Hour, logging.Nop())
		p.reader = &replica.Reader{
			Replica: p.replica, Log: p.store, Partition: jobsPartition,
			Timing: replica.DefaultTiming(), Leads: func() bool { return true },
		}
		p.takeOver()
		time.Sleep(500 * time.Millisecond)
		if e, _ := p.replica.Get(id); e.Outcome == nil {
			t.Fatal("the job has no outcome")
		}
		p.submit(1)
		p.requireIdleAfter(time.Second)
		p.stop()
	})
}
