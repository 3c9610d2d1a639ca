package node

import (
	"net"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/peer"
)

// echo is an RPC service for tests.
type echo struct{}

// Echo answers with its argument.
func (echo) Echo(args *int, reply *int) error {
	*reply = *args
	return nil
}

// Guards against a connection limit that is too low for a large cell. With 297 machines
// almost no request was served: the leader refused other machines' connections from the
// 257th on, and the refused machines took it for unresponsive.
func TestLeaderServesAllMachinesOfALargeCell(t *testing.T) {
	const machines = 600
	server := peer.NewServer(peerLimits(), logging.Nop())
	if err := server.Register("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	defer server.Close()
	var calls sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range machines {
		client := peer.NewClient(peerLimits(), nil)
		defer client.Close()
		calls.Go(func() {
			var got int
			if err := client.Call(t.Context(), listener.Addr().String(), "Echo.Echo", &i, &got); err != nil || got != i {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	calls.Wait()
	if failed > 0 {
		t.Errorf("%d of %d machines got no answer", failed, machines)
	}
}
