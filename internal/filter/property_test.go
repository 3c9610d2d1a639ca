package filter

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// faults lists the possible failures of each interface.
var faults = map[string][]string{
	"log":       {"down", "late", "landed", "lost", "slow"},
	"endpoint":  {"refuse", "refuse", "refuse", "broken", "lost", "strange"},
	"router":    {"queue_full", "no_endpoint", "deadline_passed"},
	"check":     {"queue_full"},
	"hold":      {"lapsed"},
	"room":      {"none"},
	"lag":       {"behind"},
	"peer":      {"unreachable", "lost"},
	"peer-room": {"none"},
}

// scenario is a generated run: batches of concurrent calls.
type scenario struct {
	seed           uint64
	failureRate    float64 // probability of a failure at each call of an interface
	maxKeptBytes   int64   // Settings.MaxKeptBytes
	maxConcurrency int     // maximum requests of a caller in flight on one VM, 0 for no limit
	batches        [][]call
	restarts       []api.NodeID // before the batch with the same index; "" for none
}

var scenarioGenerator = rapid.Custom(func(t *rapid.T) scenario {
	s := scenario{
		seed:           rapid.Uint64().Draw(t, "seed"),
		failureRate:    rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.6}).Draw(t, "rate"),
		maxKeptBytes:   rapid.SampledFrom([]int64{0, 1}).Draw(t, "kept"),
		maxConcurrency: rapid.IntRange(0, 1).Draw(t, "limit"),
	}
	node := rapid.SampledFrom([]api.NodeID{"a", "b", "c"})
	for range rapid.IntRange(1, 6).Draw(t, "batches") {
		s.restarts = append(s.restarts, rapid.SampledFrom([]api.NodeID{"", "", "", "a", "b"}).Draw(t, "restart"))
		s.batches = append(s.batches, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) call {
			id := rapid.IntRange(0, 3).Draw(t, "id")
			return call{
				node:       node.Draw(t, "node"),
				id:         fmt.Sprint("id", id),
				body:       rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
				idempotent: id == 3,
			}
		}), 1, 4).Draw(t, "batch"))
	}
	return s
})

// runScenario runs s and returns the violations of the guarantees.
func runScenario(s scenario, inject func(*Chain)) (violations []string) {
	w := newTestCluster()
	w.settings.MaxKeptBytes = s.maxKeptBytes
	w.limits.Concurrency = s.maxConcurrency
	for _, node := range []api.NodeID{"a", "b", "c"} {
		inject(w.start(node, "east", []api.DataCentre{"east"}))
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.seed, 1))
	w.fault = func(site string) string {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= s.failureRate {
			return ""
		}
		return faults[site][random.IntN(len(faults[site]))]
	}
	expect := func(ok bool, format string, args ...any) {
		if !ok {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	notRun := make(map[string]bool)        // receipts
	never := make(map[string]*api.Refusal) // non-idempotent requests answered not-run
	for i, batch := range s.batches {
		if node := s.restarts[i]; node != "" {
			inject(w.start(node, "east", []api.DataCentre{"east"}))
		}
		var wg sync.WaitGroup
		for j, k := range batch {
			k.receipt = fmt.Sprint(i, "/", j)
			wg.Go(func() {
				answer, refusal := w.send(context.Background(), k)
				ran := w.count("ran/"+k.id+"="+k.body) > 0
				mu.Lock()
				defer mu.Unlock()
				if answer != nil {
					expect(ran && string(answer.Body) == k.id+"="+k.body, "%+v was answered %q, but ran is %t", k, answer.Body, ran)
					return
				}
				notRun[k.receipt] = refusal.Outcome == api.OutcomeNotRun
				if notRun[k.receipt] && !k.idempotent {
					never[k.id+"="+k.body] = refusal
				}
			})
		}
		wg.Wait()
	}
	w.close()
	for receipt, answeredNotRun := range notRun {
		expect(!answeredNotRun || w.count("receipt/"+receipt) == 0, "%s was answered not-run, but it ran", receipt)
	}
	for request, refusal := range never { // includes copies that ran before or after, at any VM
		expect(w.count("ran/"+request) == 0, "%s was answered %v, but it ran", request, refusal)
	}
	for _, id := range []string{"id0", "id1", "id2"} { // non-idempotent
		expect(w.count("ran/"+id) <= 1, "%s ran %d times", id, w.count("ran/"+id))
	}
	expect(w.count("tickets") == 0, "%d tickets were not released", w.count("tickets"))
	return violations
}

// init fixes the seed of the property tests.
func init() { _ = flag.Set("rapid.seed", "20260101") }

func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenarioGenerator.Draw(rt, "scenario")
		synctest.Test(t, func(*testing.T) { expectEqual(rt, fmt.Sprint(runScenario(s, func(*Chain) {})), "[]") })
	})
}

