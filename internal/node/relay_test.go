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
	product "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/platform"
)

// peers answer calls at some addresses and none at others.
type peers struct {
	stores string // the address of the one that stores
	stored atomic.Int32
}

func (p *peers) Call(ctx context.Context, address, _ string, args, reply any) error {
	if address != p.stores {
		<-ctx.Done() // cut off
		return ctx.Err()
	}
	time.Sleep(5 * time.Millisecond)
	p.stored.Add(1)
	answer := reply.(*assist.StoreAnswer)
	answer.Results = assist.UniformResults(assist.Stored, len(args.(*assist.StoreRequest).Records))
	return nil
}

// The leader was cut off with a job in hand. Another one led 0.3 s later and delivered to
// this machine, which took the silent one's append to be under way still, waited for it
// for 1.5 s, and told the client that nothing was known: 504 for a job that was stored
// nowhere.
func TestRecordsAreResentToTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := &peers{stores: "next"}
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
		errs := n.relay(t.Context(), []product.Record{{Key: "k"}})
		if errs[0] != nil || caller.stored.Load() != 1 {
			t.Errorf("%v, stored %d times", errs[0], caller.stored.Load())
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
	})
}
