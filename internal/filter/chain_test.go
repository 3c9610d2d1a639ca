package filter

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// failing returns a fault function that fails each site as often as its list
// of faults is long, in order; "*" at the end goes on for ever.
func failing(plan map[string][]string) func(string) string {
	var mu sync.Mutex
	return func(site string) string {
		mu.Lock()
		defer mu.Unlock()
		left := plan[site]
		if len(left) == 0 {
			return ""
		}
		if len(left) < 2 || left[1] != "*" {
			plan[site] = left[1:]
		}
		return left[0]
	}
}

// TestTruthTable gives, for each failure, the word to the caller at VM a, the
// word to its repeat at VM b when all is well again, and how often it ran.
func TestTruthTable(t *testing.T) {
	const well = "id=x"
	table := []struct {
		name          string
		idempotent    bool
		plan          map[string][]string
		first, repeat string
		runs          int
	}{
		{"well", false, nil, well, well, 1},
		{"well, idempotent", true, nil, well, well, 2},
		{"one endpoint refuses", false, map[string][]string{"endpoint": {"refuse"}}, well, well, 1},
		{"all endpoints refuse", false, map[string][]string{"endpoint": {"refuse", "*"}}, "not-run connect_failed", well, 1},
		{"answer breaks off", false, map[string][]string{"endpoint": {"broken"}}, "unknown answer_broken", "unknown answer_broken", 1},
		{"answer breaks off, idempotent", true, map[string][]string{"endpoint": {"broken"}}, well, well, 3},
		{"all answers break off, idempotent", true, map[string][]string{"endpoint": {"broken", "*"}}, "unknown answer_broken", well, 4},
		{"refused after one broke off, idempotent", true, map[string][]string{"endpoint": {"lost", "refuse", "refuse"}}, "unknown answer_broken", well, 1},
		{"untyped failure", false, map[string][]string{"endpoint": {"strange"}}, "unknown internal", "unknown internal", 1},
		{"log down", false, map[string][]string{"log": {"down", "*"}}, "not-run journal_unavailable", well, 1},
		{"log down, idempotent", true, map[string][]string{"log": {"down", "*"}}, well, well, 2},
		{"mark lands without word", false, map[string][]string{"log": {"landed"}}, "not-run journal_unsettled", well, 1},
		{"mark lands, release fails", false, map[string][]string{"log": {"landed", "down"}}, "not-run journal_unsettled", well, 1},
		{"mark lands late", false, map[string][]string{"log": {"late", "down"}}, "not-run journal_unsettled", well, 1},
		{"mark and release land late", false, map[string][]string{"log": {"late", "late"}}, "not-run journal_unsettled", well, 1},
		{"outcome not journaled", false, map[string][]string{"log": {"", "down"}}, well, well, 1},
		{"queue full everywhere", false, map[string][]string{"router": {"queue_full", "*"}}, "not-run queue_full", well, 1},
		{"no room here", false, map[string][]string{"room": {"none"}}, well, well, 1},
		{"hold lapses", false, map[string][]string{"hold": {"lapsed"}}, well, well, 1},
		{"hold lapsed for good", false, map[string][]string{"hold": {"lapsed", "*"}}, "not-run hold_unconfirmed", well, 1},
		{"peer's reply lost", false, map[string][]string{"room": {"none"}, "peer": {"lost"}}, "unknown peer_unreachable", "unknown peer_unreachable", 1},
		{"peer unreachable", false, map[string][]string{"room": {"none"}, "peer": {"unreachable"}}, well, well, 1},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b")
				w.fault = failing(row.plan)
				k := call{node: "a", id: "id", body: "x", idempotent: row.idempotent}
				first := say(w.do(t.Context(), k))
				synctest.Wait()
				w.fault = failing(nil)
				k.node = "b"
				repeat := say(w.do(t.Context(), k))
				w.close()
				if first != row.first || repeat != row.repeat || w.runs["id"] != row.runs {
					t.Errorf("got %q, %q, %d runs, want %q, %q, %d", first, repeat, w.runs["id"], row.first, row.repeat, row.runs)
				}
				if w.open != 0 {
					t.Errorf("%d tickets not given back", w.open)
				}
			})
		})
	}
}

func TestRepeatsWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.hold = make(chan struct{})
		said := make(map[string]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		ask := func(k call) {
			wg.Go(func() {
				word := say(w.do(context.Background(), k))
				mu.Lock()
				defer mu.Unlock()
				said[word]++
			})
			synctest.Wait()
		}
		ask(call{node: "a", id: "id", body: "x"})
		ask(call{node: "a", id: "id", body: "x"}) // joins
		ask(call{node: "b", id: "id", body: "x"}) // asks a
		ask(call{node: "a", id: "id", body: "y"})
		ask(call{node: "b", id: "id", body: "y"})
		ask(call{node: "b", id: "id", body: "x", idempotent: true})
		close(w.hold)
		wg.Wait()
		w.close()
		if said["id=x"] != 3 || said["not-run request_id_reused"] != 3 || w.runs["id"] != 1 {
			t.Fatalf("%v, %d runs", said, w.runs["id"])
		}
		if w.counts["repeat/joined"] != 1 || w.counts["repeat/from_peer"] != 1 {
			t.Fatalf("%v", w.counts)
		}
	})
}

