package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/platform"
)

func testRouter(held ...HeldEndpoint) *Router {
	r := New(Config{Rand: rand.NewPCG(1, 2)})
	r.SetEndpoints(time.Now(), held)
	return r
}

func mustAcquire(t *testing.T, r *Router, caller string, exclude ...api.EndpointID) *Ticket {
	t.Helper()
	ticket, err := r.Acquire(t.Context(), "s", api.ClassInteractive, caller, exclude)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func wantRefusal(t *testing.T, err error, reason api.Reason) *api.Refusal {
	t.Helper()
	var refusal *api.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != reason || refusal.Outcome != api.OutcomeNotRun {
		t.Fatalf("error %v, want refusal %s", err, reason)
	}
	return refusal
}

var okResult = Result{Status: 200, Latency: 100 * time.Millisecond, Feedback: platform.Feedback{SlotsBusy: -1}}

// One caller floods the service while others send a few requests.
func TestFairnessBetweenCallersAndClasses(t *testing.T) {
	cases := []struct {
		name               string
		share              float64
		interactive, batch int // requests of callers a and b
		wantA, wantB       int // minimum of the 30 grants after the flood's first 8
	}{
		// One in five grants goes to batch, the others alternate between the
		// two callers.
		{"round-robin and weights", 1, 10, 10, 10, 5},
		// The flood's requests take ten times as long, so round-robin alone
		// would give it nearly all slots. It may use 4 of 8 while caller a
		// waits.
		{"share of the slots", 0.5, 30, 0, 22, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := testRouter(heldEndpoint("e1", "s", 4), heldEndpoint("e2", "s", 4))
				r.SetService("s", api.ServiceSpec{QueueLength: 60, QueueTimeoutMs: 60_000, CallerShare: tc.share})
				granted := make(chan string, 1000)
				send := func(count int, caller string, class api.Class, took time.Duration) {
					for range count {
						go func() {
							ticket, err := r.Acquire(t.Context(), "s", class, caller, nil)
							if err != nil {
								return // evicted from the full queue
							}
							granted <- caller
							time.Sleep(took)
							ticket.Done(okResult)
						}()
					}
					synctest.Wait()
				}
				send(200, "flood", api.ClassInteractive, time.Second)
				send(tc.interactive, "a", api.ClassInteractive, 100*time.Millisecond)
				send(tc.batch, "b", api.ClassBatch, 100*time.Millisecond)
				time.Sleep(time.Minute)
				count := make(map[string]int)
				for i := range 8 + 30 {
					if caller := <-granted; i >= 8 {
						count[caller]++
					}
				}
				if count["a"] < tc.wantA || count["b"] < tc.wantB {
					t.Errorf("grants %v, want at least %d of a and %d of b", count, tc.wantA, tc.wantB)
				}
			})
		})
	}
}

// Waiters are dropped as soon as their time has elapsed, with a retry delay.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRouter(heldEndpoint("e1", "s", 1))
		r.SetService("s", api.ServiceSpec{QueueLength: 2, QueueTimeoutMs: 300})
		for range 50 { // the service takes 100 ms
			mustAcquire(t, r, "a").Done(okResult)
		}
		held := mustAcquire(t, r, "a")
		acquire := func(timeout time.Duration) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			start := time.Now()
			predicted := r.Check(ctx, "s", api.ClassInteractive, "a")
			_, err := r.Acquire(ctx, "s", api.ClassInteractive, "a", nil)
			took := time.Since(start)
			if immediate := err != nil && took == 0; immediate != (predicted != nil) {
				t.Errorf("Check returned %v, Acquire returned %v after %v", predicted, err, took)
			}
			return took, err
		}
		took, err := acquire(50 * time.Millisecond)
		refusal := wantRefusal(t, err, api.ReasonDeadlineUnmeetable)
		if took != 0 || refusal.RetryAfter < 40*time.Millisecond {
			t.Errorf("refused after %v, retry after %v", took, refusal.RetryAfter)
		}
		took, err = acquire(350 * time.Millisecond)
		wantRefusal(t, err, api.ReasonDeadlineUnmeetable)
		if took <= 0 || took > 250*time.Millisecond {
			t.Errorf("dropped after %v, want a drop before the deadline can't be met", took)
		}
		for range 2 {
			go func() { _, _ = acquire(time.Hour) }()
		}
		synctest.Wait()
		took, err = acquire(time.Hour)
		wantRefusal(t, err, api.ReasonQueueFull)
		if took != 0 {
			t.Errorf("refused after %v", took)
		}
		time.Sleep(time.Second)
		took, err = acquire(time.Hour)
		wantRefusal(t, err, api.ReasonNoSlot)
		if took != 300*time.Millisecond {
			t.Errorf("dropped after %v", took)
		}
		// Requests of 20 ms and of 2 s share the service. A short request with a
		// timeout of 900 ms waits for a slot although the upper bound of the
		// service's latency is longer, because its caller knows how much time
		// it needs.
		r.SetEndpoints(time.Now(), []HeldEndpoint{heldEndpoint("e1", "s", 1), heldEndpoint("e2", "s", 15)})
		for i := range 200 {
			took := []time.Duration{20 * time.Millisecond, 2 * time.Second}[i%2]
			mustAcquire(t, r, "a").Done(Result{Status: 200, Latency: took, Feedback: platform.Feedback{SlotsBusy: -1}})
		}
		for range 15 {
			defer mustAcquire(t, r, "a").Release()
		}
		took, err = acquire(900 * time.Millisecond)
		wantRefusal(t, err, api.ReasonNoSlot)
		if took != 300*time.Millisecond {
			t.Errorf("short request dropped after %v", took)
		}
		held.Release()
		_, err = r.Acquire(t.Context(), "unknown", api.ClassBatch, "a", nil)
		wantRefusal(t, err, api.ReasonNoEndpoint)
	})
}

