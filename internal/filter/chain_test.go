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

	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// faultPlan returns a fault function that returns each site's listed faults in
// order, and then none. A "*" after a fault repeats it forever.
func faultPlan(plan map[string][]string) func(string) string {
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

// Each case gives a failure, the answer to the caller at VM a, the answer to
// the same request at VM b after the failure has ended, and how often the
// request ran.
func TestAnswersAfterFailures(t *testing.T) {
	const success = "id=x"
	table := []struct {
		name          string
		idempotent    bool
		plan          map[string][]string
		first, repeat string
		runs          int
	}{
		{"no failure", false, nil, success, success, 1},
		{"no failure, idempotent", true, nil, success, success, 2},
		{"one endpoint refuses", false, map[string][]string{"endpoint": {"refuse"}}, success, success, 1},
		{"all endpoints refuse", false, map[string][]string{"endpoint": {"refuse", "*"}}, "not-run connect_failed", "not-run connect_failed", 0},
		{"all endpoints refuse, idempotent", true, map[string][]string{"endpoint": {"refuse", "*"}}, "not-run connect_failed", success, 1},
		{"all endpoints refuse, outcome not journaled", false, map[string][]string{"endpoint": {"refuse", "*"}, "log": {"", "down"}}, "unknown connect_failed", "unknown answer_lost", 0},
		{"all endpoints refuse, outcome journaled without confirmation", false, map[string][]string{"endpoint": {"refuse", "*"}, "log": {"", "landed"}}, "unknown connect_failed", "not-run connect_failed", 0},
		{"answer is cut off", false, map[string][]string{"endpoint": {"broken"}}, "unknown answer_broken", "unknown answer_broken", 1},
		{"answer is cut off, idempotent", true, map[string][]string{"endpoint": {"broken"}}, success, success, 3},
		{"all answers are cut off, idempotent", true, map[string][]string{"endpoint": {"broken", "*"}}, "unknown answer_broken", success, 4},
		{"refused after one answer was cut off, idempotent", true, map[string][]string{"endpoint": {"lost", "refuse", "refuse"}}, "unknown answer_broken", success, 1},
		{"untyped error", false, map[string][]string{"endpoint": {"strange"}}, "unknown internal", "unknown internal", 1},
		{"handler panics", false, map[string][]string{"endpoint": {"panic"}}, "unknown internal", "unknown internal", 0},
		{"log down", false, map[string][]string{"log": {"down", "*"}}, "unknown journal_unavailable", success, 1},
		{"log down, idempotent", true, map[string][]string{"log": {"down", "*"}}, success, success, 2},
		{"mark accepted without confirmation", false, map[string][]string{"log": {"landed"}}, "unknown journal_unsettled", success, 1},
		{"mark accepted without confirmation, release fails", false, map[string][]string{"log": {"landed", "down"}}, "unknown journal_unsettled", success, 1},
		{"mark accepted late", false, map[string][]string{"log": {"late", "down"}}, "unknown journal_unsettled", success, 1},
		{"mark and release accepted late", false, map[string][]string{"log": {"late", "late"}}, "unknown journal_unsettled", success, 1},
		{"outcome not journaled", false, map[string][]string{"log": {"", "down"}}, success, success, 1},
		{"queue full everywhere", false, map[string][]string{"router": {"queue_full", "*"}}, "unknown queue_full", success, 1},
		{"no slot available", false, map[string][]string{"check": {"queue_full"}, "peer-room": {"none"}}, "unknown queue_full", success, 1},
		{"no slot here, a peer has free slots", false, map[string][]string{"check": {"queue_full"}}, success, success, 1},
		{"no free slots here", false, map[string][]string{"room": {"none"}}, success, success, 1},
		{"hold expires", false, map[string][]string{"hold": {"lapsed"}}, success, success, 1},
		{"hold stays expired", false, map[string][]string{"hold": {"lapsed", "*"}}, "unknown hold_unconfirmed", success, 1},
		{"peer's reply lost", false, map[string][]string{"room": {"none"}, "peer": {"lost"}}, "unknown peer_unreachable", "unknown peer_unreachable", 1},
		{"peer unreachable", false, map[string][]string{"room": {"none"}, "peer": {"unreachable"}}, success, success, 1},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster("a", "b")
				w.fault = faultPlan(row.plan)
				k := call{node: "a", id: "id", body: "x", idempotent: row.idempotent}
				w.expectAnswer(t, k, row.first)
				synctest.Wait()
				w.fault = faultPlan(nil)
				k.node = "b"
				w.expectAnswer(t, k, row.repeat)
				w.close()
				expectEqual(t, w.count("ran/id"), row.runs)
				expectEqual(t, w.count("tickets"), 0)
			})
		})
	}
}

