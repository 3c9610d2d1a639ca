package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// chainHarness implements the dependencies of filter chains at almost no cost.
type chainHarness struct {
	freeSlots    int            // free slots that the router reports
	release      chan struct{}  // if set, the endpoint answers once it is closed
	client       *peer.Client   // if set, requests can be handed over to the other entry VM
	peerAddress  string         // address of the other entry VM
	attempts     atomic.Int64   // number of attempts at the endpoint
	openRequests sync.WaitGroup // goroutines of measureOpenRequests
}

// FreeSlots implements filter.Router.
func (h *chainHarness) FreeSlots(string) int { return h.freeSlots }

// Acquire implements filter.Router.
func (h *chainHarness) Acquire(context.Context, string, api.Class, string, []api.EndpointID) (filter.Ticket, error) {
	if h.freeSlots == 0 {
		return nil, api.NotRun(api.ReasonNoEndpoint, time.Second, "no room")
	}
	return alwaysValidTicket{}, nil
}

// alwaysValidTicket is a ticket for a slot of an endpoint that always has free
// slots.
type alwaysValidTicket struct{}

// Endpoint implements filter.Ticket.
func (alwaysValidTicket) Endpoint() api.Endpoint { return api.Endpoint{ID: "e"} }

// Epoch implements filter.Ticket.
func (alwaysValidTicket) Epoch() api.Epoch { return 1 }

// Valid implements filter.Ticket.
func (alwaysValidTicket) Valid(time.Time) bool { return true }

// Done implements filter.Ticket.
func (alwaysValidTicket) Done(filter.Result) {}

// Check implements filter.Router.
func (h *chainHarness) Check(context.Context, string, api.Class, string) *api.Refusal { return nil }

// Attempt implements platform.Endpoint.
func (h *chainHarness) Attempt(context.Context, api.Endpoint, api.Epoch, *api.Request, int64) (*api.Answer, platform.Feedback, error) {
	h.attempts.Add(1)
	if h.release != nil {
		<-h.release
	}
	return &api.Answer{Status: http.StatusOK, Body: []byte("swept"), Endpoint: "e"}, platform.Feedback{}, nil
}

// Candidates implements filter.Peers.
func (h *chainHarness) Candidates(string) []filter.PeerLoad {
	if h.client == nil {
		return nil
	}
	return []filter.PeerLoad{{Node: "dc-a-entry1", FreeSlots: 8}}
}

// EntryVMs implements filter.Peers.
func (h *chainHarness) EntryVMs(api.DataCentre) []api.NodeID { return nil }

// Forward implements filter.Peers.
func (h *chainHarness) Forward(ctx context.Context, node api.NodeID, req *filter.ForwardRequest) (*filter.ForwardReply, error) {
	reply := new(filter.ForwardReply)
	if err := h.client.Call(ctx, h.peerAddress, "Requests.Forward", req, reply); err != nil {
		return nil, &filter.PeerError{Node: node, Sent: true, Cause: err}
	}
	return reply, nil
}

// AnswerOf implements filter.Peers.
func (h *chainHarness) AnswerOf(context.Context, api.NodeID, *filter.AnswerQuery) (*filter.AnswerReply, error) {
	return &filter.AnswerReply{State: filter.AnswerForgotten}, nil
}

// Service implements filter.Services.
func (h *chainHarness) Service(name string) (api.ServiceSpec, bool) {
	return api.ServiceSpec{Service: name, TimeoutMs: 60_000, MaxAttempts: 3, RetryBudget: 1}, true
}

// CallerLimits implements filter.Limits.
func (h *chainHarness) CallerLimits(string) api.LimitsSpec { return api.LimitsSpec{} }

// Inc implements filter.Counters.
func (h *chainHarness) Inc(string, api.Reason) {}

// newChain returns the filter chain of an entry VM with the harness as its
// dependencies.
func (h *chainHarness) newChain(node api.NodeID) *filter.Chain {
	marks := reqkey.NewStateMachine()
	self := journal.Origin{Node: node, Incarnation: 1}
	settings := filter.Settings{Node: node, DataCentre: "dc-a", DataCentres: []api.DataCentre{"dc-a"}, MaxInFlight: 1 << 20, CallerShare: 1, MaxKeptAnswers: 1024}
	c := filter.New(settings, filter.Deps{
		Router: h, Endpoint: h, Peers: h, Services: h, Limits: h, Counters: h, Now: time.Now, Log: nopLogger(),
		Keys: reqkey.NewKeys(marks, directProposer{machine: marks}, self, reqkey.DefaultMaxBodyBytes),
	})
	c.Gate().SetReady(true)
	return c
}

