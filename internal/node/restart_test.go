package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/platform/standin"
)

func TestTasksEndOnceWhenExecutorsReuseIDs(t *testing.T) {
	o := newOutside(t, 3)
	ends := standin.NewCompletionTracker()
	for _, e := range o.executors {
		e.Completions = ends
		e.ReuseID()
		e.Register(o.store, "svc")
	}
	first, second := o.start(t, "a"), o.start(t, "b")
	first.awaitReady(t)
	second.awaitReady(t)
	var ids []string
	for n := range 24 {
		id := fmt.Sprintf("00000000000001%02x", n)
		ids = append(ids, id)
		second.submit(t, id, "150ms", 4)
		if n%4 == 3 {
			o.executors[n/4%len(o.executors)].Restart()
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
		t.Errorf("started again after they were acknowledged as done: %v", again)
	}
}
