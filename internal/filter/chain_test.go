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

// TestAnswersAfterFailures gives, for each failure, the word to the caller at VM a, the
// word to its repeat at VM b when all is well again, and how often it ran.
func TestAnswersAfterFailures(t *testing.T) {
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
		{"all endpoints refuse", false, map[string][]string{"endpoint": {"refuse", "*"}}, "not-run connect_failed", "not-run connect_failed", 0},
		{"all endpoints refuse, idempotent", true, map[string][]string{"endpoint": {"refuse", "*"}}, "not-run connect_failed", well, 1},
		{"all refuse, not journaled", false, map[string][]string{"endpoint": {"refuse", "*"}, "log": {"", "down"}}, "unknown connect_failed", "unknown answer_lost", 0},
		{"all refuse, journaled without word", false, map[string][]string{"endpoint": {"refuse", "*"}, "log": {"", "landed"}}, "unknown connect_failed", "not-run connect_failed", 0},
		{"answer breaks off", false, map[string][]string{"endpoint": {"broken"}}, "unknown answer_broken", "unknown answer_broken", 1},
		{"answer breaks off, idempotent", true, map[string][]string{"endpoint": {"broken"}}, well, well, 3},
		{"all answers break off, idempotent", true, map[string][]string{"endpoint": {"broken", "*"}}, "unknown answer_broken", well, 4},
		{"refused after one broke off, idempotent", true, map[string][]string{"endpoint": {"lost", "refuse", "refuse"}}, "unknown answer_broken", well, 1},
		{"untyped failure", false, map[string][]string{"endpoint": {"strange"}}, "unknown internal", "unknown internal", 1},
		{"handler panics", false, map[string][]string{"endpoint": {"panic"}}, "unknown internal", "unknown internal", 0},
		{"log down", false, map[string][]string{"log": {"down", "*"}}, "unknown journal_unavailable", well, 1},
		{"log down, idempotent", true, map[string][]string{"log": {"down", "*"}}, well, well, 2},
		{"mark lands without word", false, map[string][]string{"log": {"landed"}}, "unknown journal_unsettled", well, 1},
		{"mark lands, release fails", false, map[string][]string{"log": {"landed", "down"}}, "unknown journal_unsettled", well, 1},
		{"mark lands late", false, map[string][]string{"log": {"late", "down"}}, "unknown journal_unsettled", well, 1},
		{"mark and release land late", false, map[string][]string{"log": {"late", "late"}}, "unknown journal_unsettled", well, 1},
		{"outcome not journaled", false, map[string][]string{"log": {"", "down"}}, well, well, 1},
		{"queue full everywhere", false, map[string][]string{"router": {"queue_full", "*"}}, "unknown queue_full", well, 1},
		{"no chance of a slot", false, map[string][]string{"check": {"queue_full"}, "peer-room": {"none"}}, "unknown queue_full", well, 1},
		{"no chance here, a peer has room", false, map[string][]string{"check": {"queue_full"}}, well, well, 1},
		{"no room here", false, map[string][]string{"room": {"none"}}, well, well, 1},
		{"hold lapses", false, map[string][]string{"hold": {"lapsed"}}, well, well, 1},
		{"hold lapsed for good", false, map[string][]string{"hold": {"lapsed", "*"}}, "unknown hold_unconfirmed", well, 1},
		{"peer's reply lost", false, map[string][]string{"room": {"none"}, "peer": {"lost"}}, "unknown peer_unreachable", "unknown peer_unreachable", 1},
		{"peer unreachable", false, map[string][]string{"room": {"none"}, "peer": {"unreachable"}}, well, well, 1},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b")
				w.fault = failing(row.plan)
				k := call{node: "a", id: "id", body: "x", idempotent: row.idempotent}
				w.says(t, k, row.first)
				synctest.Wait()
				w.fault = failing(nil)
				k.node = "b"
				w.says(t, k, row.repeat)
				w.close()
				same(t, w.count("ran/id"), row.runs)
				same(t, w.count("tickets"), 0)
			})
		})
	}
}

// says makes a call and checks the word that the caller gets.
func (w *world) says(t *testing.T, k call, want string) *api.Refusal {
	t.Helper()
	answer, refusal := w.do(t.Context(), k)
	same(t, say(answer, refusal), want)
	return refusal
}

