package node

import (
	"fmt"
	"testing"
	"time"

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
		second.awaitState(t, id, "completed")
	}
	if again := ends.RestartedTasks(); len(again) > 0 {
		t.Errorf("tasks started again after their end was acknowledged: %v", again)
	}
}
