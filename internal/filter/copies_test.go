package filter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// VM a is marking a request while VM b refuses a copy of it. The request runs
// at a, so b must not answer not-run.
func TestConcurrentCopiesAreNotAnsweredNotRun(t *testing.T) {
	for name, row := range map[string]struct {
		want   string
		before func(w *testCluster)
	}{
		"log down":  {"unknown journal_unavailable", func(*testCluster) {}},
		"draining":  {"unknown draining", func(w *testCluster) { w.chains["b"].gate.Drain() }},
		"not ready": {"unknown not_ready", func(w *testCluster) { w.chains["b"].gate.SetReady(false) }},
		"full":      {"unknown class_limit", func(w *testCluster) { w.chains["b"].gate.max = 0 }},
		"limit":     {"unknown caller_limit", func(w *testCluster) { w.limits = api.LimitsSpec{RatePerSecond: 1e-3, Burst: 1} }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster("a", "b")
				k := call{node: "a", id: "id", body: "x"}
				w.fault = faultPlan(map[string][]string{"log": {"slow", "down"}})
				go w.expectAnswer(t, k, "id=x")
				synctest.Wait() // a waits for its mark
				row.before(w)
				if name == "limit" {
					w.expectAnswer(t, call{node: "b", id: "other", idempotent: true}, "other=")
				}
				k.node = "b"
				refusal := w.expectAnswer(t, k, row.want)
				expectEqual(t, refusal.RetryAfter > 0, true)
				time.Sleep(time.Second)
				w.close()
				expectEqual(t, w.count("ran/id"), 1)
			})
		})
	}
}