// expectAnswer makes a call and checks the answer that the caller gets.
func (w *testCluster) expectAnswer(t *testing.T, k call, want string) *api.Refusal {
	t.Helper()
	answer, refusal := w.send(t.Context(), k)
	expectEqual(t, summarize(answer, refusal), want)
	return refusal
}

func expectEqual[T comparable](t rapid.TB, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRepeatsWhileRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster("a", "b")
		w.blockEndpoint = make(chan struct{})
		const reused = "unknown request_id_reused" // until the outcome is in the log
		for _, row := range []struct {
			call
			want string
		}{
			{call{node: "a", id: "id", body: "x"}, "id=x"},
			{call{node: "a", id: "id", body: "x"}, "id=x"}, // joins the run
			{call{node: "b", id: "id", body: "x"}, "id=x"}, // asks VM a
			{call{node: "a", id: "id", body: "y"}, reused},
			{call{node: "b", id: "id", body: "y"}, reused},
			{call{node: "b", id: "id", body: "x", idempotent: true}, "not-run request_id_reused"},
			{call{node: "a", id: "id2", body: "x"}, "id2=x"},
		} {
			go w.expectAnswer(t, row.call, row.want)
			synctest.Wait()
		}
		w.spec.TimeoutMs = 200 // for the repeats that follow
		for _, node := range []api.NodeID{"a", "b"} {
			refusal := w.expectAnswer(t, call{node: node, id: "id2", body: "x"}, "unknown still_running")
			expectEqual(t, refusal.RetryAfter, DefaultRetryAfter)
		}
		close(w.blockEndpoint)
		time.Sleep(time.Second)
		w.close()
		for _, node := range []api.NodeID{"a", "b"} {
			w.expectAnswer(t, call{node: node, id: "id", body: "y"}, "not-run request_id_reused")
		}
		expectEqual(t, fmt.Sprint(w.count("ran/id"), w.count("repeat/joined"), w.count("repeat/from_peer")), "1 2 1")
	})
}

// After its caller has left, a non-idempotent request continues and a drain
// waits for it, while an idempotent one is cancelled.
func TestCallerDisconnects(t *testing.T) {
	for _, row := range []struct {
		idempotent  bool
		slots, runs int
		answer      string // that the caller no longer receives
	}{{false, 1, 1, "id=x"}, {true, 0, 2, "unknown answer_broken"}} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestCluster("a", "b")
			w.blockEndpoint = make(chan struct{})
			k := call{node: "a", id: "id", body: "x", idempotent: row.idempotent}
			ctx, cancel := context.WithCancel(t.Context())
			var answer string
			go func() { answer = summarize(w.send(ctx, k)) }()
			synctest.Wait()
			cancel()
			w.chains["a"].gate.Drain()
			time.Sleep(10 * time.Millisecond) // the fake executor's own time
			synctest.Wait()
			expectEqual(t, w.chains["a"].gate.InFlight(), row.slots)
			expectEqual(t, w.count("callers/caller_gone"), 1)
			expectEqual(t, w.count("tickets"), row.slots)
			close(w.blockEndpoint)
			expectEqual(t, w.chains["a"].gate.Wait(t.Context()), nil)
			synctest.Wait()
			expectEqual(t, answer, row.answer)
			w.close()
			w.down["a"] = true // a non-idempotent request's answer is in the log
			k.node = "b"
			w.expectAnswer(t, k, "id=x")
			expectEqual(t, w.count("ran/id"), row.runs)
		})
	}
}

func TestRepeatWhenWriterIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster("a", "b")
		large := strings.Repeat("z", 2000) // too large to be journaled
		w.expectAnswer(t, call{node: "a", id: "large", body: large}, "large="+large)
		w.expectAnswer(t, call{node: "a", id: "small", body: "x"}, "small=x")
		w.close()
		w.down["a"] = true
		w.expectAnswer(t, call{node: "b", id: "large", body: large}, "unknown holder_lost")
		w.expectAnswer(t, call{node: "b", id: "small", body: "x"}, "small=x")
		w.start("a", "east", []api.DataCentre{"east"})
		w.expectAnswer(t, call{node: "a", id: "large", body: large}, "unknown holder_lost")
		w.chains["b"].gate.SetReady(false)
		w.expectAnswer(t, call{node: "b", id: "small", body: "x"}, "unknown not_ready")
		w.expectAnswer(t, call{node: "b", id: "new", body: "x"}, "unknown not_ready")
		w.expectAnswer(t, call{node: "b", idempotent: true}, "not-run not_ready")
		w.fault = faultPlan(map[string][]string{"log": {"slow"}})
		go w.expectAnswer(t, call{node: "a", id: "slow", body: "x"}, "slow=x")
		synctest.Wait()
		w.chains["a"].gate.Drain()
		w.expectAnswer(t, call{node: "a", id: "small", body: "x"}, "unknown draining")
		w.expectAnswer(t, call{node: "a", id: "slow", body: "x"}, "unknown draining") // its mark is being written
		time.Sleep(time.Second)
		w.close()
		w.expectAnswer(t, call{node: "a", id: "new", body: "x"}, "unknown draining")
	})
}

