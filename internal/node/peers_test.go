package node

import (
	"net"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/peer"
)

// echo answers calls.
type echo struct{}

// Echo answers with what it was given.
func (echo) Echo(args *int, reply *int) error {
	*reply = *args
	return nil
}

// With 297 machines nearly nothing was served. A leader refused the 257th connection
// of another machine; those that were refused took it for silent.
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
