package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/platform/standin"
)

// mostStarts is how often a task that crashes its executors may be started: three
// executors may crash under it, and two more starts may follow.
const mostStarts = 5

func TestJobThatCrashesExecutorsFailsAcrossLeaders(t *testing.T) {
	o := newOutside(t, 4)
	first, second := o.start(t, "a"), o.start(t, "b")
	first.awaitReady(t)
	second.awaitReady(t)
	const crashing, healthy = "00000000000000a7", "00000000000000a8"
	first.submit(t, crashing, standin.CrashSpecification, 1)
	eventually(t, "the task has been started", func() bool { return o.starts()[crashing+".0.0.0"] > 0 })
	second.submit(t, healthy, "20ms", 4)
	first.stop()
	second.awaitState(t, crashing, "failed")
	second.awaitState(t, healthy, "completed")
	started := o.starts()[crashing+".0.0.0"]
	if started > mostStarts {
		t.Errorf("the task was started %d times, want %d at most", started, mostStarts)
	}
	second.submit(t, crashing, standin.CrashSpecification, 1) // a late repeat of the submission
	second.awaitState(t, crashing, "failed")
	if now := o.starts()[crashing+".0.0.0"]; now != started {
		t.Errorf("the task was started %d times after its job had failed", now-started)
	}
}

func TestJobWaitsForExecutorCapacity(t *testing.T) {
	o := newOutside(t, 2)
	for _, e := range o.executors {
		e.Resize(500)
	}
	a := o.start(t, "a")
	a.awaitReady(t)
	const id = "00000000000000a9"
	a.submit(t, id, "20ms", 2)
	time.Sleep(time.Second)
	if status, body := a.ask(t, http.MethodGet, "/q/"+id, ""); status != http.StatusOK || body != `{"state":"queued"}` {
		t.Errorf("a job that no executor has room for is answered %d %s", status, body)
	}
	o.executors[0].Resize(4000)
	a.awaitState(t, id, "completed")
}
