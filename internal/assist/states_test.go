package assist

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// When all machines of a large cell have restarted, those that know the states of jobs double with each
// round, and none serves more than a few at a time.
func TestStatesSpreadWithoutHerd(t *testing.T) {
	const machines, round = 588, 400 * time.Millisecond
	now := time.Unix(1000, 0)
	p := NewPeers("leader", nil, nil)
	attach := func(i int, fitness float64) {
		node := fmt.Sprintf("m%04d", i)
		p.HandleAttachment(Attachment{Node: api.NodeID(node), Address: node, DataCentre: api.DataCentre(fmt.Sprint(i % 6)), Fitness: fitness}, now)
	}
	waiting := make(map[int]bool)
	for i := range machines {
		attach(i, 0)
		waiting[i] = true
	}
	rounds := 0
	for ; len(waiting) > 0 && rounds < 50; rounds++ {
		served := make(map[string]int)
		var done []int
		for i := range machines {
			if !waiting[i] {
				continue
			}
			if source, free := p.StatesSource(api.NodeID(fmt.Sprintf("m%04d", i)), api.DataCentre(fmt.Sprint(i%6)), now); free {
				served[source]++
				done = append(done, i)
			}
		}
		for source, n := range served {
			if n > maxStatesReaders {
				t.Fatalf("round %d: %q serves %d machines at a time", rounds, source, n)
			}
		}
		now = now.Add(round)
		for i := range machines {
			if !waiting[i] {
				attach(i, 1)
			}
		}
		for _, i := range done {
			delete(waiting, i)
			attach(i, 1)
		}
	}
	if rounds > 7 { // 3^6 machines know the states after six rounds
		t.Errorf("all machines know the states after %d rounds", rounds)
	}
}

// statesReceiver knows the states of one job in each part, or none.
type statesReceiver struct {
	Receiver
	complete bool
}

func (r statesReceiver) States(part int) (platform.Offset, []work.Summary, bool) {
	return platform.Offset(10 + part), []work.Summary{{ID: work.ID{7: byte(part)}, Queue: "q", State: work.Running}}, r.complete
}

// handlerCaller calls handlers by their address.
type handlerCaller map[string]*Handler

func (c handlerCaller) Call(_ context.Context, address, _ string, args, reply any) error {
	h := c[address]
	if h == nil {
		return errors.New("no answer")
	}
	return h.States(args.(*StatesRequest), reply.(*StatesAnswer))
}

func TestFetchStates(t *testing.T) {
	now := time.Now()
	leader := func(epoch api.Epoch, complete bool, sources ...string) *Handler {
		peers := NewPeers("leader", nil, nil)
		for _, s := range sources {
			peers.HandleAttachment(Attachment{Node: api.NodeID(s), Address: s, DataCentre: "dc", Fitness: 1}, now)
		}
		return &Handler{LeadingEpoch: func() api.Epoch { return epoch }, Peers: peers, Receiver: statesReceiver{complete: complete}}
	}
	follower := func(complete bool) *Handler { return leader(0, complete) }
	for name, c := range map[string]struct {
		machines handlerCaller
		want     StatesOutcome
	}{
		"from the leader":                  {handlerCaller{"leader": leader(3, true)}, StatesFetched},
		"from the machine that it names":   {handlerCaller{"leader": leader(3, false, "m"), "m": follower(true)}, StatesFetched},
		"the leader doesn't know them yet": {handlerCaller{"leader": leader(3, false)}, StatesPending},
		"the named machine has restarted":  {handlerCaller{"leader": leader(3, true, "m"), "m": follower(false)}, StatesPending},
		"the named machine doesn't answer": {handlerCaller{"leader": leader(3, true, "m")}, StatesPending},
		"the called machine doesn't lead":  {handlerCaller{"leader": follower(true)}, StatesUnavailable},
		"the leader doesn't answer":        {handlerCaller{}, StatesUnavailable},
	} {
		var jobs []work.Summary
		outcome := FetchStates(t.Context(), c.machines, "leader", Attachment{Node: "new", DataCentre: "dc"}, func(_ platform.Offset, part []work.Summary) {
			jobs = append(jobs, part...)
		})
		if outcome != c.want || outcome == StatesFetched && len(jobs) != replica.StateParts {
			t.Errorf("%s: outcome %d, want %d, with %d jobs", name, outcome, c.want, len(jobs))
		}
	}
}
