package config

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// BenchmarkApply measures the acceptance of new batch jobs: the time of Apply,
// the heap and snapshot bytes per record, and the time to restore a record.
func BenchmarkApply(b *testing.B) {
	m := NewStateMachine()
	entries := make([]journal.Entry, b.N)
	for i := range entries {
		rec := api.Record{Kind: api.KindBatchJob, Name: fmt.Sprintf("appraisal-%d", i), SchemaVersion: 1,
			Spec: []byte(`{"team":"lots","tasks":12,"resources":{"milli_cpu":500,"memory_mb":512},"run_time_ns":60000000000}`)}
		entries[i] = journal.Entry{Type: TypePublish, Body: journal.Encode(newPublication("", rec))}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	b.ResetTimer()
	for _, e := range entries {
		must(b, m.Apply(journal.Position{}, e))
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	data, err := m.Snapshot()
	must(b, err)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/record")
	b.ReportMetric(float64(len(data))/float64(b.N), "snapshot-B/record")
	runtime.KeepAlive(entries)
	start := time.Now()
	must(b, NewStateMachine().Restore(data))
	b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(b.N), "restore-ns/record")
}

// BenchmarkService measures StateMachine.Service, which is called for each request.
func BenchmarkService(b *testing.B) {
	m := NewStateMachine()
	must(b, apply(m, "", service("torquebench", 2, 0, `{}`)))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := m.Service("torquebench"); !ok {
				b.Fail()
			}
		}
	})
}