func same[T comparable](t rapid.TB, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRepeatsWhileRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.hold = make(chan struct{})
		const reused = "unknown request_id_reused" // until the outcome is in the log
		for _, row := range []struct {
			call
			want string
		}{
			{call{node: "a", id: "id", body: "x"}, "id=x"},
			{call{node: "a", id: "id", body: "x"}, "id=x"}, // joins
			{call{node: "b", id: "id", body: "x"}, "id=x"}, // asks a
			{call{node: "a", id: "id", body: "y"}, reused},
			{call{node: "b", id: "id", body: "y"}, reused},
			{call{node: "b", id: "id", body: "x", idempotent: true}, "not-run request_id_reused"},
			{call{node: "a", id: "id2", body: "x"}, "id2=x"},
		} {
			go w.says(t, row.call, row.want)
			synctest.Wait()
		}
		w.spec.TimeoutMs = 200 // of the repeats that follow
		for _, node := range []api.NodeID{"a", "b"} {
			refusal := w.says(t, call{node: node, id: "id2", body: "x"}, "unknown still_running")
			same(t, refusal.RetryAfter, DefaultRetryAfter)
		}
		close(w.hold)
		time.Sleep(time.Second)
		w.close()
		for _, node := range []api.NodeID{"a", "b"} {
			w.says(t, call{node: node, id: "id", body: "y"}, "not-run request_id_reused")
		}
		same(t, fmt.Sprint(w.count("ran/id"), w.count("repeat/joined"), w.count("repeat/from_peer")), "1 2 1")
	})
}

// TestCallerDisconnects: a leaving caller's non-idempotent request goes on, and a
// drain waits for it; an idempotent one is cancelled.
func TestCallerDisconnects(t *testing.T) {
	for _, row := range []struct {
		idempotent  bool
		slots, runs int
		word        string // that nobody is there to hear
	}{{false, 1, 1, "id=x"}, {true, 0, 2, "unknown answer_broken"}} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld("a", "b")
			w.hold = make(chan struct{})
			k := call{node: "a", id: "id", body: "x", idempotent: row.idempotent}
			ctx, cancel := context.WithCancel(t.Context())
			var word string
			go func() { word = say(w.do(ctx, k)) }()
			synctest.Wait()
			cancel()
			w.chains["a"].gate.Drain()
			time.Sleep(10 * time.Millisecond) // the fake executor's own time
			synctest.Wait()
			same(t, w.chains["a"].gate.InFlight(), row.slots)
			same(t, w.count("callers/caller_gone"), 1)
			same(t, w.count("tickets"), row.slots)
			close(w.hold)
			same(t, w.chains["a"].gate.Wait(t.Context()), nil)
			synctest.Wait()
			same(t, word, row.word)
			w.close()
			w.down["a"] = true // a non-idempotent request's answer is in the log
			k.node = "b"
			w.says(t, k, "id=x")
			same(t, w.count("ran/id"), row.runs)
		})
	}
}

func TestRepeatWhenWriterIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		large := strings.Repeat("z", 2000) // its answer is not journaled
		w.says(t, call{node: "a", id: "large", body: large}, "large="+large)
		w.says(t, call{node: "a", id: "small", body: "x"}, "small=x")
		w.close()
		w.down["a"] = true
		w.says(t, call{node: "b", id: "large", body: large}, "unknown holder_lost")
		w.says(t, call{node: "b", id: "small", body: "x"}, "small=x")
		w.start("a", "east", []api.DataCentre{"east"})
		w.says(t, call{node: "a", id: "large", body: large}, "unknown holder_lost")
		w.chains["b"].gate.SetReady(false)
		w.says(t, call{node: "b", id: "small", body: "x"}, "unknown not_ready")
		w.says(t, call{node: "b", id: "new", body: "x"}, "unknown not_ready")
		w.says(t, call{node: "b", idempotent: true}, "not-run not_ready")
		w.fault = failing(map[string][]string{"log": {"slow"}})
		go w.says(t, call{node: "a", id: "slow", body: "x"}, "slow=x")
		synctest.Wait()
		w.chains["a"].gate.Drain()
		w.says(t, call{node: "a", id: "small", body: "x"}, "unknown draining")
		w.says(t, call{node: "a", id: "slow", body: "x"}, "unknown draining") // it is being marked
		time.Sleep(time.Second)
		w.close()
		w.says(t, call{node: "a", id: "new", body: "x"}, "unknown draining")
	})
}

