package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

func TestValidateReportsAllFindings(t *testing.T) {
	cfg := Config{Entries: []string{"10.0.0.1:80"}, Streams: []Stream{{RepeatShare: 2}}, MaxOpen: 0}
	err := cfg.Validate()
	if err == nil {
		t.Fatal("invalid configuration was accepted")
	}
	for _, path := range []string{"entries", "streams.rate", "streams.repeat", "streams.service", "duration", "max_open"} {
		if !strings.Contains(err.Error(), path) {
			t.Errorf("no finding for %s in:\n%v", path, err)
		}
	}
}

func TestRunCountsOutcomesAndRepeats(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.Header.Get(api.HeaderRequestID)]++
		mu.Unlock()
		w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
		w.Header().Set(api.HeaderReason, string(api.ReasonNoSlot))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	runner, err := NewRunner(Config{
		Entries:  []string{strings.TrimPrefix(server.URL, "http://")},
		Streams:  []Stream{{Service: "s", Rate: 500, RepeatShare: 1, Timeout: time.Second}},
		Duration: 100 * time.Millisecond, MaxOpen: 1000, Seed: 1, IDPrefix: "t",
	})
	if err != nil {
		t.Fatal(err)
	}
	result := runner.Run(context.Background())[0]
	if result.Sent() == 0 || result.Count(api.OutcomeNotRun) != result.Sent() {
		t.Fatalf("sent %d requests, counted %d as not run; want the same number, above zero", result.Sent(), result.Count(api.OutcomeNotRun))
	}
	for id, n := range seen {
		if n != 2 {
			t.Errorf("request %s was sent %d times, want 2", id, n)
		}
	}
}
