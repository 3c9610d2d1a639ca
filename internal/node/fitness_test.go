package node

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/platform"
)

// offers notes with what fitness a process offers its help.
type offers struct {
	mu      sync.Mutex
	fitness []float64
}

// Attach answers like assist.Handler.Attach.
func (o *offers) Attach(a *assist.Attachment, reply *assist.AttachAnswer) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fitness = append(o.fitness, a.Fitness)
	reply.Epoch = silentEpoch
	return nil
}

// The leader learns that a machine stops: it answers deliveries up to its end,
// which keeps its last offer valid, and a leader with fewer processors would
// hand over to it.
func TestStoppingProcessReportsZeroFitness(t *testing.T) {
	o := &offers{}
	server := peer.NewServer(peer.Limits{}, logging.Nop())
	if err := server.Register(assist.ServiceName, o); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", address(t))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	n := New(&platform.Settings{Node: "a", PeerAddress: address(t), StoreAddress: address(t), Processors: 0.8}, logging.Nop())
	n.elector.ObserveLeader(leader.Leader{Node: "b", Incarnation: 1, Address: listener.Addr().String(), Epoch: silentEpoch})
	n.draining.Store(true)
	n.attachOnce(context.Background())
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.fitness) != 1 || o.fitness[0] != 0 {
		t.Errorf("told the leader of fitness %v, want 0", o.fitness)
	}
}
