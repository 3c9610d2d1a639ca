package assist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Orders to executors go by a machine of their data centre, the relay: starts of
// one job share its specification on the leader's link.

// Timing of relayed orders.
const (
	// OrderTimeout bounds one order, whoever sends it; executors answer within a few
	// milliseconds.
	OrderTimeout = 250 * time.Millisecond
	// relayTimeout bounds a batch, which is answered with its last order.
	relayTimeout = 350 * time.Millisecond
	// distrustFor is for how long a machine is no relay that gave no answer. A
	// machine that is gone is forgotten after attachedFor.
	distrustFor = 3 * time.Second
	// relaySilence is the age of a machine's last sign of life above which it is
	// no relay.
	relaySilence = time.Second
)

// StartItem is a start in a batch.
type StartItem struct {
	To    platform.ExecutorRef
	Order platform.StartOrder
}

// StopItem is a stop in a batch.
type StopItem struct {
	To    platform.ExecutorRef
	Run   platform.Run
	Token uint64 // fencing token
}

// OrderBatch is the form of orders between processes.
type OrderBatch struct {
	_              struct{} `cbor:",toarray"`
	Specifications []string
	Starts         []PackedStart
	Stops          []PackedStop
}

// PackedStart is a start in an OrderBatch.
type PackedStart struct {
	_             struct{} `cbor:",toarray"`
	Executor      string
	Address       string
	Task          PackedTask
	Specification int // index into the batch's
	Checkpoint    string
	LeaseUntil    int64
	Token         uint64
	Ticket        string
}

// PackedStop is a stop in an OrderBatch.
type PackedStop struct {
	_        struct{} `cbor:",toarray"`
	Executor string
	Address  string
	Task     PackedTask
	Token    uint64
}

// PackedTask names a run of a task.
type PackedTask struct {
	_          struct{} `cbor:",toarray"`
	Job        work.ID
	Occurrence int
	Step       int
	Index      int
	Run        uint32
}

func packTask(r platform.Run) PackedTask {
	k := r.Task
	return PackedTask{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: k.Index, Run: r.Number}
}

func (p PackedTask) run() platform.Run {
	step := work.StepKey{Job: p.Job, Occurrence: p.Occurrence, Step: p.Step}
	return platform.Run{Task: work.TaskKey{StepKey: step, Index: p.Index}, Number: p.Run}
}

func packOrders(starts []StartItem, stops []StopItem) *OrderBatch {
	b := &OrderBatch{}
	places := make(map[string]int)
	for _, s := range starts {
		place, known := places[s.Order.Specification]
		if !known {
			place = len(b.Specifications)
			places[s.Order.Specification] = place
			b.Specifications = append(b.Specifications, s.Order.Specification)
		}
		b.Starts = append(b.Starts, PackedStart{
			Executor: s.To.ID, Address: s.To.Address, Task: packTask(s.Order.Run), Specification: place,
			Checkpoint: s.Order.Checkpoint, LeaseUntil: int64(s.Order.LeaseExpiry), Token: s.Order.FencingToken, Ticket: s.Order.Ticket,
		})
	}
	for _, s := range stops {
		b.Stops = append(b.Stops, PackedStop{Executor: s.To.ID, Address: s.To.Address, Task: packTask(s.Run), Token: s.Token})
	}
	return b
}

// OrderOutcome says what became of an order.
type OrderOutcome uint8

const (
	orderUnanswered OrderOutcome = iota // it may have been carried out, or may be later
	orderTaken
	orderNotSent
	orderRefused
)

// OrderResult says what became of one order.
type OrderResult struct {
	_       struct{} `cbor:",toarray"`
	Outcome OrderOutcome
	Reason  platform.Refusal // with orderRefused
}

// OrderAnswer holds the results of starts and then of stops, in their order.
type OrderAnswer struct {
	_       struct{} `cbor:",toarray"`
	Results []OrderResult
}

