package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/intake"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	platformapi "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/platform"
)

// fakePeers is a caller that reaches one address; calls to others time out.
type fakePeers struct {
	storeAddress string              // address of the only machine that answers
	outcome      assist.StoreOutcome // what it answers for each record
	stored       atomic.Int32
}

// Call implements assist.Caller.
func (p *fakePeers) Call(ctx context.Context, address, _ string, args, reply any) error {
	if address != p.storeAddress {
		<-ctx.Done() // cut off
		return ctx.Err()
	}
	time.Sleep(5 * time.Millisecond)
	p.stored.Add(1)
	answer := reply.(*assist.StoreAnswer)
	answer.Results = assist.UniformResults(p.outcome, len(args.(*assist.StoreRequest).Records))
	return nil
}

// newRelayNode returns a node that can only pass records to leaders.
func newRelayNode(caller assist.Caller) *Node {
	return &Node{
		settings: &platform.Settings{PeerAddress: "self"},
		elector:  leader.New(leader.Config{Logger: logging.Nop(), OnLost: func() {}}),
		reader:   &replica.Reader{Replica: replica.New(time.Minute, logging.Nop()), Timing: replica.DefaultTiming()},
		caller:   caller,
	}
}

// observeLeader has a leader deliver to the node.
func (n *Node) observeLeader(epoch api.Epoch, address string) {
	n.elector.ObserveLeader(leader.Leader{Epoch: epoch, Node: "m", Address: address})
	n.reader.Deliver(replica.Span{}, nil, 0)
}

// Guards against waiting for a leader that has been replaced. A leader was cut off while
// it had a job to store. Another one led 0.3 s later and delivered to this machine, which
// still took the append of the former leader to be in progress, waited 1.5 s for it and
// answered the client 504 (outcome unknown) for a job that was stored nowhere.
func TestRecordsAreResentToTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &fakePeers{storeAddress: "next", outcome: assist.Stored}
		n := newRelayNode(caller)
		n.observeLeader(5, "lost")
		go func() {
			time.Sleep(300 * time.Millisecond)
			n.observeLeader(9, "next")
		}()
		began := time.Now()
		errs := n.relay(t.Context(), []platformapi.Record{{Key: "k"}})
		if errs[0] != nil || caller.stored.Load() != 1 {
			t.Errorf("error %v, stored %d times, want no error and once", errs[0], caller.stored.Load())
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("answered after %v, want 500ms at most", took)
		}
	})
}

// Guards against a refusal that is not true. A leader had stored a job and was lost before it
// answered; the next one refused the same job, because the store took nothing just then, and the
// client was told that the job had not been accepted.
func TestRefusalByTheNextLeaderLeavesOutcomeUnknown(t *testing.T) {
	for _, later := range []assist.StoreOutcome{assist.NotStored, assist.NotLeader, assist.StoreUnknown} {
		synctest.Test(t, func(t *testing.T) {
			n := newRelayNode(&fakePeers{storeAddress: "next", outcome: later})
			n.observeLeader(5, "lost")
			go func() {
				time.Sleep(300 * time.Millisecond)
				n.observeLeader(9, "next")
			}()
			errs := n.relay(t.Context(), []platformapi.Record{{Key: "k"}})
			if !errors.Is(errs[0], intake.ErrInProgress) && !errors.Is(errs[0], intake.ErrUnknown) {
				t.Errorf("the next leader answers %d: error %v, want one that leaves the outcome open", later, errs[0])
			}
		})
	}
}

// A leader that has taken over has read everything that was stored, so what it refuses for want of
// capacity isn't stored.
func TestNextLeaderMayRefuseForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRelayNode(&fakePeers{storeAddress: "next", outcome: assist.TooBusy})
		n.observeLeader(5, "lost")
		go func() {
			time.Sleep(300 * time.Millisecond)
			n.observeLeader(9, "next")
		}()
		var busy *intake.BusyError
		if errs := n.relay(t.Context(), []platformapi.Record{{Key: "k"}}); !errors.As(errs[0], &busy) {
			t.Errorf("error %v, want BusyError", errs[0])
		}
	})
}
