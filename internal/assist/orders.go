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

// Orders to executors are relayed by a machine of their data centre, so that the starts of one job
// share its specification on the leader's link.

// Timing of relayed orders.
const (
	// OrderTimeout bounds one order, whichever machine sends it; executors answer within a
	// few milliseconds.
	OrderTimeout = 250 * time.Millisecond
	// relayTimeout bounds a batch, which is answered once its last order is.
	relayTimeout = 350 * time.Millisecond
	// relaySuspension is how long a machine that gave no answer does not relay orders. A
	// machine that has left is forgotten after attachmentTTL.
	relaySuspension = 3 * time.Second
	// relaySilenceLimit is how long a machine may be silent before it no longer relays orders.
	relaySilenceLimit = time.Second
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
	Token uint64 // the fencing token
}

// OrderBatch is the form in which orders are sent between processes.
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
	Specification int // index into OrderBatch.Specifications
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

// PackedTask identifies a run of a task.
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
	indexes := make(map[string]int)
	for _, s := range starts {
		index, known := indexes[s.Order.Specification]
		if !known {
			index = len(b.Specifications)
			indexes[s.Order.Specification] = index
			b.Specifications = append(b.Specifications, s.Order.Specification)
		}
		b.Starts = append(b.Starts, PackedStart{
			Executor: s.To.ID, Address: s.To.Address, Task: packTask(s.Order.Run), Specification: index,
			Checkpoint: s.Order.Checkpoint, LeaseUntil: int64(s.Order.LeaseExpiry), Token: s.Order.FencingToken, Ticket: s.Order.Ticket,
		})
	}
	for _, s := range stops {
		b.Stops = append(b.Stops, PackedStop{Executor: s.To.ID, Address: s.To.Address, Task: packTask(s.Run), Token: s.Token})
	}
	return b
}

// OrderOutcome is the outcome of an order.
type OrderOutcome uint8

const (
	orderUnanswered OrderOutcome = iota // it may have been carried out, now or later
	orderAccepted
	orderNotSent
	orderRefused
)

// OrderResult is the result of one order.
type OrderResult struct {
	_       struct{} `cbor:",toarray"`
	Outcome OrderOutcome
	Reason  platform.Refusal // with orderRefused
}

// OrderAnswer holds the results of the starts followed by those of the stops, in the order of the batch.
type OrderAnswer struct {
	_       struct{} `cbor:",toarray"`
	Results []OrderResult
}

func resultOf(err error) OrderResult {
	var refused *platform.RefusedError
	switch {
	case err == nil:
		return OrderResult{Outcome: orderAccepted}
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
	case orderAccepted:
		return nil
	case orderRefused:
		return &platform.RefusedError{Reason: r.Reason}
	case orderNotSent:
		return platform.ErrNotReached
	default:
		return platform.ErrNoAnswer
	}
}

// Orders sends the leader's orders to executors.
func (h *Handler) Orders(b *OrderBatch, reply *OrderAnswer) error {
	ctx, cancel := context.WithTimeout(context.Background(), OrderTimeout)
	defer cancel()
	reply.Results = make([]OrderResult, len(b.Starts)+len(b.Stops))
	var calls sync.WaitGroup
	for i, s := range b.Starts {
		if s.Specification < 0 || s.Specification >= len(b.Specifications) {
			return errors.New("assist: start refers to a missing specification")
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

// Relay sends the orders of one data centre through a machine there and returns the result of each
// start followed by that of each stop. It returns false if there is no such machine or it did not
// receive the orders; then nothing was sent.
func (p *Peers) Relay(ctx context.Context, dataCentre string, starts []StartItem, stops []StopItem, now time.Time) ([]error, bool) {
	m := p.relayFor(api.DataCentre(dataCentre), now)
	if m.Address == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var answer OrderAnswer
	err := p.caller.Call(ctx, m.Address, methodOrders, packOrders(starts, stops), &answer)
	n := len(starts) + len(stops)
	if err != nil {
		p.suspendRelay(m.Node, now)
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

// relayFor returns the relay of a data centre, which is the fittest machine there. Its address is
// empty if there is none.
func (p *Peers) relayFor(dataCentre api.DataCentre, now time.Time) Attachment {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []*machine
	for _, m := range p.machines {
		if m.dataCentre == dataCentre && m.address != "" && m.fitness > 0 && now.Sub(m.lastSeen) < relaySilenceLimit && now.After(m.relaySuspendedUntil) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return Attachment{}
	}
	best := slices.MinFunc(candidates, func(a, b *machine) int {
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

// suspendRelay keeps a machine from relaying orders for relaySuspension.
func (p *Peers) suspendRelay(node api.NodeID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.machines[node]; m != nil {
		m.relaySuspendedUntil = now.Add(relaySuspension)
	}
}