func resultOf(err error) OrderResult {
	var refused *platform.RefusedError
	switch {
	case err == nil:
		return OrderResult{Outcome: orderTaken}
	case errors.As(err, &refused):
		return OrderResult{Outcome: orderRefused, Reason: refused.Reason}
	case errors.Is(err, platform.ErrNotReached):
		return OrderResult{Outcome: orderNotSent}
	default:
		return OrderResult{}
	}
}

func (r OrderResult) err() error {
	switch r.Outcome {
	case orderTaken:
		return nil
	case orderRefused:
		return &platform.RefusedError{Reason: r.Reason}
	case orderNotSent:
		return platform.ErrNotReached
	default:
		return platform.ErrNoAnswer
	}
}

// Orders sends orders to executors for the leader.
func (h *Handler) Orders(b *OrderBatch, reply *OrderAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), OrderTimeout)
	defer cancel()
	reply.Results = make([]OrderResult, len(b.Starts)+len(b.Stops))
	var calls sync.WaitGroup
	for i, s := range b.Starts {
		if s.Specification < 0 || s.Specification >= len(b.Specifications) {
			return errors.New("assist: start without its specification")
		}
		order := platform.StartOrder{
			Run: s.Task.run(), Specification: b.Specifications[s.Specification], Checkpoint: s.Checkpoint,
			LeaseExpiry: platform.ExecutorClock(s.LeaseUntil), FencingToken: s.Token, Ticket: s.Ticket,
		}
		calls.Go(func() {
			_, err := h.Executors.Start(ctx, platform.ExecutorRef{ID: s.Executor, Address: s.Address}, order)
			reply.Results[i] = resultOf(err)
		})
	}
	for i, s := range b.Stops {
		calls.Go(func() {
			_, err := h.Executors.Stop(ctx, platform.ExecutorRef{ID: s.Executor, Address: s.Address}, s.Task.run(), s.Token)
			reply.Results[len(b.Starts)+i] = resultOf(err)
		})
	}
	calls.Wait()
	return nil
}

// Relay sends orders of one data centre by a machine there, and returns what
// became of each start and then of each stop. It returns false, and nothing was
// sent, if there is no such machine or it didn't get them.
func (h *Peers) Relay(ctx context.Context, centre string, starts []StartItem, stops []StopItem, now time.Time) ([]error, bool) {
	m := h.relayIn(api.DataCentre(centre), now)
	if m.Address == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var answer OrderAnswer
	err := h.caller.Call(ctx, m.Address, methodOrders, packOrders(starts, stops), &answer)
	n := len(starts) + len(stops)
	if err != nil {
		h.distrust(m.Node, now)
	}
	if errors.Is(err, peer.ErrNotSent) {
		return nil, false
	}
	errs := make([]error, n)
	for i := range errs {
		errs[i] = platform.ErrNoAnswer
		if err == nil && len(answer.Results) == n {
			errs[i] = answer.Results[i].err()
		}
	}
	return errs, true
}

// relayIn returns the relay of a data centre: the fittest machine there. Its
// address is empty if there is none.
func (h *Peers) relayIn(centre api.DataCentre, now time.Time) Attachment {
	h.mu.Lock()
	defer h.mu.Unlock()
	var there []*helper
	for _, m := range h.machines {
		if m.centre == centre && m.address != "" && m.fitness > 0 && now.Sub(m.seen) < relaySilence && now.After(m.distrusted) {
			there = append(there, m)
		}
	}
	if len(there) == 0 {
		return Attachment{}
	}
	best := slices.MinFunc(there, func(a, b *helper) int {
		switch {
		case a.fitness > b.fitness:
			return -1
		case a.fitness < b.fitness:
			return 1
		default:
			return strings.Compare(string(a.node), string(b.node))
		}
	})
	return Attachment{Node: best.node, Address: best.address}
}

// distrust has a machine be no relay for a while.
func (h *Peers) distrust(node api.NodeID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.machines[node]; m != nil {
		m.distrusted = now.Add(distrustFor)
	}
}