// TestRequestsWhileLogIsUnavailable: a VM that can't read or write the marks rules nothing out.
func TestRequestsWhileLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.fault = failing(map[string][]string{"router": {"queue_full", "*"}, "peer": {"unreachable", "*"}, "log": {"", "slow"}})
		w.says(t, call{node: "a", id: "re", body: "x"}, "unknown queue_full")
		synctest.Wait()
		w.mu.Lock()
		w.logs[1].deaf = true // after the mark, before its release
		w.mu.Unlock()
		w.close()
		w.fault = failing(nil)
		w.says(t, call{node: "a", id: "re", body: "y"}, "re=y")
		w.says(t, call{node: "b", id: "re", body: "y"}, "unknown request_id_reused")
		w.says(t, call{node: "a", id: "id", body: "x"}, "id=x")
		w.close()
		for _, row := range []struct{ id, body, log, want string }{
			{"id", "x", "down", "unknown journal_unavailable"},
			{"id", "y", "down", "unknown journal_unavailable"},
			{"new", "x", "down", "unknown journal_unavailable"},
			{"own", "x", "landed", "unknown journal_unsettled"},
			{"id", "x", "", "id=x"}, // its own mark is rejected
		} {
			w.fault = failing(map[string][]string{"log": {row.log, "down", "down"}})
			w.says(t, call{node: "b", id: row.id, body: row.body}, row.want)
			w.close()
		}
		same(t, w.count("ran/id"), 1)
	})
}

// TestRequestIsNotSentAfterHalfOfRetention: half of the retention after its receipt a request is no
// longer sent, neither here nor by the peer that it was handed to.
func TestRequestIsNotSentAfterHalfOfRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.settings.MarkRetention = 40 * time.Millisecond // the slow log takes 20 ms
		a := w.start("a", "east", []api.DataCentre{"east"})
		for _, room := range []string{"", "none"} {
			k := call{node: "a", id: "old" + room, body: "x"}
			w.fault = failing(map[string][]string{"log": {"slow"}, "room": {room}})
			w.says(t, k, "not-run deadline_passed")
			w.says(t, k, "not-run deadline_passed")
		}
		attempt := ForwardRequest{Kind: ForwardAttempt, Hops: 1, Remaining: time.Second, Mark: &reqkey.Mark{}, Request: api.Request{ID: "id", Service: "svc"}}
		for age, want := range map[time.Duration]string{20 * time.Millisecond: "not-run deadline_passed", 19 * time.Millisecond: "id="} {
			attempt.Age = age
			reply := a.ServeForward(t.Context(), &attempt)
			same(t, say(reply.Answer, reply.Refusal), want)
		}
		w.close()
		same(t, w.count("ran/old")+w.count("ran/oldnone"), 0)
	})
}

// TestPanicInForwardedRequest: it ends the one request, not the entry VM, and leaves
// the request open and its slot free.
func TestPanicInForwardedRequest(t *testing.T) {
	w := newWorld("a")
	w.fault = failing(map[string][]string{"endpoint": {"panic"}})
	reply := w.chains["a"].ServeForward(t.Context(), &ForwardRequest{
		Kind: ForwardAttempt, Hops: 1, Remaining: time.Second, Mark: &reqkey.Mark{}, Request: api.Request{ID: "id", Service: "svc"},
	})
	same(t, say(reply.Answer, reply.Refusal), "unknown internal")
	same(t, w.count("tickets")+w.chains["a"].gate.InFlight(), 0)
}

func TestHomeDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dcs := []api.DataCentre{"east", "west"}
		for i := range 100 { // adding a data centre moves ids to it only
			id, more := fmt.Sprint(i), []api.DataCentre{"west", "north", "east"}
			same(t, HomeOf(id, more) == "north" || HomeOf(id, more) == HomeOf(id, dcs), true)
		}
		w, east := newWorld(), newWorld()
		east.start("east", "east", dcs)
		w.start("west", "west", dcs)
		w.chains["east"] = east.chains["east"] // runs go to the home's executors
		w.says(t, call{node: "west", id: "east/7", body: "x"}, "east/7=x")
		w.says(t, call{node: "west", id: "east/7", body: "x"}, "east/7=x")
		same(t, east.count("ran/east/7"), 1)
		w.fault = failing(map[string][]string{"peer": {"lost"}})
		w.says(t, call{node: "west", id: "east/8", body: "x"}, "unknown peer_unreachable")
		w.down["east"] = true
		w.says(t, call{node: "west", id: "east/8", body: "x"}, "unknown home_unreachable")
		w.says(t, call{node: "west", id: "east/9", body: "x"}, "unknown home_unreachable")
		same(t, east.count("ran/east/9")+w.count("ran/east/7")+w.count("ran/east/8"), 0)
		w.says(t, call{node: "west", id: "east/9", body: "x", idempotent: true}, "east/9=x")
		reply := w.chains["west"].ServeForward(t.Context(), &ForwardRequest{
			Kind: ForwardHome, Hops: 1, Remaining: time.Second, Request: api.Request{ID: "east/1", Service: "svc"},
		})
		same(t, say(nil, reply.Refusal), "unknown home_unreachable")
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
		header := http.Header{row.name: {row.value}}
		_, err := w.chains["a"].Handle(t.Context(), &Exchange{Header: header, Request: &api.Request{Service: "svc"}})
		refusal := asRefusal(err)
		same(t, say(nil, refusal), "not-run "+row.want)
		named := strings.Contains(refusal.Detail, row.name) && strings.Contains(refusal.Detail, row.value)
		same(t, named, row.want == "malformed")
	}
	// Records differ between VMs for a while, so that these rule out nothing.
	w.spec.MaxBodyBytes = 1
	for service, want := range map[string]string{"svc": "too_large", "none": "unknown_service"} {
		for idempotent, word := range map[string]string{"false": "unknown ", "true": "not-run "} {
			header := http.Header{api.HeaderRequestID: {"id"}, api.HeaderIdempotent: {idempotent}}
			_, err := w.chains["a"].Handle(t.Context(), &Exchange{Header: header, Request: &api.Request{Service: service, Body: []byte("xx")}})
			same(t, say(nil, asRefusal(err)), word+want)
		}
	}
}

// TestFloodingCallerDoesNotBlockOthers: one caller offers far more than its limits; the
// other is admitted, and every refusal is at once and names a time.
func TestFloodingCallerDoesNotBlockOthers(t *testing.T) {
	for name, row := range map[string]struct {
		limits   api.LimitsSpec
		settings Settings
		after    time.Duration // Retry-After of the first refusal
	}{
		"rate":        {api.LimitsSpec{RatePerSecond: 10, Burst: 5}, Settings{}, 100 * time.Millisecond},
		"concurrency": {api.LimitsSpec{Concurrency: 5}, Settings{}, DefaultRetryAfter},
		"share":       {api.LimitsSpec{}, Settings{MaxInFlight: 8, CallerShare: 5.0 / 8}, DefaultRetryAfter},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			w.limits, w.settings = row.limits, row.settings
			c := w.start("a", "east", []api.DataCentre{"east"})
			w.hold = make(chan struct{})
			start, refused := time.Now(), 0
			for i := range 50 {
				go func() {
					_, refusal := w.do(t.Context(), call{node: "a", id: fmt.Sprint("f", i), caller: "flood", idempotent: true})
					if refusal != nil && refusal.Reason == api.ReasonCallerLimit && refusal.RetryAfter == row.after && time.Since(start) == 0 {
						refused++
					}
				}()
				synctest.Wait()
			}
			go w.says(t, call{node: "a", id: "o", body: "x", caller: "other", idempotent: true}, "o=x")
			synctest.Wait()
			r := c.Report()
			same(t, fmt.Sprintln(name, refused, r.InFlight, r.Flights, r.Callers[0].Caller, r.Callers[0].InFlight), name+" 45 6 6 flood 5\n")
			close(w.hold)
			time.Sleep(time.Second)
			synctest.Wait()
			r = c.Report()
			same(t, fmt.Sprintln(r.State, r.InFlight, r.Flights, len(r.Callers)), "open 0 0 0\n")
		})
	}
}
