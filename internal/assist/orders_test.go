package assist

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// takenOrders are executors that keep what they are told, and answer as is set.
type takenOrders struct {
	platform.Executors
	answers map[string]error // by executor

	mu     sync.Mutex
	starts map[string]platform.StartOrder
	stops  map[string]platform.Run
}

func (e *takenOrders) Start(_ context.Context, to platform.ExecutorRef, o platform.StartOrder) (platform.ExecutorClock, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[to.ID+"@"+to.Address] = o
	return 0, e.answers[to.ID]
}

func (e *takenOrders) Stop(_ context.Context, to platform.ExecutorRef, run platform.Run, _ uint64) (platform.ExecutorClock, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stops[to.ID+"@"+to.Address] = run
	return 0, e.answers[to.ID]
}

// relayCaller passes calls through their form on the wire to a handler, or fails.
type relayCaller struct {
	handler *Handler
	err     error
	calls   []string
	bytes   int
}

func (c *relayCaller) Call(_ context.Context, addr, method string, args, reply any) error {
	c.calls = append(c.calls, addr)
	if c.err != nil {
		return c.err
	}
	data, err := cbor.Marshal(args)
	if err != nil {
		return err
	}
	c.bytes += len(data)
	var b OrderBatch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return err
	}
	return c.handler.Orders(&b, reply.(*OrderAnswer))
}

func orderedRun(step, index int) platform.Run {
	return platform.Run{Task: work.TaskKey{StepKey: work.StepKey{Job: work.ID{7}, Step: step}, Index: index}, Number: 3}
}

