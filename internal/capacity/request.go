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

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// requestRig surrounds filter chains with parts that cost next to nothing.
type requestRig struct {
	room   int            // slots that the router gives
	hold   chan struct{}  // when set, the endpoint waits for it
	client *peer.Client   // when set, the way to the other entry VM
	other  string         // its address
	sent   atomic.Int64   // attempts at the endpoint
	served sync.WaitGroup // requests that open
}

// FreeSlots implements filter.Router.
func (r *requestRig) FreeSlots(string) int { return r.room }

// Acquire implements filter.Router.
func (r *requestRig) Acquire(context.Context, string, api.Class, string, []api.EndpointID) (filter.Ticket, error) {
	if r.room == 0 {
		return nil, api.NotRun(api.ReasonNoEndpoint, time.Second, "no room")
	}
	return freeTicket{}, nil
}

// freeTicket is a slot at an endpoint that is never short of them.
type freeTicket struct{}

// Endpoint implements filter.Ticket.
func (freeTicket) Endpoint() api.Endpoint { return api.Endpoint{ID: "e"} }

// Epoch implements filter.Ticket.
func (freeTicket) Epoch() api.Epoch { return 1 }

// Valid implements filter.Ticket.
func (freeTicket) Valid(time.Time) bool { return true }

// Done implements filter.Ticket.
func (freeTicket) Done(filter.Result) {}

// Check implements filter.Router.
func (r *requestRig) Check(context.Context, string, api.Class, string) *api.Refusal { return nil }

// Attempt implements platform.Endpoint.
func (r *requestRig) Attempt(context.Context, api.Endpoint, api.Epoch, *api.Request, int64) (*api.Answer, platform.Feedback, error) {
	r.sent.Add(1)
	if r.hold != nil {
		<-r.hold
	}
	return &api.Answer{Status: http.StatusOK, Body: []byte("swept"), Endpoint: "e"}, platform.Feedback{}, nil
}

// Candidates implements filter.Peers.
func (r *requestRig) Candidates(string) []filter.PeerLoad {
	if r.client == nil {
		return nil
	}
	return []filter.PeerLoad{{Node: "dc-a-entry1", FreeSlots: 8}}
}

// EntryVMs implements filter.Peers.
func (r *requestRig) EntryVMs(api.DataCentre) []api.NodeID { return nil }

// Forward implements filter.Peers.
func (r *requestRig) Forward(ctx context.Context, node api.NodeID, req *filter.ForwardRequest) (*filter.ForwardReply, error) {
	reply := new(filter.ForwardReply)
	if err := r.client.Call(ctx, r.other, "Requests.Forward", req, reply); err != nil {
		return nil, &filter.PeerError{Node: node, Sent: true, Cause: err}
	}
	return reply, nil
}

// AnswerOf implements filter.Peers.
func (r *requestRig) AnswerOf(context.Context, api.NodeID, *filter.AnswerQuery) (*filter.AnswerReply, error) {
	return &filter.AnswerReply{State: filter.AnswerForgotten}, nil
}

// Service implements filter.Services.
func (r *requestRig) Service(name string) (api.ServiceSpec, bool) {
	return api.ServiceSpec{Service: name, TimeoutMs: 60_000, MaxAttempts: 3, RetryBudget: 1}, true
}

// CallerLimits implements filter.Limits.
func (r *requestRig) CallerLimits(string) api.LimitsSpec { return api.LimitsSpec{} }

// Inc implements filter.Counters.
func (r *requestRig) Inc(string, api.Reason) {}

func (r *requestRig) chain(node api.NodeID) *filter.Chain {
	marks := reqkey.NewStateMachine()
	self := journal.Origin{Node: node, Incarnation: 1}
	settings := filter.Settings{Node: node, DataCentre: "dc-a", DataCentres: []api.DataCentre{"dc-a"}, MaxInFlight: 1 << 20, CallerShare: 1, MaxKeptAnswers: 1024}
	c := filter.New(settings, filter.Deps{
		Router: r, Endpoint: r, Peers: r, Services: r, Limits: r, Counters: r, Now: time.Now, Log: quietLog(),
		Keys: reqkey.NewKeys(marks, direct{machine: marks}, self, reqkey.DefaultMaxBodyBytes),
	})
	c.Gate().SetReady(true)
	return c
}

func handle(c *filter.Chain, i int, idempotent bool) error {
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

// chainTime is the processor time of requests at a chain.
func chainTime(c *filter.Chain, count int, idempotent bool) (float64, error) {
	seconds, err := processorTime(func() error {
		for i := range count {
			if err := handle(c, i, idempotent); err != nil {
				return err
			}
		}
		return c.Close(context.Background())
	})
	return seconds * milliseconds, err
}

// Receiver serves hand-overs. Its method is called by net/rpc.
type Receiver struct{ chain *filter.Chain }

// Forward runs a request that was handed over.
func (r *Receiver) Forward(req *filter.ForwardRequest, reply *filter.ForwardReply) error {
	*reply = *r.chain.ServeForward(context.Background(), req)
	return nil
}

// handOverTime is the processor time of requests that one entry VM hands
// over to another, at both of them.
func handOverTime(count int) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	server := peer.NewServer(peer.DefaultLimits(), logrus.NewEntry(quietLog()))
	if err := server.Register("Requests", &Receiver{chain: (&requestRig{room: 8}).chain("dc-a-entry1")}); err != nil {
		return 0, err
	}
	go func() { _ = server.Serve(l) }() // ends with Shutdown
	sender := &requestRig{client: peer.NewClient(peer.DefaultLimits(), nil), other: l.Addr().String()}
	defer func() {
		sender.client.Close()
		_ = server.Shutdown(context.Background())
	}()
	return chainTime(sender.chain("dc-a-entry0"), count, true)
}

// openBytes is the memory of requests that wait for their endpoint.
func openBytes(count int) (float64, error) {
	r := &requestRig{room: 8, hold: make(chan struct{})}
	c := r.chain("dc-a-entry0")
	before := liveBytes()
	for i := range count {
		r.served.Go(func() { _ = handle(c, i, true) })
	}
	for r.sent.Load() < int64(count) {
		runtime.Gosched()
	}
	grown := liveBytes() - before
	close(r.hold)
	r.served.Wait()
	return grown, c.Close(context.Background())
}

func requests() []Measurement {
	sizes := []int{2500, 5000, 10_000, 20_000}
	local := func(idempotent bool) func(int) (float64, error) {
		return func(size int) (float64, error) {
			return chainTime((&requestRig{room: 8}).chain("dc-a-entry0"), size, idempotent)
		}
	}
	return []Measurement{
		{Name: "request_time", XLabel: "idempotent requests", YLabel: "processor time of the chain, ms", Sizes: sizes, Run: local(true)},
		{Name: "request_marked_time", XLabel: "marked requests", YLabel: "processor time of the chain, ms", Sizes: sizes, Run: local(false)},
		{Name: "request_handed_over_time", XLabel: "idempotent requests handed over", YLabel: "processor time of both entry VMs, ms", Sizes: sizes, Run: handOverTime},
		{Name: "request_open_bytes", XLabel: "requests open at a time", YLabel: "bytes", Sizes: []int{1000, 2000, 4000, 8000}, Run: openBytes},
	}
}