// However many endpoints fail, only the bounded share is ejected. Each ejected
// endpoint gets one probe at a time, in growing intervals, and is restored
// when it works.
func TestEjectionIsBoundedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var held []HeldEndpoint
		for i := range 10 {
			held = append(held, heldEndpoint(api.EndpointID(fmt.Sprint("e", i)), "s", 8))
		}
		var mu sync.Mutex
		probes := make(map[api.EndpointID][]time.Duration)
		events := make(map[EventType]int)
		start := time.Now()
		r := New(Config{Rand: rand.NewPCG(1, 2), OnEvent: func(e Event) {
			mu.Lock()
			defer mu.Unlock()
			events[e.Type]++
			if e.Type == EventProbed {
				probes[e.Endpoint] = append(probes[e.Endpoint], time.Since(start))
			}
		}})
		r.SetEndpoints(time.Now(), held)
		failing := make(map[api.EndpointID]bool)
		source, failureRate := rand.New(rand.NewPCG(5, 6)), 0.2
		maxEjected := 0
		sendRequest := func() {
			ticket := mustAcquire(t, r, "a")
			time.Sleep(100 * time.Millisecond)
			result := okResult
			mu.Lock()
			fails := source.Float64() < failureRate
			mu.Unlock()
			if fails || failing[ticket.Endpoint().ID] {
				result.Err = &platform.AttemptError{Certainty: platform.MayHaveRun, Reason: api.ReasonAnswerBroken}
			}
			ticket.Done(result)
		}
		runRounds := func(rounds, concurrent int) {
			for range rounds {
				var group sync.WaitGroup
				for range concurrent {
					group.Go(sendRequest)
				}
				group.Wait()
				maxEjected = max(maxEjected, ejected(r))
			}
		}
		runRounds(400, 50)
		if maxEjected != 0 {
			t.Errorf("ejected %d for requests that fail on all endpoints", maxEjected)
		}
		failureRate = 0
		for _, h := range held[:5] {
			failing[h.Endpoint.ID] = true
		}
		runRounds(300, 50)
		if maxEjected != 3 || len(probes) != 3 {
			t.Errorf("ejected %d at once, want 3 of 10; probes at %v", maxEjected, probes)
		}
		for _, at := range probes {
			for i := 2; i < len(at); i++ {
				if at[i]-at[i-1] < 3*(at[i-1]-at[i-2])/2 {
					t.Errorf("probes at %v, want growing intervals", at)
				}
			}
		}
		clear(failing)
		runRounds(1200, 10)
		if ejected(r) != 0 || events[EventRestored] != 3 {
			t.Errorf("events %v, ejected %d, want all three restored", events, ejected(r))
		}
	})
}

func ejected(r *Router) int {
	view, _ := r.Explain("s")
	count := 0
	for _, e := range view.Endpoints {
		if e.Ejected {
			count++
		}
	}
	return count
}

