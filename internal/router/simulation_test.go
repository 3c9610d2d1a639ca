package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// The simulations run a router against model endpoints in virtual time. Each
// model endpoint has slots and may have faults. Beyond its slots it refuses
// requests in its answer or, if queues is set, queues them up to its
// connection limit.
const (
	modelSlots      = 8
	modelConns      = 60
	modelMean       = 100 * time.Millisecond
	modelDeadline   = 500 * time.Millisecond
	modelAttempts   = 3
	modelRetryRatio = 0.1 // retries per request that the router's callers allow themselves
)

type modelEndpoint struct {
	id       api.EndpointID
	slowdown float64
	failing  bool
	leaving  bool
	queues   bool
	slots    chan struct{}

	mu         sync.Mutex
	rand       *rand.Rand
	running    int
	maxRunning int
	ran        int
}

// run simulates one attempt. Refusals and failures are immediate.
func (m *modelEndpoint) run(ctx context.Context) Result {
	m.mu.Lock()
	limit := modelSlots
	if m.queues {
		limit = modelConns
	}
	if m.leaving || m.running >= limit {
		defer m.mu.Unlock()
		return refusedResult(m.id, m.leaving)
	}
	m.running++
	m.ran++
	m.maxRunning = max(m.maxRunning, m.running)
	variation := 0.5 + m.rand.Float64()
	took := time.Duration(float64(modelMean) * variation * m.slowdown)
	failing := m.failing
	m.mu.Unlock()
	if failing {
		took = time.Millisecond
	}
	start := time.Now()
	m.slots <- struct{}{}
	time.Sleep(took)
	<-m.slots
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	r := Result{Latency: time.Since(start), Status: 200, Feedback: platform.Feedback{SlotsBusy: -1}}
	if failing {
		r.Status = 500
	}
	if ctx.Err() != nil {
		r.Status = 0
		r.Err = &platform.AttemptError{Certainty: platform.MayHaveRun, Reason: api.ReasonAnswerTimeout}
	}
	return r
}

func refusedResult(id api.EndpointID, leaving bool) Result {
	return Result{
		Err:      &platform.AttemptError{Certainty: platform.CertainNotRun, Reason: api.ReasonEndpointRefused, Endpoint: id},
		Feedback: platform.Feedback{SlotsBusy: modelSlots, Leaving: leaving},
	}
}

type simulation struct {
	policy    string
	endpoints int
	queues    bool
	load      float64 // multiple of the endpoints' capacity
	duration  time.Duration
	fault     func([]*modelEndpoint) // applied after a warm-up of one second
}

type simulationResult struct {
	sent, good, failed, late, refused, retries int
	maxRunning                                 int
	ranOnFaulty                                int             // runs on the first endpoint, after the fault
	latencies                                  []time.Duration // of successful requests sent after the first second, including service time
}

// p99 returns the 99th percentile of the latency of successful requests, 0
// when there are none.
func (s simulationResult) p99() time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)*99/100].Round(time.Millisecond)
}

// run runs the simulation in virtual time.
func (x simulation) run(t *testing.T) simulationResult {
	var result simulationResult
	synctest.Test(t, func(t *testing.T) { result = x.simulate() })
	return result
}

func (x simulation) simulate() simulationResult {
	source := rand.New(rand.NewPCG(7, 7))
	router := New(Config{Rand: rand.NewPCG(1, 2)})
	router.SetService("s", api.ServiceSpec{RoutingPolicy: x.policy, QueueTimeoutMs: 500, QueueLength: 2000})
	models := make([]*modelEndpoint, x.endpoints)
	held := make([]HeldEndpoint, x.endpoints)
	byID := make(map[api.EndpointID]*modelEndpoint)
	for i := range models {
		id := api.EndpointID(fmt.Sprintf("e%02d", i))
		models[i] = &modelEndpoint{id: id, slowdown: 1, queues: x.queues, slots: make(chan struct{}, modelSlots), rand: rand.New(rand.NewPCG(3, uint64(i)))}
		byID[id] = models[i]
		held[i] = heldEndpoint(id, "s", modelSlots)
	}
	router.SetEndpoints(time.Now(), held)

	var mu sync.Mutex
	var counts simulationResult
	budget := 10.0
	mayRetry := func() bool { // the baseline retries without a budget
		mu.Lock()
		defer mu.Unlock()
		if x.policy != PolicyBaseline {
			if budget < 1 {
				return false
			}
			budget--
		}
		counts.retries++
		return true
	}
	start := time.Now()
	sendRequest := func() {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), modelDeadline)
		defer cancel()
		outcome := &counts.refused
		var exclude []api.EndpointID
		for attempt := range modelAttempts {
			if attempt > 0 && !mayRetry() {
				break
			}
			ticket, err := router.Acquire(ctx, "s", api.ClassInteractive, "c", exclude)
			if err != nil {
				break
			}
			r := byID[ticket.Endpoint().ID].run(ctx)
			ticket.Done(r)
			if r.Err == nil && r.Status == 200 {
				outcome = &counts.good
				break
			}
			outcome = &counts.failed
			if ctx.Err() != nil {
				outcome = &counts.late
				break
			}
			if r.Err != nil {
				outcome = &counts.refused
			}
			exclude = append(exclude, ticket.Endpoint().ID)
		}
		mu.Lock()
		defer mu.Unlock()
		if x.fault != nil || outcome != &counts.good || time.Since(start) <= x.duration {
			*outcome++
		}
		if outcome == &counts.good && sent.Sub(start) > time.Second {
			counts.latencies = append(counts.latencies, time.Since(sent))
		}
	}

	capacity := float64(x.endpoints*modelSlots) / modelMean.Seconds()
	faultApplied := false
	var group sync.WaitGroup
	for time.Since(start) < x.duration {
		if x.fault != nil && !faultApplied && time.Since(start) > time.Second {
			faultApplied = true
			for _, m := range models {
				m.mu.Lock()
			}
			x.fault(models)
			models[0].ran = 0
			for _, m := range models {
				m.mu.Unlock()
			}
		}
		mu.Lock()
		counts.sent++
		budget = min(budget+modelRetryRatio, 10)
		mu.Unlock()
		group.Go(sendRequest)
		time.Sleep(time.Duration(source.ExpFloat64() / (capacity * x.load) * float64(time.Second)))
	}
	group.Wait()
	counts.ranOnFaulty = models[0].ran
	for _, m := range models {
		counts.maxRunning = max(counts.maxRunning, m.maxRunning)
	}
	return counts
}

