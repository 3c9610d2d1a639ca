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

// faults are the failures drawn at each interface.
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

// scenario is a drawn run: batches of calls made at once.
type scenario struct {
	seed     uint64
	rate     float64 // of failures
	kept     int64   // Settings.MaxKeptBytes
	limit    int     // requests of the caller in flight on one VM, 0 for any
	batches  [][]call
	restarts []api.NodeID // before the batch of the same index; "" for none
}

var drawScenario = rapid.Custom(func(t *rapid.T) scenario {
	s := scenario{
		seed:  rapid.Uint64().Draw(t, "seed"),
		rate:  rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.6}).Draw(t, "rate"),
		kept:  rapid.SampledFrom([]int64{0, 1}).Draw(t, "kept"),
		limit: rapid.IntRange(0, 1).Draw(t, "limit"),
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

// play runs s and returns what broke the rules.
func play(s scenario, plant func(*Chain)) (broken []string) {
	w := newWorld()
	w.settings.MaxKeptBytes = s.kept
	w.limits.Concurrency = s.limit
	for _, node := range []api.NodeID{"a", "b", "c"} {
		plant(w.start(node, "east", []api.DataCentre{"east"}))
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.seed, 1))
	w.fault = func(site string) string {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= s.rate {
			return ""
		}
		return faults[site][random.IntN(len(faults[site]))]
	}
	expect := func(ok bool, format string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	notRun := make(map[string]bool)        // receipts
	never := make(map[string]*api.Refusal) // non-idempotent requests told not-run
	for i, batch := range s.batches {
		if node := s.restarts[i]; node != "" {
			plant(w.start(node, "east", []api.DataCentre{"east"}))
		}
		var wg sync.WaitGroup
		for j, k := range batch {
			k.receipt = fmt.Sprint(i, "/", j)
			wg.Go(func() {
				answer, refusal := w.do(context.Background(), k)
				ran := w.count("ran/"+k.id+"="+k.body) > 0
				mu.Lock()
				defer mu.Unlock()
				if answer != nil {
					expect(ran && string(answer.Body) == k.id+"="+k.body, "%+v was answered %q, ran: %t", k, answer.Body, ran)
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
	for receipt, said := range notRun {
		expect(!said || w.count("receipt/"+receipt) == 0, "not-run was said of %s, which ran", receipt)
	}
	for request, refusal := range never { // no copy, before or after, at any VM
		expect(w.count("ran/"+request) == 0, "%s: %v, but it ran", request, refusal)
	}
	for _, id := range []string{"id0", "id1", "id2"} { // non-idempotent
		expect(w.count("ran/"+id) <= 1, "%s ran %d times", id, w.count("ran/"+id))
	}
	expect(w.count("tickets") == 0, "%d tickets not given back", w.count("tickets"))
	return broken
}

// init fixes the seed of the property tests.
func init() { _ = flag.Set("rapid.seed", "20260101") }

func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario.Draw(rt, "scenario")
		synctest.Test(t, func(*testing.T) { same(rt, fmt.Sprint(play(s, func(*Chain) {})), "[]") })
	})
}

// trusting takes every mark for the first: the planted fault.
type trusting struct{ Keys }

func (k trusting) Lookup(string) (reqkey.State, bool) { return reqkey.State{}, false }

func (k trusting) Mark(_ context.Context, id string, digest uint64) (reqkey.Mark, error) {
	return reqkey.Mark{ID: id, Digest: digest, Writer: k.Self()}, nil
}

// eager takes an unconfirmed mark for its own.
type eager struct{ Keys }

func (k eager) Mark(ctx context.Context, id string, digest uint64) (reqkey.Mark, error) {
	mark, err := k.Keys.Mark(ctx, id, digest)
	if err == journal.ErrUnsettled {
		err = nil
	}
	return mark, err
}

// reviving frees the id of a request that was not run instead of closing it.
type reviving struct{ Keys }

func (k reviving) RecordOutcome(ctx context.Context, mark reqkey.Mark, answer *api.Answer, refusal *api.Refusal) error {
	if refusal != nil && refusal.Outcome == api.OutcomeNotRun {
		return k.Release(ctx, mark)
	}
	return k.Keys.RecordOutcome(ctx, mark, answer, refusal)
}

// ownCopyOnly says not-run of a copy that was turned away.
func ownCopyOnly(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		answer, err := next(ctx, x)
		if err != nil && asRefusal(err).Reason == api.ReasonJournalUnavailable {
			err = api.NotRun(api.ReasonJournalUnavailable, 0, "planted")
		}
		return answer, err
	}
}

// lying says of every failed attempt that it was not run.
type lying struct{ Endpoint }

func (l lying) Attempt(ctx context.Context, ep api.Endpoint, epoch api.Epoch, req *api.Request, n int64) (*api.Answer, platform.Feedback, error) {
	answer, feedback, err := l.Endpoint.Attempt(ctx, ep, epoch, req, n)
	if err != nil {
		err = &platform.AttemptError{Certainty: platform.CertainNotRun, Reason: api.ReasonConnectFailed, Cause: err}
	}
	return answer, feedback, err
}

func TestPropertyDetectsInjectedFaults(t *testing.T) {
	plants := map[string]func(*Chain){
		"second mark accepted":      func(c *Chain) { c.deps.Keys = trusting{c.deps.Keys} },
		"unsettled mark accepted":   func(c *Chain) { c.deps.Keys = eager{c.deps.Keys} },
		"id not run, freed again":   func(c *Chain) { c.deps.Keys = reviving{c.deps.Keys} },
		"copy turned away not run":  func(c *Chain) { c.whole = ownCopyOnly(c.whole) },
		"failure taken for not run": func(c *Chain) { c.deps.Endpoint = lying{c.deps.Endpoint} },
	}
	for name, plant := range plants {
		found := false
		for seed := uint64(0); seed < 5000 && !found; seed++ {
			s := scenario{seed: seed, rate: 0.3, restarts: make([]api.NodeID, 6)}
			for i := range 6 {
				s.batches = append(s.batches, []call{{node: api.NodeID("abc"[i%3 : i%3+1]), id: "id0", body: "x"}})
			}
			synctest.Test(t, func(*testing.T) { found = len(play(s, plant)) > 0 })
		}
		same(t, fmt.Sprint(name, " found: ", found), name+" found: true")
	}
}