// An entry VM that cannot read or write the marks must not answer not-run.
func TestRequestsWhileLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster("a", "b")
		w.fault = faultPlan(map[string][]string{"router": {"queue_full", "*"}, "peer": {"unreachable", "*"}, "log": {"", "slow"}})
		w.expectAnswer(t, call{node: "a", id: "re", body: "x"}, "unknown queue_full")
		synctest.Wait()
		w.mu.Lock()
		w.logs[1].disconnected = true // after the mark, before its release
		w.mu.Unlock()
		w.close()
		w.fault = faultPlan(nil)
		w.expectAnswer(t, call{node: "a", id: "re", body: "y"}, "re=y")
		w.expectAnswer(t, call{node: "b", id: "re", body: "y"}, "unknown request_id_reused")
		w.expectAnswer(t, call{node: "a", id: "id", body: "x"}, "id=x")
		w.close()
		for _, row := range []struct{ id, body, log, want string }{
			{"id", "x", "down", "unknown journal_unavailable"},
			{"id", "y", "down", "unknown journal_unavailable"},
			{"new", "x", "down", "unknown journal_unavailable"},
			{"own", "x", "landed", "unknown journal_unsettled"},
			{"id", "x", "", "id=x"}, // its own mark is rejected
		} {
			w.fault = faultPlan(map[string][]string{"log": {row.log, "down", "down"}})
			w.expectAnswer(t, call{node: "b", id: row.id, body: row.body}, row.want)
			w.close()
		}
		expectEqual(t, w.count("ran/id"), 1)
	})
}

// A request is not sent, neither here nor by the peer that it was forwarded
// to, once half of the retention has elapsed since its receipt.
func TestRequestIsNotSentAfterHalfOfRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster()
		w.settings.MarkRetention = 40 * time.Millisecond // the slow log takes 20 ms
		a := w.start("a", "east", []api.DataCentre{"east"})
		for _, room := range []string{"", "none"} {
			k := call{node: "a", id: "old" + room, body: "x"}
			w.fault = faultPlan(map[string][]string{"log": {"slow"}, "room": {room}})
			w.expectAnswer(t, k, "not-run deadline_passed")
			w.expectAnswer(t, k, "not-run deadline_passed")
		}
		attempt := ForwardRequest{Kind: ForwardAttempt, Hops: 1, Remaining: time.Second, Mark: &reqkey.Mark{}, Request: api.Request{ID: "id", Service: "svc"}}
		for age, want := range map[time.Duration]string{20 * time.Millisecond: "not-run deadline_passed", 19 * time.Millisecond: "id="} {
			attempt.Age = age
			reply := a.ServeForward(t.Context(), &attempt)
			expectEqual(t, summarize(reply.Answer, reply.Refusal), want)
		}
		w.close()
		expectEqual(t, w.count("ran/old")+w.count("ran/oldnone"), 0)
	})
}

// A panic ends only its own request, not the entry VM, and leaves the outcome
// unknown and the slot free.
func TestPanicInForwardedRequest(t *testing.T) {
	w := newTestCluster("a")
	w.fault = faultPlan(map[string][]string{"endpoint": {"panic"}})
	reply := w.chains["a"].ServeForward(t.Context(), &ForwardRequest{
		Kind: ForwardAttempt, Hops: 1, Remaining: time.Second, Mark: &reqkey.Mark{}, Request: api.Request{ID: "id", Service: "svc"},
	})
	expectEqual(t, summarize(reply.Answer, reply.Refusal), "unknown internal")
	expectEqual(t, w.count("tickets")+w.chains["a"].gate.InFlight(), 0)
}

func TestHomeDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dcs := []api.DataCentre{"east", "west"}
		for i := range 100 { // adding a data centre moves IDs only to it
			id, more := fmt.Sprint(i), []api.DataCentre{"west", "north", "east"}
			expectEqual(t, HomeOf(id, more) == "north" || HomeOf(id, more) == HomeOf(id, dcs), true)
		}
		w, east := newTestCluster(), newTestCluster()
		east.start("east", "east", dcs)
		w.start("west", "west", dcs)
		w.chains["east"] = east.chains["east"] // the home's executors run the request
		w.expectAnswer(t, call{node: "west", id: "east/7", body: "x"}, "east/7=x")
		w.expectAnswer(t, call{node: "west", id: "east/7", body: "x"}, "east/7=x")
		expectEqual(t, east.count("ran/east/7"), 1)
		w.fault = faultPlan(map[string][]string{"peer": {"lost"}})
		w.expectAnswer(t, call{node: "west", id: "east/8", body: "x"}, "unknown peer_unreachable")
		w.down["east"] = true
		w.expectAnswer(t, call{node: "west", id: "east/8", body: "x"}, "unknown home_unreachable")
		w.expectAnswer(t, call{node: "west", id: "east/9", body: "x"}, "unknown home_unreachable")
		expectEqual(t, east.count("ran/east/9")+w.count("ran/east/7")+w.count("ran/east/8"), 0)
		w.expectAnswer(t, call{node: "west", id: "east/9", body: "x", idempotent: true}, "east/9=x")
		reply := w.chains["west"].ServeForward(t.Context(), &ForwardRequest{
			Kind: ForwardHome, Hops: 1, Remaining: time.Second, Request: api.Request{ID: "east/1", Service: "svc"},
		})
		expectEqual(t, summarize(nil, reply.Refusal), "unknown home_unreachable")
		w.close()
		east.close()
	})
}

func TestHeadersAreChecked(t *testing.T) {
	w := newTestCluster("a")
	for _, row := range []struct{ name, value, want string }{
		{api.HeaderIdempotent, "yes", "malformed"},
		{api.HeaderTimeout, "0", "malformed"},
		{api.HeaderTimeout, "1e3", "malformed"},
		{api.HeaderClass, "gang", "malformed"},
		{api.HeaderRequestID, "two words", "malformed"},
		{api.HeaderRequestID, strings.Repeat("x", maxIDLength+1), "malformed"},
		{"Other", "x", "request_id_missing"},
	} {
		header := http.Header{row.name: {row.value}}
		_, err := w.chains["a"].Handle(t.Context(), &Exchange{Header: header, Request: &api.Request{Service: "svc"}})
		refusal := asRefusal(err)
		expectEqual(t, summarize(nil, refusal), "not-run "+row.want)
		named := strings.Contains(refusal.Detail, row.name) && strings.Contains(refusal.Detail, row.value)
		expectEqual(t, named, row.want == "malformed")
	}
	// Records may differ between VMs for a while, so these refusals do not
	// rule out a run elsewhere.
	w.spec.MaxBodyBytes = 1
	for service, want := range map[string]string{"svc": "too_large", "none": "unknown_service"} {
		for idempotent, prefix := range map[string]string{"false": "unknown ", "true": "not-run "} {
			header := http.Header{api.HeaderRequestID: {"id"}, api.HeaderIdempotent: {idempotent}}
			_, err := w.chains["a"].Handle(t.Context(), &Exchange{Header: header, Request: &api.Request{Service: service, Body: []byte("xx")}})
			expectEqual(t, summarize(nil, asRefusal(err)), prefix+want)
		}
	}
}

// One caller sends far more than its limits allow. The other caller is
// admitted, and every refusal is immediate and has a retry delay.
func TestFloodingCallerDoesNotBlockOthers(t *testing.T) {
	for name, row := range map[string]struct {
		limits   api.LimitsSpec
		settings Settings
		after    time.Duration // retry delay of the first refusal
	}{
		"rate":        {api.LimitsSpec{RatePerSecond: 10, Burst: 5}, Settings{}, 100 * time.Millisecond},
		"concurrency": {api.LimitsSpec{Concurrency: 5}, Settings{}, DefaultRetryAfter},
		"share":       {api.LimitsSpec{}, Settings{MaxInFlight: 8, CallerShare: 5.0 / 8}, DefaultRetryAfter},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestCluster()
			w.limits, w.settings = row.limits, row.settings
			c := w.start("a", "east", []api.DataCentre{"east"})
			w.blockEndpoint = make(chan struct{})
			start, refused := time.Now(), 0
			for i := range 50 {
				go func() {
					_, refusal := w.send(t.Context(), call{node: "a", id: fmt.Sprint("f", i), caller: "flood", idempotent: true})
					if refusal != nil && refusal.Reason == api.ReasonCallerLimit && refusal.RetryAfter == row.after && time.Since(start) == 0 {
						refused++
					}
				}()
				synctest.Wait()
			}
			go w.expectAnswer(t, call{node: "a", id: "o", body: "x", caller: "other", idempotent: true}, "o=x")
			synctest.Wait()
			r := c.Report()
			expectEqual(t, fmt.Sprintln(name, refused, r.InFlight, r.Flights, r.Callers[0].Caller, r.Callers[0].InFlight), name+" 45 6 6 flood 5\n")
			close(w.blockEndpoint)
			time.Sleep(time.Second)
			synctest.Wait()
			r = c.Report()
			expectEqual(t, fmt.Sprintln(r.State, r.InFlight, r.Flights, len(r.Callers)), "open 0 0 0\n")
		})
	}
}
