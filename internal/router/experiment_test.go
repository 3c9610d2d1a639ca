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

// The experiments run a router against model endpoints in virtual time: each
// has slots and faults. Beyond its slots it refuses in-band or, where backlog
// is set, lets requests wait for their turn up to its connections.

const (
	modelSlots    = 8
	modelConns    = 60
	modelMean     = 100 * time.Millisecond
	modelDeadline = 500 * time.Millisecond
	modelAttempts = 3
	modelRetry    = 0.1 // retries per request that the router's callers allow themselves
)

type modelEndpoint struct {
	id      api.EndpointID
	slow    float64
	fails   bool
	leaving bool
	backlog bool
	slots   chan struct{}

	mu      sync.Mutex
	rand    *rand.Rand
	running int
	most    int
	ran     int
}

// run models one attempt. Refusals and failures are immediate.
func (m *modelEndpoint) run(ctx context.Context) Result {
	m.mu.Lock()
	room := modelSlots
	if m.backlog {
		room = modelConns
	}
	if m.leaving || m.running >= room {
		defer m.mu.Unlock()
		return refusedResult(m.id, m.leaving)
	}
	m.running++
	m.ran++
	m.most = max(m.most, m.running)
	vary := 0.5 + m.rand.Float64()
	took := time.Duration(float64(modelMean) * vary * m.slow)
	fails := m.fails
	m.mu.Unlock()
	if fails {
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
	if fails {
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

type experiment struct {
	policy    string
	endpoints int
	backlog   bool
	load      float64 // of the endpoints' capacity
	length    time.Duration
	fault     func([]*modelEndpoint) // applied after a warm-up of a second
}

type tally struct {
	sent, good, failed, late, refused, retries int
	most                                       int
	faultyRan                                  int             // at the first endpoint, after the fault
	waits                                      []time.Duration // of good requests sent after the first second, with the service time
}

// p99 is the time within which 99 of 100 good requests are answered, 0 when
// there are none.
func (s tally) p99() time.Duration {
	if len(s.waits) == 0 {
		return 0
	}
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100].Round(time.Millisecond)
}

// run runs the experiment in a bubble of virtual time.
func (x experiment) run(t *testing.T) tally {
	var result tally
	synctest.Test(t, func(t *testing.T) { result = x.play() })
	return result
}

func (x experiment) play() tally {
	source := rand.New(rand.NewPCG(7, 7))
	router := New(Config{Rand: rand.NewPCG(1, 2)})
	router.SetService("s", api.ServiceSpec{RoutingPolicy: x.policy, QueueTimeoutMs: 500, QueueLength: 2000})
	models := make([]*modelEndpoint, x.endpoints)
	held := make([]HeldEndpoint, x.endpoints)
	byID := make(map[api.EndpointID]*modelEndpoint)
	for i := range models {
		id := api.EndpointID(fmt.Sprintf("e%02d", i))
		models[i] = &modelEndpoint{id: id, slow: 1, backlog: x.backlog, slots: make(chan struct{}, modelSlots), rand: rand.New(rand.NewPCG(3, uint64(i)))}
		byID[id] = models[i]
		held[i] = heldEndpoint(id, "s", modelSlots)
	}
	router.SetEndpoints(time.Now(), held)

	var mu sync.Mutex
	var sum tally
	budget := 10.0
	allow := func() bool { // baseline repeats at will
		mu.Lock()
		defer mu.Unlock()
		if x.policy != PolicyBaseline {
			if budget < 1 {
				return false
			}
			budget--
		}
		sum.retries++
		return true
	}
	start := time.Now()
	one := func() {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), modelDeadline)
		defer cancel()
		outcome := &sum.refused
		var exclude []api.EndpointID
		for attempt := range modelAttempts {
			if attempt > 0 && !allow() {
				break
			}
			ticket, err := router.Acquire(ctx, "s", api.ClassInteractive, "c", exclude)
			if err != nil {
				break
			}
			r := byID[ticket.Endpoint().ID].run(ctx)
			ticket.Done(r)
			if r.Err == nil && r.Status == 200 {
				outcome = &sum.good
				break
			}
			outcome = &sum.failed
			if ctx.Err() != nil {
				outcome = &sum.late
				break
			}
			if r.Err != nil {
				outcome = &sum.refused
			}
			exclude = append(exclude, ticket.Endpoint().ID)
		}
		mu.Lock()
		defer mu.Unlock()
		if x.fault != nil || outcome != &sum.good || time.Since(start) <= x.length {
			*outcome++
		}
		if outcome == &sum.good && sent.Sub(start) > time.Second {
			sum.waits = append(sum.waits, time.Since(sent))
		}
	}

	capacity := float64(x.endpoints*modelSlots) / modelMean.Seconds()
	faulted := false
	var group sync.WaitGroup
	for time.Since(start) < x.length {
		if x.fault != nil && !faulted && time.Since(start) > time.Second {
			faulted = true
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
		sum.sent++
		budget = min(budget+modelRetry, 10)
		mu.Unlock()
		group.Go(one)
		time.Sleep(time.Duration(source.ExpFloat64() / (capacity * x.load) * float64(time.Second)))
	}
	group.Wait()
	sum.faultyRan = models[0].ran
	for _, m := range models {
		sum.most = max(sum.most, m.most)
	}
	return sum
}

func heldEndpoint(id api.EndpointID, service string, slots int) HeldEndpoint {
	ep := api.Endpoint{ID: id, Service: service, Slots: slots, Connections: 60}
	return HeldEndpoint{Endpoint: ep, SlotLimit: slots, Epoch: 1}
}

// Goodput stays near capacity under overload, while the baseline, which
// retries at will, is measured in the same run.
func TestSimulatedGoodputUnderOverload(t *testing.T) {
	const length = 3 * time.Second
	const endpoints = 20
	capacity := endpoints * modelSlots / modelMean.Seconds() * length.Seconds()
	for _, backlog := range []bool{false, true} {
		for _, load := range []float64{1, 1.5, 2, 4} {
			ours := experiment{policy: PolicyLeastLoaded, endpoints: endpoints, backlog: backlog, load: load, length: length}.run(t)
			base := experiment{policy: PolicyBaseline, endpoints: endpoints, backlog: backlog, load: load, length: length}.run(t)
			t.Logf("backlog %v load %.1f: goodput of capacity %.3f, baseline %.3f, ratio %.2f; 99th percentile %v, baseline %v; late %d, baseline %d; retries %d, baseline %d",
				backlog, load, float64(ours.good)/capacity, float64(base.good)/capacity, float64(ours.good)/float64(base.good), ours.p99(), base.p99(), ours.late, base.late, ours.retries, base.retries)
			if float64(ours.good) < 0.9*capacity || ours.late > ours.sent/100 || ours.most > modelSlots || ours.p99() > 3*modelMean {
				t.Errorf("load %.1f: good %d late %d most %d 99th percentile %v", load, ours.good, ours.late, ours.most, ours.p99())
			}
		}
	}
}

// Faults of single endpoints cost few requests against a run without faults.
func TestSimulatedEndpointFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func([]*modelEndpoint)
	}{
		{"none", func([]*modelEndpoint) {}},
		{"one fails everything", func(m []*modelEndpoint) { m[0].fails = true }},
		{"one is 20 times slower", func(m []*modelEndpoint) { m[0].slow = 20 }},
		{"five leave at once", func(m []*modelEndpoint) {
			for _, e := range m[:5] {
				e.leaving = true
			}
		}},
	}
	for _, tc := range cases {
		ours := experiment{policy: PolicyLeastLoaded, endpoints: 50, load: 0.7, length: 4 * time.Second, fault: tc.fault}.run(t)
		base := experiment{policy: PolicyBaseline, endpoints: 50, load: 0.7, length: 4 * time.Second, fault: tc.fault}.run(t)
		t.Logf("%s: of %d lost or late %d (refused %d, failed %d, late %d), retries %d, ran at the faulty one %d; baseline lost or late %d (late %d), retries %d, faulty one %d",
			tc.name, ours.sent, ours.sent-ours.good, ours.refused, ours.failed, ours.late, ours.retries, ours.faultyRan, base.sent-base.good, base.late, base.retries, base.faultyRan)
		if lost := ours.sent - ours.good; lost*1000 > ours.sent {
			t.Errorf("%s: %d of %d lost or late", tc.name, lost, ours.sent)
		}
	}
}