// Refusals and reports of an endpoint that it is leaving take effect
// immediately, and an outdated endpoint list does not revert the latter.
func TestLeavingAndRefusalsApplyImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := []HeldEndpoint{heldEndpoint("e1", "s", 8), heldEndpoint("e2", "s", 8)}
		r := testRouter(held...)
		time.Sleep(time.Second)
		mustAcquire(t, r, "a", "e2").Done(refusedResult("e1", true))
		if contacts := r.Contacts(); len(contacts) != 1 || !contacts[0].Answered || !contacts[0].At.Equal(time.Now()) {
			t.Errorf("contacts %+v", contacts)
		}
		r.SetEndpoints(time.Now(), held)
		mustAcquire(t, r, "a", "e1").Done(refusedResult("e2", false))
		if free := r.Free("s"); free != 0 {
			t.Errorf("free slots %d, want 0 with one endpoint leaving and one blocked after a refusal", free)
		}
		start := time.Now()
		ticket := mustAcquire(t, r, "a")
		if waited := time.Since(start); ticket.Endpoint().ID != "e2" || waited < DefaultRefusalBackoff {
			t.Errorf("got endpoint %s after %v", ticket.Endpoint().ID, waited)
		}
		ticket.Done(okResult)
		held[1].Endpoint.Leaving = true
		r.SetEndpoints(time.Now(), held)
		_, err := r.Acquire(t.Context(), "s", api.ClassInteractive, "a", nil)
		wantRefusal(t, err, api.ReasonNoEndpoint)
	})
}

// After the hold has expired, only the expired slot limit remains. Tickets
// beyond it are no longer valid, and a released endpoint is idle when its last
// ticket is done.
func TestHoldExpiresAndEndpointIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := heldEndpoint("e1", "s", 8)
		h.SlotLimitExpiry, h.ExpiredSlotLimit = time.Now().Add(time.Second), 2
		r := testRouter(h)
		tickets := make([]*Ticket, 3)
		for i := range tickets {
			tickets[i] = mustAcquire(t, r, "a")
		}
		time.Sleep(2 * time.Second)
		if tickets[0].Valid(time.Now()) || r.Free("s") != 0 {
			t.Error("three tickets are valid after the hold has expired, with a limit of two")
		}
		tickets[2].Done(Result{Status: 200, Latency: 2 * time.Second, Feedback: platform.Feedback{SlotsBusy: -1}})
		if !tickets[0].Valid(time.Now()) {
			t.Error("ticket within the expired slot limit is not valid")
		}
		h.SlotLimitExpiry, h.ExpiredSlotLimit, h.SlotLimit = time.Time{}, 0, 0
		r.SetEndpoints(time.Now(), []HeldEndpoint{h})
		_, err := r.Acquire(t.Context(), "s", api.ClassInteractive, "a", nil)
		wantRefusal(t, err, api.ReasonHoldUnconfirmed)
		r.SetEndpoints(time.Now(), nil)
		idle := make(chan error, 1)
		go func() { idle <- r.WaitIdle(t.Context(), []api.EndpointID{"e1"}) }()
		tickets[0].Done(okResult)
		synctest.Wait()
		if len(idle) != 0 || r.InFlight() != 1 || tickets[1].Valid(time.Now()) {
			t.Errorf("idle %d, in flight %d", len(idle), r.InFlight())
		}
		tickets[1].Done(okResult)
		tickets[1].Done(okResult)
		if err := <-idle; err != nil || r.InFlight() != 0 {
			t.Errorf("idle: %v, in flight %d", err, r.InFlight())
		}
	})
}

func TestConfigFindingsAreCollected(t *testing.T) {
	var findings finding.List
	Config{EjectShare: 2, QueueTime: -1}.Validate("router", &findings)
	if len(findings.Findings) != 2 {
		t.Errorf("findings: %v", findings.Err())
	}
}

// Guards against endpoints that get no request for as long as another one, which was measured first, is
// a little faster than the average: few requests, one after the other, all went there.
func TestUntriedEndpointsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRouter(heldEndpoint("e1", "s", 8), heldEndpoint("e2", "s", 8), heldEndpoint("e3", "s", 8), heldEndpoint("e4", "s", 8))
		used := make(map[api.EndpointID]int)
		latency := 300 * time.Millisecond
		for range 8 {
			ticket := mustAcquire(t, r, "a")
			used[ticket.Endpoint().ID]++
			time.Sleep(latency)
			result := okResult
			result.Latency = latency
			ticket.Done(result)
			latency -= 10 * time.Millisecond
		}
		if len(used) != 4 {
			t.Errorf("requests by endpoint %v, want some at each", used)
		}
	})
}

// Guards against a new endpoint that gets all requests at once before anything is known of it.
func TestUntriedEndpointGetsOneRequestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := testRouter(heldEndpoint("e1", "s", 8))
		for range 20 {
			mustAcquire(t, r, "a").Done(okResult)
		}
		r.SetEndpoints(time.Now(), []HeldEndpoint{heldEndpoint("e1", "s", 8), heldEndpoint("e2", "s", 8)})
		used := make(map[api.EndpointID]int)
		for range 8 {
			used[mustAcquire(t, r, "a").Endpoint().ID]++
		}
		if used["e1"] < 3 || used["e2"] < 1 {
			t.Errorf("requests at once by endpoint %v, want them spread", used)
		}
	})
}
