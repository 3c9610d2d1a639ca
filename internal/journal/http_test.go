package journal

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform/httplog"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// TestReplicasOverHTTP runs two replicas over real sockets while the log loses
// its next four answers.
func TestReplicasOverHTTP(t *testing.T) {
	log := logserver.New(logserver.Config{})
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	var nodes []*node
	for i := range 2 {
		client, err := httplog.NewClient(httplog.Config{BaseURL: server.URL})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		n := startNode(t, client, fmt.Sprint("n", i), nil)
		for !n.Ready() {
			time.Sleep(time.Millisecond)
		}
		nodes = append(nodes, n)
	}
	log.SetFaults(logserver.Faults{LoseAnswers: 4})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() { wantErr(t, nodes[i%2].propose(fmt.Sprint(i), time.Minute), nil) })
	}
	wg.Wait()
	// Each node has applied everything before its own last entry.
	proposeRange(t, nodes[0], 200, 201)
	proposeRange(t, nodes[1], 201, 202)
	proposeRange(t, nodes[0], 202, 203)
	if a, b := nodes[0].machine.list(), nodes[1].machine.list(); len(a) != 203 || len(b) < 202 || fmt.Sprint(a[:202]) != fmt.Sprint(b[:202]) {
		t.Errorf("replicas differ: %d and %d entries", len(a), len(b))
	}
}
