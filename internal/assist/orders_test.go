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

// recordingExecutors records the orders that executors receive and answers as configured.
type recordingExecutors struct {
	platform.Executors
	answers map[string]error // by executor ID

	mu     sync.Mutex
	starts map[string]platform.StartOrder
	stops  map[string]platform.Run
}

func (e *recordingExecutors) Start(_ context.Context, to platform.ExecutorRef, o platform.StartOrder) (platform.ExecutorClock, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[to.ID+"@"+to.Address] = o
	return 0, e.answers[to.ID]
}

func (e *recordingExecutors) Stop(_ context.Context, to platform.ExecutorRef, run platform.Run, _ uint64) (platform.ExecutorClock, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stops[to.ID+"@"+to.Address] = run
	return 0, e.answers[to.ID]
}

// relayCaller passes calls in their encoded form to a handler, or fails.
type relayCaller struct {
	handler *Handler
	err     error
	calls   []string
	bytes   int // total size of the encoded calls
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

func testRun(step, index int) platform.Run {
	return platform.Run{Task: work.TaskKey{StepKey: work.StepKey{Job: work.ID{7}, Step: step}, Index: index}, Number: 3}
}

// Orders reach the executors of a data centre unchanged through a machine there, and the result of
// each order is returned.
func TestRelayDeliversOrdersAndResults(t *testing.T) {
	now := time.Now()
	executors := &recordingExecutors{
		answers: map[string]error{
			"i-2": &platform.RefusedError{Reason: platform.RefusedTicket},
			"i-3": platform.ErrNotReached,
			"i-4": errors.New("connection reset"),
		},
		starts: make(map[string]platform.StartOrder), stops: make(map[string]platform.Run),
	}
	c := &relayCaller{handler: &Handler{Executors: executors}}
	peers := NewPeers("self", nil, c)
	peers.HandleAttachment(Attachment{Node: "weak", Address: "weak:1", DataCentre: "z1", Fitness: 0.2}, now)
	peers.HandleAttachment(Attachment{Node: "fit", Address: "fit:1", DataCentre: "z1", Fitness: 0.8}, now)
	peers.HandleAttachment(Attachment{Node: "far", Address: "far:1", DataCentre: "z2", Fitness: 0.8}, now)
	var starts []StartItem
	for i := 1; i <= 4; i++ {
		starts = append(starts, StartItem{
			To: platform.ExecutorRef{ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.1.0.%d:80", i)},
			Order: platform.StartOrder{
				Run: testRun(1, i), Specification: "the work", Checkpoint: fmt.Sprint("c", i),
				LeaseExpiry: platform.ExecutorClock(1000 + i), FencingToken: uint64(12 + i), Ticket: fmt.Sprint("t", i),
			},
		})
	}
	stops := []StopItem{{To: platform.ExecutorRef{ID: "i-1", Address: "10.1.0.1:80"}, Run: testRun(0, 9)}}
	errs, relayed := peers.Relay(t.Context(), "z1", starts, stops, now)
	if !relayed || len(errs) != 5 || len(c.calls) != 1 || c.calls[0] != "fit:1" {
		t.Fatalf("relayed %v through %v, %d results", relayed, c.calls, len(errs))
	}
	for _, s := range starts {
		if got := executors.starts[s.To.ID+"@"+s.To.Address]; got != s.Order {
			t.Errorf("%s received %+v, want %+v", s.To.ID, got, s.Order)
		}
	}
	if got := executors.stops["i-1@10.1.0.1:80"]; got != testRun(0, 9) {
		t.Errorf("received a stop of %+v", got)
	}
	var refused *platform.RefusedError
	if errs[0] != nil || errs[4] != nil || !errors.As(errs[1], &refused) || refused.Reason != platform.RefusedTicket ||
		!errors.Is(errs[2], platform.ErrNotReached) || !errors.Is(errs[3], platform.ErrNoAnswer) {
		t.Errorf("results %v", errs)
	}
}

// The leader sends a job's specification once for all starts in a data centre.
func TestRelayedStartsShareSpecification(t *testing.T) {
	c := &relayCaller{handler: &Handler{Executors: &recordingExecutors{starts: make(map[string]platform.StartOrder)}}}
	peers := NewPeers("self", nil, c)
	peers.HandleAttachment(Attachment{Node: "m", Address: "m:1", DataCentre: "z1", Fitness: 0.2}, time.Now())
	const n, specificationBytes = 16, 400
	var starts []StartItem
	for i := range n {
		starts = append(starts, StartItem{
			To:    platform.ExecutorRef{ID: "i-5b44dcf645", Address: "10.2.64.20:8685"},
			Order: platform.StartOrder{Run: testRun(0, i), Specification: string(make([]byte, specificationBytes)), LeaseExpiry: 486000, Ticket: "0123456789abcdef"},
		})
	}
	if _, relayed := peers.Relay(t.Context(), "z1", starts, nil, time.Now()); !relayed {
		t.Fatal("not relayed")
	}
	if maxBytes := specificationBytes + n*80; c.bytes > maxBytes {
		t.Errorf("%d starts took %d bytes, want at most %d", n, c.bytes, maxBytes)
	}
}

// If the relay did not receive the orders, nothing was sent, and the leader sends them itself. If the
// relay gave no answer, each order may have been carried out. In both cases another machine relays
// for a while.
func TestFailedRelay(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		relayed bool
	}{
		"not sent":   {peer.ErrNotSent, false},
		"unanswered": {peer.ErrUncertain, true},
		"an error":   {&peer.RemoteError{Text: "x"}, true},
		"timeout":    {context.DeadlineExceeded, true},
	} {
		now := time.Now()
		caller := &relayCaller{err: c.err}
		peers := NewPeers("self", nil, caller)
		peers.HandleAttachment(Attachment{Node: "a", Address: "a:1", DataCentre: "z1", Fitness: 0.8}, now)
		peers.HandleAttachment(Attachment{Node: "b", Address: "b:1", DataCentre: "z1", Fitness: 0.2}, now)
		starts := []StartItem{{To: platform.ExecutorRef{ID: "i"}, Order: platform.StartOrder{Run: testRun(0, 0)}}}
		errs, relayed := peers.Relay(t.Context(), "z1", starts, nil, now)
		if relayed != c.relayed {
			t.Errorf("%s: relayed %v", name, relayed)
		}
		if relayed && (len(errs) != 1 || !errors.Is(errs[0], platform.ErrNoAnswer)) {
			t.Errorf("%s: results %v", name, errs)
		}
		peers.Relay(t.Context(), "z1", starts, nil, now)
		if len(caller.calls) != 2 || caller.calls[1] != "b:1" {
			t.Errorf("%s: called %v", name, caller.calls)
		}
		if m := peers.relayFor("z1", now.Add(relaySuspension/2)); m.Address != "" {
			t.Errorf("%s: %s relays again", name, m.Node)
		}
	}
}

// A machine that has been silent for a while, cannot lead or is in another data centre is no relay.
func TestIneligibleRelays(t *testing.T) {
	now := time.Now()
	peers := NewPeers("self", nil, nil)
	peers.HandleAttachment(Attachment{Node: "silent", Address: "s:1", DataCentre: "z1", Fitness: 0.8}, now.Add(-relaySilenceLimit))
	peers.HandleAttachment(Attachment{Node: "stops", Address: "t:1", DataCentre: "z1"}, now)
	peers.HandleAttachment(Attachment{Node: "far", Address: "f:1", DataCentre: "z2", Fitness: 0.8}, now)
	if m := peers.relayFor("z1", now); m.Address != "" {
		t.Errorf("%s is a relay", m.Node)
	}
}
