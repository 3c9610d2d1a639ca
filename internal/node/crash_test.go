package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/platform/standin"
)

// maxStarts is how often a task that crashes its executors may be started: it may
// crash three executors, and two more starts may follow.
const maxStarts = 5

// A job whose task crashes its executors ends as failed after at most maxStarts starts,
// also if the leader changes meanwhile, and a repeated submission doesn't start it again.
func TestJobThatCrashesExecutorsFailsAcrossLeaders(t *testing.T) {
	env := newTestEnv(t, 4)
	first, second := env.start(t, "a"), env.start(t, "b")
	first.awaitReady(t)
	second.awaitReady(t)
	const crashing, healthy = "00000000000000a7", "00000000000000a8"
	first.submit(t, crashing, standin.CrashSpecification, 1)
	eventually(t, "the task has been started", func() bool { return env.starts()[crashing+".0.0.0"] > 0 })
	second.submit(t, healthy, "20ms", 4)
	first.stop()
	second.awaitState(t, crashing, "failed")
	second.awaitState(t, healthy, "completed")
	started := env.starts()[crashing+".0.0.0"]
	if started > maxStarts {
		t.Errorf("the task was started %d times, want %d at most", started, maxStarts)
	}
	second.submit(t, crashing, standin.CrashSpecification, 1) // late repetition of the submission
	second.awaitState(t, crashing, "failed")
	if now := env.starts()[crashing+".0.0.0"]; now != started {
		t.Errorf("the task was started %d times after its job had failed", now-started)
	}
}

// A job that fits no executor stays queued and runs once an executor has enough capacity.
func TestJobWaitsForExecutorCapacity(t *testing.T) {
	env := newTestEnv(t, 2)
	for _, e := range env.executors {
		e.Resize(500)
	}
	a := env.start(t, "a")
	a.awaitReady(t)
	const id = "00000000000000a9"
	a.submit(t, id, "20ms", 2)
	time.Sleep(time.Second)
	if status, body := a.request(t, http.MethodGet, "/q/"+id, ""); status != http.StatusOK || body != `{"state":"queued"}` {
		t.Errorf("state of a job that fits no executor: answered %d %s, want it queued", status, body)
	}
	env.executors[0].Resize(4000)
	a.awaitState(t, id, "completed")
}