func TestRepeatAfterTheDeadlineIsStillRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.hold = make(chan struct{})
		go w.do(context.Background(), call{node: "a", id: "id", body: "x"})
		synctest.Wait()
		w.spec.TimeoutMs = 200 // of the repeat only
		answer, refusal := w.do(t.Context(), call{node: "b", id: "id", body: "x"})
		if say(answer, refusal) != "unknown still_running" || refusal.RetryAfter == 0 {
			t.Fatalf("%v", refusal)
		}
		close(w.hold)
		time.Sleep(time.Second)
		w.close()
	})
}

func TestCallerLeaves(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld("a", "b")
			w.hold = make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			var word string
			go func() { word = say(w.do(ctx, call{node: "a", id: "id", body: "x", idempotent: idempotent})) }()
			synctest.Wait()
			cancel()
			time.Sleep(10 * time.Millisecond) // the fake executor's own time
			synctest.Wait()
			if w.counts["callers/caller_gone"] != 1 || idempotent != (w.open == 0) || idempotent != (word != "") {
				t.Errorf("idempotent %t: %d slots taken, word %q, %v", idempotent, w.open, word, w.counts)
			}
			close(w.hold)
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			if want := map[bool]string{false: "id=x", true: "unknown answer_broken"}[idempotent]; word != want {
				t.Errorf("the caller was told %q", word)
			}
			w.close()
			w.down["a"] = true // the answer is in the log
			repeat := say(w.do(context.Background(), call{node: "b", id: "id", body: "x", idempotent: idempotent}))
			if want := map[bool]int{false: 1, true: 2}[idempotent]; repeat != "id=x" || w.runs["id"] != want {
				t.Errorf("repeat got %q after %d runs", repeat, w.runs["id"])
			}
		})
	}
}

func TestRepeatWhenTheWriterIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		large := strings.Repeat("z", 2000) // its answer is not journaled
		w.do(t.Context(), call{node: "a", id: "large", body: large})
		w.do(t.Context(), call{node: "a", id: "small", body: "x"})
		w.close()
		w.down["a"] = true
		if got := say(w.do(t.Context(), call{node: "b", id: "large", body: large})); got != "unknown holder_lost" {
			t.Errorf("large: %s", got)
		}
		if got := say(w.do(t.Context(), call{node: "b", id: "small", body: "x"})); got != "small=x" {
			t.Errorf("small: %s", got)
		}
		w.start("a", "east", []api.DataCentre{"east"})
		if got := say(w.do(t.Context(), call{node: "a", id: "large", body: large})); got != "unknown holder_lost" {
			t.Errorf("restarted: %s", got)
		}
		w.chains["b"].gate.SetReady(false)
		for id, want := range map[string]string{"small": "unknown not_ready", "new": "unknown not_ready", "": "not-run not_ready"} {
			if got := say(w.do(t.Context(), call{node: "b", id: id, body: "x"})); got != want {
				t.Errorf("not ready, id %q: %s", id, got)
			}
		}
		w.chains["a"].gate.Drain()
		for id, want := range map[string]string{"small": "unknown draining", "new": "not-run draining"} {
			if got := say(w.do(t.Context(), call{node: "a", id: id, body: "x"})); got != want {
				t.Errorf("draining, id %q: %s", id, got)
			}
		}
	})
}

// TestNotRunWithoutTheLog: a VM that can't read the marks asks its peers
// before it says not-run.
func TestNotRunWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.stale = true
		w.deaf = w.machines[1:]
		w.do(t.Context(), call{node: "a", id: "id", body: "x"})
		w.close()
		at := func(id, body string, plan map[string][]string) string {
			plan["log"] = []string{"down", "*"}
			w.fault = failing(plan)
			return say(w.do(t.Context(), call{node: "b", id: id, body: body}))
		}
		const unknown, notRun = "unknown journal_unavailable", "not-run journal_unavailable"
		for _, row := range []struct{ got, want string }{
			{at("id", "x", map[string][]string{}), "id=x"},
			{at("id", "y", map[string][]string{}), unknown},
			{at("id", "x", map[string][]string{"peer": {"unreachable"}}), unknown},
			{at("new", "x", map[string][]string{}), notRun},
			{at("new", "x", map[string][]string{"peer": {"lost"}}), unknown},
		} {
			if row.got != row.want {
				t.Errorf("got %q, want %q", row.got, row.want)
			}
		}
		w.fault = failing(map[string][]string{"log": {"landed", "down"}}) // b's mark, which a reads
		if got := say(w.do(t.Context(), call{node: "b", id: "own", body: "x"})); got != "not-run journal_unsettled" {
			t.Errorf("own unused mark: %s", got)
		}
		w.close()
	})
}

func TestHomeDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dcs := []api.DataCentre{"east", "west"}
		w, east := newWorld(), newWorld()
		east.start("east", "east", dcs)
		w.start("west", "west", dcs)
		w.chains["east"] = east.chains["east"] // runs go to the home's executors
		k := call{node: "west", id: "east/7", body: "x"}
		for range 2 {
			if got := say(w.do(t.Context(), k)); got != "east/7=x" || east.runs["east/7"] != 1 || len(w.runs) != 0 {
				t.Errorf("%s, home ran %v, west ran %v", got, east.runs, w.runs)
			}
		}
		w.fault = failing(map[string][]string{"peer": {"lost"}})
		k.id = "east/8"
		if got := say(w.do(t.Context(), k)); got != "unknown peer_unreachable" {
			t.Errorf("lost reply: %s", got)
		}
		w.down["east"] = true
		if got := say(w.do(t.Context(), k)); got != "unknown home_unreachable" {
			t.Errorf("cut off after it was handed over: %s", got)
		}
		k.id = "east/9"
		if got := say(w.do(t.Context(), k)); got != "not-run home_unreachable" || east.runs["east/9"] != 0 {
			t.Errorf("cut off: %s", got)
		}
		k.idempotent = true
		if got := say(w.do(t.Context(), k)); got != "east/9=x" {
			t.Errorf("cut off, idempotent: %s", got)
		}
		reply := w.chains["west"].ServeForward(t.Context(), &ForwardRequest{
			Kind: ForwardHome, Hops: 1, Remaining: time.Second, Request: api.Request{ID: "east/1", Service: "svc"},
		})
		if reply.Refusal == nil || reply.Refusal.Reason != api.ReasonHomeUnreachable {
			t.Errorf("not at home: %+v", reply)
		}
		w.close()
		east.close()
	})
}

func TestHeadersAreChecked(t *testing.T) {
	w := newWorld("a")
	for _, row := range []struct{ name, value, want string }{
		{api.HeaderIdempotent, "yes", "malformed"},
		{api.HeaderTimeout, "0", "malformed"},
		{api.HeaderTimeout, "1e3", "malformed"},
		{api.HeaderClass, "gang", "malformed"},
		{api.HeaderRequestID, "two words", "malformed"},
		{api.HeaderRequestID, strings.Repeat("x", maxIDLength+1), "malformed"},
		{"Other", "x", "request_id_missing"},
	} {
		_, err := w.chains["a"].Handle(t.Context(), &Exchange{
			Header:  http.Header{row.name: {row.value}},
			Request: &api.Request{Service: "svc"},
		})
		refusal := asRefusal(err)
		if string(refusal.Reason) != row.want || refusal.Outcome != api.OutcomeNotRun {
			t.Errorf("%s: %s: %v", row.name, row.value, refusal)
		}
		if row.want == "malformed" && (!strings.Contains(refusal.Detail, row.name) || !strings.Contains(refusal.Detail, row.value)) {
			t.Errorf("detail names neither header nor value: %s", refusal.Detail)
		}
	}
}

// TestFloodLeavesOthersRoom: one caller offers far more than its limits; the
// other is admitted, and every refusal is at once and names a time.
func TestFloodLeavesOthersRoom(t *testing.T) {
	for name, limits := range map[string]api.LimitsSpec{
		"rate":        {RatePerSec: 10, Burst: 5},
		"concurrency": {Concurrency: 5},
		"share":       {},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			w.limits = limits
			w.settings = Settings{MaxInFlight: 8, CallerShare: 5.0 / 8}
			w.start("a", "east", []api.DataCentre{"east"})
			w.hold = make(chan struct{})
			start := time.Now()
			var refused int
			for i := range 50 {
				go func() {
					_, refusal := w.do(context.Background(), call{node: "a", id: fmt.Sprint("f", i), body: "x", caller: "flood", idempotent: true})
					if refusal != nil && refusal.Reason == api.ReasonCallerLimit && refusal.RetryAfter > 0 && time.Since(start) == 0 {
						refused++
					}
				}()
				synctest.Wait()
			}
			var other string
			go func() {
				other = say(w.do(context.Background(), call{node: "a", id: "o", body: "x", caller: "other", idempotent: true}))
			}()
			synctest.Wait()
			close(w.hold)
			time.Sleep(time.Second)
			synctest.Wait()
			if refused != 45 || other != "o=x" {
				t.Errorf("%s: %d refused, the other caller got %q", name, refused, other)
			}
			if got := w.chains["a"].limits.inFlight.Load(); got != 0 {
				t.Errorf("%s: %d still counted in flight", name, got)
			}
		})
	}
}

func TestDrainWaitsForWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a")
		w.hold = make(chan struct{})
		gate := w.chains["a"].Gate()
		ctx, cancel := context.WithCancel(context.Background())
		go w.do(ctx, call{node: "a", id: "id", body: "x"})
		synctest.Wait()
		gate.Drain()
		cancel() // the caller leaves, the request goes on
		synctest.Wait()
		if gate.InFlight() != 1 {
			t.Fatalf("%d in flight", gate.InFlight())
		}
		close(w.hold)
		if err := gate.Wait(t.Context()); err != nil || w.runs["id"] != 1 {
			t.Fatal(err, w.runs)
		}
		w.close()
	})
}
