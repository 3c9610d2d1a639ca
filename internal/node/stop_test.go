package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/platform/standin"
)

// Guards against connections that a stopping process closes without an answer. The
// process was asked to stop, kept serving for 2.5 s, ended its loops, gave its server a
// fixed 2 s and exited 1.5 s before it would have been killed. Clients wait 3 s for an
// answer, longer than these 2 s, so requests that were sent shortly before the listener
// was closed and waited for the leader or the store were cut off at 4.5 s. Requests of 18
// of 81 processes were cut off, all 4.50 to 4.54 s after the signal; the other answers of
// that time went to status requests that had waited for a delivery or for the leader.
func TestReadRequestsAreAnsweredBeforeExit(t *testing.T) {
	t.Run("a status request that waits for the leader", testStatusRequestThatWaits)
}

// stalledLeader reports an end of the partition that is never reached, and delivers
// nothing.
type stalledLeader struct {
	address   string
	syncCalls atomic.Int32
}

// Sync implements the method of assist.Handler.
func (l *stalledLeader) Sync(_ *assist.SyncRequest, reply *assist.SyncAnswer) error {
	l.syncCalls.Add(1)
	reply.End = math.MaxInt64
	return nil
}

// Attach implements the method of assist.Handler.
func (l *stalledLeader) Attach(_ *assist.Attachment, reply *assist.AttachAnswer) error {
	reply.Epoch = stalledLeaderEpoch
	return nil
}

// stalledLeaderEpoch is higher than any epoch that the processes of a test claim.
const stalledLeaderEpoch = 1 << 20

// announceTo serves as the leader and makes the process take it for the leader.
func (l *stalledLeader) announceTo(t *testing.T, p *process) {
	t.Helper()
	server := peer.NewServer(peer.Limits{}, logging.Nop())
	if err := server.Register(assist.ServiceName, l); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	caller := peer.NewClient(peer.Limits{}, nil)
	t.Cleanup(caller.Close)
	delivery := &assist.Delivery{Leader: leader.Leader{Node: "silent", Incarnation: 1, Address: l.address, Epoch: stalledLeaderEpoch}}
	var known assist.DeliveryAnswer
	if err := caller.Call(t.Context(), p.settings.PeerAddress, assist.ServiceName+".Deliver", delivery, &known); err != nil {
		t.Fatal(err)
	}
	if known.Epoch != stalledLeaderEpoch {
		t.Fatalf("the process knows epoch %d, want that of the stalled leader", known.Epoch)
	}
}

// The store is down and the leader's delivery never arrives, so a status request for an
// unknown job waits as long as its client does. It is answered when the process stops.
func testStatusRequestThatWaits(t *testing.T) {
	env := newTestEnv(t, 0)
	p := env.start(t, "a")
	p.awaitReady(t)
	env.store.SetFault(standin.FaultDown)
	stalled := &stalledLeader{address: address(t)}
	stalled.announceTo(t, p)
	answered := make(chan int, 1)
	go func() {
		status, err := p.getUnknownJob(time.Hour)
		if err != nil {
			t.Errorf("the request was not answered: %v", err)
		}
		answered <- status
	}()
	eventually(t, "a request waits for the leader's delivery", func() bool { return stalled.syncCalls.Load() > 0 })
	p.stop()
	if err := <-p.done; err != nil {
		t.Errorf("graceful stop: %v", err)
	}
	select {
	case status := <-answered:
		if status != http.StatusServiceUnavailable {
			t.Errorf("answered %d, want %d", status, http.StatusServiceUnavailable)
		}
	case <-time.After(waitTimeout):
		t.Error("the process has stopped without answering the request")
	}
}

// getUnknownJob requests the state of a job that was never submitted, for a client with
// the given timeout.
func (p *process) getUnknownJob(timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.FrontAddress+"/q/00000000000000ab", nil)
	if err != nil {
		return 0, err
	}
	req.Host = standin.Host
	standin.SetRemainingTime(req.Header, timeout)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
