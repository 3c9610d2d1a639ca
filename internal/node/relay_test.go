package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	platformapi "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/platform"
)

// fakePeers is a caller that reaches one address; calls to others time out.
type fakePeers struct {
	storeAddress string // address of the only machine that answers; it stores records
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
	answer.Results = assist.UniformResults(assist.Stored, len(args.(*assist.StoreRequest).Records))
	return nil
}

// Guards against waiting for a leader that has been replaced. A leader was cut off while
// it had a job to store. Another one led 0.3 s later and delivered to this machine, which
// still took the append of the former leader to be in progress, waited 1.5 s for it and
// answered the client 504 (outcome unknown) for a job that was stored nowhere.
func TestRecordsAreResentToTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &fakePeers{storeAddress: "next"}
		n := &Node{
			settings: &platform.Settings{PeerAddress: "self"},
			elector:  leader.New(leader.Config{Logger: logging.Nop(), OnLost: func() {}}),
			reader:   &replica.Reader{Replica: replica.New(time.Minute, logging.Nop()), Timing: replica.DefaultTiming()},
			caller:   caller,
		}
		lead := func(epoch api.Epoch, address string) {
			n.elector.ObserveLeader(leader.Leader{Epoch: epoch, Node: "m", Address: address})
			n.reader.Deliver(replica.Span{}, nil, 0)
		}
		lead(5, "lost")
		go func() {
			time.Sleep(300 * time.Millisecond)
			lead(9, "next")
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