// keysAcceptingEveryMark is an injected fault: it accepts every mark as the
// first.
type keysAcceptingEveryMark struct{ Keys }

func (k keysAcceptingEveryMark) Lookup(string) (reqkey.State, bool) { return reqkey.State{}, false }

func (k keysAcceptingEveryMark) Mark(_ context.Context, id string, digest uint64) (reqkey.Mark, error) {
	return reqkey.Mark{ID: id, Digest: digest, Writer: k.Self()}, nil
}

// keysAcceptingUnsettled is an injected fault: it accepts an unconfirmed mark
// as its own.
type keysAcceptingUnsettled struct{ Keys }

func (k keysAcceptingUnsettled) Mark(ctx context.Context, id string, digest uint64) (reqkey.Mark, error) {
	mark, err := k.Keys.Mark(ctx, id, digest)
	if err == journal.ErrUnsettled {
		err = nil
	}
	return mark, err
}

// keysFreeingNotRun is an injected fault: it releases the ID of a request that
// was not run instead of recording the outcome.
type keysFreeingNotRun struct{ Keys }

func (k keysFreeingNotRun) RecordOutcome(ctx context.Context, mark reqkey.Mark, answer *api.Answer, refusal *api.Refusal) error {
	if refusal != nil && refusal.Outcome == api.OutcomeNotRun {
		return k.Release(ctx, mark)
	}
	return k.Keys.RecordOutcome(ctx, mark, answer, refusal)
}

// refuseCopyNotRun is an injected fault: it answers not-run for a copy that
// was refused before it was marked.
func refuseCopyNotRun(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		answer, err := next(ctx, x)
		if err != nil && asRefusal(err).Reason == api.ReasonJournalUnavailable {
			err = api.NotRun(api.ReasonJournalUnavailable, 0, "injected")
		}
		return answer, err
	}
}

// endpointDenyingRuns is an injected fault: it reports every failed attempt as
// not run.
type endpointDenyingRuns struct{ Endpoint }

func (e endpointDenyingRuns) Attempt(ctx context.Context, ep api.Endpoint, epoch api.Epoch, req *api.Request, n int64) (*api.Answer, platform.Feedback, error) {
	answer, feedback, err := e.Endpoint.Attempt(ctx, ep, epoch, req, n)
	if err != nil {
		err = &platform.AttemptError{Certainty: platform.CertainNotRun, Reason: api.ReasonConnectFailed, Cause: err}
	}
	return answer, feedback, err
}

func TestPropertyDetectsInjectedFaults(t *testing.T) {
	injectors := map[string]func(*Chain){
		"second mark accepted":               func(c *Chain) { c.deps.Keys = keysAcceptingEveryMark{c.deps.Keys} },
		"unsettled mark accepted":            func(c *Chain) { c.deps.Keys = keysAcceptingUnsettled{c.deps.Keys} },
		"ID of request not run is freed":     func(c *Chain) { c.deps.Keys = keysFreeingNotRun{c.deps.Keys} },
		"refused copy answered not-run":      func(c *Chain) { c.callerHandler = refuseCopyNotRun(c.callerHandler) },
		"failed attempt reported as not run": func(c *Chain) { c.deps.Endpoint = endpointDenyingRuns{c.deps.Endpoint} },
	}
	for name, inject := range injectors {
		found := false
		for seed := uint64(0); seed < 5000 && !found; seed++ {
			s := scenario{seed: seed, failureRate: 0.3, restarts: make([]api.NodeID, 6)}
			for i := range 6 {
				s.batches = append(s.batches, []call{{node: api.NodeID("abc"[i%3 : i%3+1]), id: "id0", body: "x"}})
			}
			synctest.Test(t, func(*testing.T) { found = len(runScenario(s, inject)) > 0 })
		}
		expectEqual(t, fmt.Sprint(name, " found: ", found), name+" found: true")
	}
}