func heldEndpoint(id api.EndpointID, service string, slots int) HeldEndpoint {
	ep := api.Endpoint{ID: id, Service: service, Slots: slots, Connections: 60}
	return HeldEndpoint{Endpoint: ep, SlotLimit: slots, Epoch: 1}
}

// Goodput stays near capacity under overload. The baseline, which retries
// without a budget, is measured in the same test.
func TestSimulatedGoodputUnderOverload(t *testing.T) {
	const duration = 3 * time.Second
	const endpoints = 20
	capacity := endpoints * modelSlots / modelMean.Seconds() * duration.Seconds()
	for _, queues := range []bool{false, true} {
		for _, load := range []float64{1, 1.5, 2, 4} {
			routed := simulation{policy: PolicyLeastLoaded, endpoints: endpoints, queues: queues, load: load, duration: duration}.run(t)
			baseline := simulation{policy: PolicyBaseline, endpoints: endpoints, queues: queues, load: load, duration: duration}.run(t)
			t.Logf("endpoints queue: %v, load %.1f: goodput of capacity %.3f, baseline %.3f, ratio %.2f; 99th percentile %v, baseline %v; late %d, baseline %d; retries %d, baseline %d",
				queues, load, float64(routed.good)/capacity, float64(baseline.good)/capacity, float64(routed.good)/float64(baseline.good), routed.p99(), baseline.p99(), routed.late, baseline.late, routed.retries, baseline.retries)
			if float64(routed.good) < 0.9*capacity || routed.late > routed.sent/100 || routed.maxRunning > modelSlots || routed.p99() > 3*modelMean {
				t.Errorf("load %.1f: good %d, late %d, max running %d, 99th percentile %v", load, routed.good, routed.late, routed.maxRunning, routed.p99())
			}
		}
	}
}

// Faults of single endpoints cost at most one request in a thousand. The case without a
// fault shows how many requests are lost anyway.
func TestSimulatedEndpointFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func([]*modelEndpoint)
	}{
		{"no fault", func([]*modelEndpoint) {}},
		{"one endpoint fails all requests", func(m []*modelEndpoint) { m[0].failing = true }},
		{"one endpoint is 20 times slower", func(m []*modelEndpoint) { m[0].slowdown = 20 }},
		{"five endpoints leave at once", func(m []*modelEndpoint) {
			for _, e := range m[:5] {
				e.leaving = true
			}
		}},
	}
	for _, tc := range cases {
		routed := simulation{policy: PolicyLeastLoaded, endpoints: 50, load: 0.7, duration: 4 * time.Second, fault: tc.fault}.run(t)
		baseline := simulation{policy: PolicyBaseline, endpoints: 50, load: 0.7, duration: 4 * time.Second, fault: tc.fault}.run(t)
		t.Logf("%s: of %d requests %d not successful (refused %d, failed %d, late %d), retries %d, runs on the faulty endpoint %d; baseline not successful %d (late %d), retries %d, runs on the faulty endpoint %d",
			tc.name, routed.sent, routed.sent-routed.good, routed.refused, routed.failed, routed.late, routed.retries, routed.ranOnFaulty, baseline.sent-baseline.good, baseline.late, baseline.retries, baseline.ranOnFaulty)
		if lost := routed.sent - routed.good; lost*1000 > routed.sent {
			t.Errorf("%s: %d of %d requests not successful", tc.name, lost, routed.sent)
		}
	}
}
