package filter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// TestConcurrentCopiesAreNotToldNotRun: VM a is marking a request while VM b turns a copy of
// it away. The copy at a runs, so b must not have said not-run.
func TestConcurrentCopiesAreNotToldNotRun(t *testing.T) {
	for name, row := range map[string]struct {
		want   string
		before func(w *world)
	}{
		"log down":  {"unknown journal_unavailable", func(*world) {}},
		"draining":  {"unknown draining", func(w *world) { w.chains["b"].gate.Drain() }},
		"not ready": {"unknown not_ready", func(w *world) { w.chains["b"].gate.SetReady(false) }},
		"full":      {"unknown class_limit", func(w *world) { w.chains["b"].gate.max = 0 }},
		"limit":     {"unknown caller_limit", func(w *world) { w.limits = api.LimitsSpec{RatePerSecond: 1e-3, Burst: 1} }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b")
				k := call{node: "a", id: "id", body: "x"}
				w.fault = failing(map[string][]string{"log": {"slow", "down"}})
				go w.says(t, k, "id=x")
				synctest.Wait() // a waits for its mark
				row.before(w)
				if name == "limit" {
					w.says(t, call{node: "b", id: "other", idempotent: true}, "other=")
				}
				k.node = "b"
				refusal := w.says(t, k, row.want)
				same(t, refusal.RetryAfter > 0, true)
				time.Sleep(time.Second)
				w.close()
				same(t, w.count("ran/id"), 1)
			})
		})
	}
}