// handleRequest runs request number i through a chain.
func handleRequest(c *filter.Chain, i int, idempotent bool) error {
	header := http.Header{
		api.HeaderRequestID:  {requestID(i)},
		api.HeaderCaller:     {"tablet"},
		api.HeaderIdempotent: {fmt.Sprint(idempotent)},
	}
	_, err := c.Handle(context.Background(), &filter.Exchange{Header: header, Request: &api.Request{
		Service: "torquebench", Method: http.MethodPost, Path: "/sweep", Body: []byte("winding"),
	}})
	return err
}

// measureChain returns the processor time, in ms, of count requests at a chain.
func measureChain(c *filter.Chain, count int, idempotent bool) (float64, error) {
	seconds, err := measureCPUSeconds(func() error {
		for i := range count {
			if err := handleRequest(c, i, idempotent); err != nil {
				return err
			}
		}
		return c.Close(context.Background())
	})
	return seconds * msPerSecond, err
}

// Receiver serves handovers. net/rpc calls its method.
type Receiver struct{ chain *filter.Chain }

// Forward runs a request that was handed over.
func (r *Receiver) Forward(req *filter.ForwardRequest, reply *filter.ForwardReply) error {
	*reply = *r.chain.ServeForward(context.Background(), req)
	return nil
}

// measureHandover returns the processor time, in ms, of count requests that one
// entry VM hands over to another, at both of them.
func measureHandover(count int) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	server := peer.NewServer(peer.DefaultLimits(), logrus.NewEntry(nopLogger()))
	if err := server.Register("Requests", &Receiver{chain: (&chainHarness{freeSlots: 8}).newChain("dc-a-entry1")}); err != nil {
		return 0, err
	}
	go func() { _ = server.Serve(l) }() // ends with Shutdown
	sender := &chainHarness{client: peer.NewClient(peer.DefaultLimits(), nil), peerAddress: l.Addr().String()}
	defer func() {
		sender.client.Close()
		_ = server.Shutdown(context.Background())
	}()
	return measureChain(sender.newChain("dc-a-entry0"), count, true)
}

// measureOpenRequests returns the bytes of memory of count requests that wait for an
// answer of their endpoint.
func measureOpenRequests(count int) (float64, error) {
	return (&chainHarness{freeSlots: 8, release: make(chan struct{})}).measureOpenRequests(count)
}

// measureOpenRequests does the same with the harness, whose release is set. It fails if a request
// ends before its endpoint has answered.
func (h *chainHarness) measureOpenRequests(count int) (float64, error) {
	c := h.newChain("dc-a-entry0")
	before := heapAndStackBytes()
	var failed firstError
	for i := range count {
		h.openRequests.Go(func() { failed.set(handleRequest(c, i, true)) })
	}
	for h.attempts.Load() < int64(count) && failed.get() == nil {
		runtime.Gosched()
	}
	grown := heapAndStackBytes() - before
	close(h.release)
	h.openRequests.Wait()
	return grown, errors.CombineErrors(failed.get(), c.Close(context.Background()))
}

// firstError keeps the first error that is set. It is safe for concurrent use.
type firstError struct{ err atomic.Pointer[error] }

func (f *firstError) set(err error) {
	if err != nil {
		f.err.CompareAndSwap(nil, &err)
	}
}

func (f *firstError) get() error {
	if err := f.err.Load(); err != nil {
		return *err
	}
	return nil
}

func requestMeasurements() []Measurement {
	sizes := []int{2500, 5000, 10_000, 20_000}
	local := func(idempotent bool) func(int) (float64, error) {
		return func(size int) (float64, error) {
			return measureChain((&chainHarness{freeSlots: 8}).newChain("dc-a-entry0"), size, idempotent)
		}
	}
	return []Measurement{
		{Name: "request_time", XLabel: "idempotent requests", YLabel: "processor time of the chain, ms", Sizes: sizes, Run: local(true)},
		{Name: "request_marked_time", XLabel: "marked requests", YLabel: "processor time of the chain, ms", Sizes: sizes, Run: local(false)},
		{Name: "request_handed_over_time", XLabel: "idempotent requests handed over", YLabel: "processor time of both entry VMs, ms", Sizes: sizes, Run: measureHandover},
		{Name: "request_open_bytes", XLabel: "requests open at a time", YLabel: "bytes", Sizes: []int{1000, 2000, 4000, 8000}, Run: measureOpenRequests},
	}
}