// Orders reach executors by a machine of their data centre as they were given, and
// what became of each comes back.
func TestRelayDeliversOrdersAndResults(t *testing.T) {
	now := time.Now()
	executors := &takenOrders{
		answers: map[string]error{
			"i-2": &platform.RefusedError{Reason: platform.RefusedTicket},
			"i-3": platform.ErrNotReached,
			"i-4": errors.New("connection reset"),
		},
		starts: make(map[string]platform.StartOrder), stops: make(map[string]platform.Run),
	}
	c := &relayCaller{handler: &Handler{Executors: executors}}
	h := NewPeers("self", nil, c)
	h.HandleAttachment(Attachment{Node: "weak", Address: "weak:1", DataCentre: "z1", Fitness: 0.2}, now)
	h.HandleAttachment(Attachment{Node: "fit", Address: "fit:1", DataCentre: "z1", Fitness: 0.8}, now)
	h.HandleAttachment(Attachment{Node: "far", Address: "far:1", DataCentre: "z2", Fitness: 0.8}, now)
	var starts []StartItem
	for i := 1; i <= 4; i++ {
		starts = append(starts, StartItem{
			To: platform.ExecutorRef{ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.1.0.%d:80", i)},
			Order: platform.StartOrder{
				Run: orderedRun(1, i), Specification: "the work", Checkpoint: fmt.Sprint("c", i),
				LeaseExpiry: platform.ExecutorClock(1000 + i), FencingToken: uint64(12 + i), Ticket: fmt.Sprint("t", i),
			},
		})
	}
	stops := []StopItem{{To: platform.ExecutorRef{ID: "i-1", Address: "10.1.0.1:80"}, Run: orderedRun(0, 9)}}
	errs, sent := h.Relay(t.Context(), "z1", starts, stops, now)
	if !sent || len(errs) != 5 || len(c.calls) != 1 || c.calls[0] != "fit:1" {
		t.Fatalf("sent %v by %v, %d results", sent, c.calls, len(errs))
	}
	for _, s := range starts {
		if got := executors.starts[s.To.ID+"@"+s.To.Address]; got != s.Order {
			t.Errorf("%s got %+v, want %+v", s.To.ID, got, s.Order)
		}
	}
	if got := executors.stops["i-1@10.1.0.1:80"]; got != orderedRun(0, 9) {
		t.Errorf("stop of %+v", got)
	}
	var refused *platform.RefusedError
	if errs[0] != nil || errs[4] != nil || !errors.As(errs[1], &refused) || refused.Reason != platform.RefusedTicket ||
		!errors.Is(errs[2], platform.ErrNotReached) || !errors.Is(errs[3], platform.ErrNoAnswer) {
		t.Errorf("results %v", errs)
	}
}

// The leader sends a job's specification once for all starts in a data centre.
func TestRelayedStartsShareSpecification(t *testing.T) {
	c := &relayCaller{handler: &Handler{Executors: &takenOrders{starts: make(map[string]platform.StartOrder)}}}
	h := NewPeers("self", nil, c)
	h.HandleAttachment(Attachment{Node: "m", Address: "m:1", DataCentre: "z1", Fitness: 0.2}, time.Now())
	const n, specification = 16, 400
	var starts []StartItem
	for i := range n {
		starts = append(starts, StartItem{
			To:    platform.ExecutorRef{ID: "i-5b44dcf645", Address: "10.2.64.20:8685"},
			Order: platform.StartOrder{Run: orderedRun(0, i), Specification: string(make([]byte, specification)), LeaseExpiry: 486000, Ticket: "0123456789abcdef"},
		})
	}
	if _, sent := h.Relay(t.Context(), "z1", starts, nil, time.Now()); !sent {
		t.Fatal("not sent")
	}
	if most := specification + n*80; c.bytes > most {
		t.Errorf("%d starts took %d bytes, want at most %d", n, c.bytes, most)
	}
}

// Where the relay didn't get the orders nothing was sent, and the leader sends them
// itself; where it gave no answer each may have been carried out. Either way
// another machine is taken for a while.
func TestFailedRelay(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		sent bool
	}{
		"not sent":    {peer.ErrNotSent, false},
		"unanswered":  {peer.ErrUncertain, true},
		"an error":    {&peer.RemoteError{Text: "x"}, true},
		"out of time": {context.DeadlineExceeded, true},
	} {
		now := time.Now()
		caller := &relayCaller{err: c.err}
		h := NewPeers("self", nil, caller)
		h.HandleAttachment(Attachment{Node: "a", Address: "a:1", DataCentre: "z1", Fitness: 0.8}, now)
		h.HandleAttachment(Attachment{Node: "b", Address: "b:1", DataCentre: "z1", Fitness: 0.2}, now)
		starts := []StartItem{{To: platform.ExecutorRef{ID: "i"}, Order: platform.StartOrder{Run: orderedRun(0, 0)}}}
		errs, sent := h.Relay(t.Context(), "z1", starts, nil, now)
		if sent != c.sent {
			t.Errorf("%s: sent %v", name, sent)
		}
		if sent && (len(errs) != 1 || !errors.Is(errs[0], platform.ErrNoAnswer)) {
			t.Errorf("%s: results %v", name, errs)
		}
		h.Relay(t.Context(), "z1", starts, nil, now)
		if len(caller.calls) != 2 || caller.calls[1] != "b:1" {
			t.Errorf("%s: asked %v", name, caller.calls)
		}
		if m := h.relayIn("z1", now.Add(distrustFor/2)); m.Address != "" {
			t.Errorf("%s: %s is trusted again", name, m.Node)
		}
	}
}

// A machine that was silent for a while, couldn't lead or is elsewhere is no relay.
func TestIneligibleRelays(t *testing.T) {
	now := time.Now()
	h := NewPeers("self", nil, nil)
	h.HandleAttachment(Attachment{Node: "silent", Address: "s:1", DataCentre: "z1", Fitness: 0.8}, now.Add(-relaySilence))
	h.HandleAttachment(Attachment{Node: "stops", Address: "t:1", DataCentre: "z1"}, now)
	h.HandleAttachment(Attachment{Node: "far", Address: "f:1", DataCentre: "z2", Fitness: 0.8}, now)
	if m := h.relayIn("z1", now); m.Address != "" {
		t.Errorf("%s is a relay", m.Node)
	}
}
