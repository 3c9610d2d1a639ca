package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/platform/standin"
)

// Tasks whose ends an executor didn't list yet were started again: it lists a limited number of ends, always the
// same ones while the store is down and nothing can be acknowledged.
func TestTasksEndOnceWhenListsOfEndsAreCut(t *testing.T) {
	const jobs, tasks = 6, 8
	env := newTestEnv(t, 2)
	ends := standin.NewCompletionTracker()
	for _, e := range env.executors {
		e.Completions, e.MaxEnds = ends, 5
	}
	first, second := env.start(t, "a"), env.start(t, "b")
	first.awaitReady(t)
	second.awaitReady(t)
	var ids []string
	for n := range jobs {
		ids = append(ids, fmt.Sprintf("00000000000002%02x", n))
		first.submit(t, ids[n], "1500ms", tasks)
	}
	eventually(t, "all tasks are started", func() bool { return len(env.starts()) == jobs*tasks })
	env.store.SetFault(standin.FaultDown)
	time.Sleep(2500 * time.Millisecond) // all tasks end meanwhile
	env.store.SetFault(standin.FaultNone)
	for _, id := range ids {
		second.awaitState(t, id, "completed")
	}
	if again := ends.RestartedTasks(); len(again) > 0 {
		t.Errorf("tasks started again after they had ended as done: %v", again)
	}
}
