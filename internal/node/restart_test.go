package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logread"
	"github.com/skylarklock/skylarklock/platform/standin"
)

// No task is started again after its end was acknowledged, although executors restart
// under the same IDs and a process that may lead stops.
func TestTasksEndOnceWhenExecutorsReuseIDs(t *testing.T) {
	env := newTestEnv(t, 3)
	ends := standin.NewCompletionTracker()
	for _, e := range env.executors {
		e.Completions = ends
		e.ReuseID()
		e.Register(env.store, "svc")
	}
	first, second := env.start(t, "a"), env.start(t, "b")
	first.awaitReady(t)
	second.awaitReady(t)
	var ids []string
	for n := range 24 {
		id := fmt.Sprintf("00000000000001%02x", n)
		ids = append(ids, id)
		second.submit(t, id, "150ms", 4)
		if n%4 == 3 {
			env.executors[n/4%len(env.executors)].Restart()
		}
		if n == 16 {
			first.stop() // it may have led
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, id := range ids {
		// Under load, one task may run on all three executors as they are restarted. It is then taken for
		// what crashes them, and its job may be given up.
		want := "completed"
		eventually(t, "job "+id+" has ended", func() bool {
			_, state := second.request(t, http.MethodGet, "/q/"+id, "")
			if state == `{"state":"failed"}` && crashesOfGivenUp(t, env.lines.String(), id) >= 3 {
				want = "failed"
				if n := ends.MaxLosses(id); n < 3 {
					t.Errorf("job %s was given up; by the executors' record they restarted %d times under one of its tasks", id, n)
				}
			}
			return state == `{"state":"`+want+`"}`
		})
	}
	if again := ends.RestartedTasks(); len(again) > 0 {
		t.Errorf("tasks started again after their end was acknowledged: %v", again)
	}
}

// crashesOfGivenUp returns how many executors were lost under the task for which a job was given up,
// according to the leaders' lines, or 0 if it wasn't given up.
func crashesOfGivenUp(t *testing.T, text, job string) int64 {
	lines, err := logread.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range lines.All {
		if strings.HasPrefix(l.Message, "job is given up") && l.Field("job") == job {
			crashes, _ := l.Int("crashes")
			return crashes
		}
	}
	return 0
}
