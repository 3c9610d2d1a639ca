package dispatch

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// withField returns an executor's record in which one field has another value.
func withField(record, name, value string) string {
	return strings.TrimSuffix(record, "}") + fmt.Sprintf(",%q:%s}", name, value)
}

// oddEntries returns records of another writer, by ID.
func oddEntries() map[string]string {
	good := executorRecord("svc", "ready", "r1")
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	most := fmt.Sprintf(`{"cpu":%d,"requested_memory_mb":%d,"gpu":%d}`, int64(math.MaxInt64), int64(math.MaxInt64), int64(math.MaxInt64))
	return map[string]string{
		"nested-unknown": withField(good, "other", nested), "nested-labels": withField(good, "labels", nested), "nested": nested,
		"nested-objects": strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000),
		"float":          withField(good, "capacity", `{"cpu":1e400,"requested_memory_mb":1}`),
		"most-1":         withField(good, "capacity", most), "most-2": withField(good, "capacity", most),
		"port-70000": withField(good, "address", `"10.0.0.9:70000"`), "port--1": withField(good, "address", `"10.0.0.9:-1"`),
		"born": withField(good, "born", "9223372036854775808"), strings.Repeat("i", 255): good + "x",
		"large": withField(good, "other", `"`+strings.Repeat("x", 250_000)+`"`) + "x",
	}
}

// Guards against entries of another writer that end the processes that read the list of executors, keep them from following it, or
// count as capacity: a new leader then accepts any amount of work.
func TestOddEntriesAreNoExecutors(t *testing.T) {
	const executors = 5
	log := &memoryPartition{}
	g, _ := newTestRegistry(log)
	mustRefresh(t, g) // reads on from here record by record
	put := func() {
		for id, record := range oddEntries() {
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
