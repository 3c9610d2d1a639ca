package dispatch

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against a deadlock: the replica tells the planner of changes while it holds its own lock, so the planner must not
// take that lock.
func TestPlannerDoesNotWaitForTheReplica(t *testing.T) {
	p := newTestCell(t)
	p.register("ready")
	p.takeOver()
	defer p.stop()
	r := p.runner
	r.mu.Lock()
	record := p.record(1)
	p.store.put(jobsPartition, record.Key, string(record.Value))
	applied := make(chan error, 1)
	go func() { applied <- p.reader.Sync(t.Context()) }()
	time.Sleep(100 * time.Millisecond) // the replica waits for the planner
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.withdraw(&submission{addedJobs: []work.ID{{1}, {2}}})
		r.admitRecord(r.newSubmission(record), 0, r.currentBacklogs(time.Now()), time.Now())
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the planner waits for the replica, which waits for the planner")
	}
	r.mu.Unlock()
	if err := <-applied; err != nil {
		t.Fatal(err)
	}
}
