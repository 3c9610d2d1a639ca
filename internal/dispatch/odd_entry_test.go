package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/platform/standin"
)

// Guards against entries of another writer that end the processes that read the list of executors, keep them from following it, or
// count as capacity: a new leader then accepts any amount of work.
func TestOddEntriesAreNoExecutors(t *testing.T) {
	const executors = 5
	log := &memoryPartition{}
	g, _ := newTestRegistry(log)
	mustRefresh(t, g) // reads on from here record by record
	put := func() {
		for id, record := range standin.OddEntries() {
			log.put(id, record)
		}
	}
	put()
	for i := range executors {
		log.put(fmt.Sprint("e", i), executorRecord("svc", "ready", "r1"))
	}
	put()
	mustRefresh(t, g)
	restored, _ := newTestRegistry(log)
	mustRefresh(t, restored)
	now := time.Now()
	for name, g := range map[string]*registry{"read": g, "restored": restored} {
		if len(g.listed) != executors {
			t.Errorf("%s: %v are listed", name, names(g.listed))
		}
		cell := plan.NewCell(plan.DefaultConfig(), nil, logging.Nop(), now)
		cell.Configure(&queue.Configuration{Services: map[string]queue.Service{"svc": {Name: "svc"}}})
		cell.UpdateExecutors(g.listed, now)
		if got := cell.Backlog(now).Processors(); got != executors*16 {
			t.Errorf("%s: %d processors, want %d", name, got, executors*16)
		}
		cell.Plan(now)
	}
}
