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

// attachRecorder records the fitness that a process reports when it attaches.
type attachRecorder struct {
	mu      sync.Mutex
	fitness []float64
}

// Attach implements the method of assist.Handler.
func (r *attachRecorder) Attach(a *assist.Attachment, reply *assist.AttachAnswer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fitness = append(r.fitness, a.Fitness)
	reply.Epoch = stalledLeaderEpoch
	return nil
}

// A stopping machine reports a fitness of 0 to the leader. It answers deliveries until
// it exits, which keeps its last reported fitness valid, and a leader with fewer
// processors would hand leadership over to it.
func TestStoppingProcessReportsZeroFitness(t *testing.T) {
	r := &attachRecorder{}
	server := peer.NewServer(peer.Limits{}, logging.Nop())
	if err := server.Register(assist.ServiceName, r); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", address(t))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	n := New(&platform.Settings{Node: "a", PeerAddress: address(t), StoreAddress: address(t), Processors: 0.8}, logging.Nop())
	n.elector.ObserveLeader(leader.Leader{Node: "b", Incarnation: 1, Address: listener.Addr().String(), Epoch: stalledLeaderEpoch})
	n.draining.Store(true)
	n.attachOnce(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.fitness) != 1 || r.fitness[0] != 0 {
		t.Errorf("reported fitness %v to the leader, want one report of 0", r.fitness)
	}
}
