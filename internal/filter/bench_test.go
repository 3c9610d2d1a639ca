package filter

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// instant is a world without failures, locks or waiting, for benchmarks.
type instant struct {
	m    *reqkey.Machine
	hold chan struct{}
	busy atomic.Int64
}

func (i *instant) Propose(_ context.Context, e journal.Entry) error {
	return i.m.Apply(journal.Position{}, e)
}
func (i *instant) Applied() platform.Offset { return 0 }
func (i *instant) Confirmed() time.Time     { return time.Now() }
func (i *instant) Room(string) int          { return 1 }
func (i *instant) Acquire(context.Context, string, api.Class, string, []api.EndpointID) (Ticket, error) {
	return i, nil
}
func (i *instant) Endpoint() api.Endpoint { return api.Endpoint{ID: "e"} }
func (i *instant) Epoch() api.Epoch       { return 1 }
func (i *instant) Valid(time.Time) bool   { return true }
func (i *instant) Done(Result)            {}
func (i *instant) Attempt(context.Context, api.Endpoint, api.Epoch, *api.Request, int64) (*api.Answer, platform.Feedback, error) {
	if i.hold != nil {
		i.busy.Add(1)
		<-i.hold
	}
	return &api.Answer{Status: http.StatusOK}, platform.Feedback{}, nil
}
func (i *instant) Service(string) (api.ServiceSpec, bool) { return api.ServiceSpec{}, true }
func (i *instant) CallerLimits(caller string) api.LimitsSpec {
	if caller == "flood" {
		return api.LimitsSpec{RatePerSec: 1000, Burst: 100}
	}
	return api.LimitsSpec{}
}
func (i *instant) Inc(string, api.Reason) {}

func newInstant() (*instant, *Chain) {
	i := &instant{m: reqkey.NewMachine()}
	keys := reqkey.NewKeys(i.m, i, i, journal.Origin{Node: "a", Incarnation: 1}, reqkey.DefaultMaxBody)
	c := New(Settings{Node: "a", MaxInFlight: 1 << 20, CallerShare: 1, KeptAnswers: 1024}, Deps{
		Router: i, Endpoint: i, Peers: &fakePeers{w: newWorld(), self: "a"}, Keys: keys,
		Services: i, Limits: i, Counters: i, Now: time.Now,
	})
	c.Gate().SetReady(true)
	return i, c
}

func send(c *Chain, id, caller, idempotent string) error {
	header := http.Header{
		api.HeaderCaller:     {caller},
		api.HeaderIdempotent: {idempotent},
	}
	if id != "" {
		header[api.HeaderRequestID] = []string{id}
	}
	_, err := c.Handle(context.Background(), &Exchange{Header: header, Request: &api.Request{Service: "svc", Method: "GET", Path: "/"}})
	return err
}

// BenchmarkChain is the chain's own time for one request.
func BenchmarkChain(b *testing.B) {
	for _, kind := range []struct{ name, idempotent, id string }{
		{"idempotent", "true", ""}, {"idempotent with id", "true", "%036d"}, {"marked", "false", "%036d"},
	} {
		b.Run(kind.name, func(b *testing.B) {
			_, c := newInstant()
			b.ReportAllocs()
			for n := range b.N {
				id := kind.id
				if id != "" {
					id = fmt.Sprintf(id, n)
				}
				if err := send(c, id, "caller", kind.idempotent); err != nil {
					b.Fatal(err)
				}
			}
			_ = c.Close(context.Background())
		})
	}
}

// BenchmarkOpenRequest reports the memory of one request that waits for its
// endpoint, goroutines included. Run it with -benchtime 10000x.
func BenchmarkOpenRequest(b *testing.B) {
	i, c := newInstant()
	i.hold = make(chan struct{})
	before := used()
	for n := range b.N {
		go func() { _ = send(c, fmt.Sprintf("%036d", n), "caller", "false") }()
	}
	for i.busy.Load() < int64(b.N) {
		runtime.Gosched()
	}
	b.ReportMetric(float64(used()-before)/float64(b.N), "B/request")
	close(i.hold)
	c.gate.Drain()
	_ = c.gate.Wait(context.Background())
	_ = c.Close(context.Background())
}

func used() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// BenchmarkFlood reports the time of another caller's request and the share
// of its requests admitted while one caller floods the chain from four
// goroutines, far over its rate.
func BenchmarkFlood(b *testing.B) {
	_, c := newInstant()
	stop := make(chan struct{})
	var offered, admitted atomic.Int64
	for range 4 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				offered.Add(1)
				if send(c, "", "flood", "true") == nil {
					admitted.Add(1)
				}
			}
		}()
	}
	other := 0
	for range b.N {
		if send(c, "", "other", "true") == nil {
			other++
		}
	}
	close(stop)
	b.ReportMetric(100*float64(other)/float64(b.N), "%other_admitted")
	b.ReportMetric(100*float64(admitted.Load())/float64(max(offered.Load(), 1)), "%flood_admitted")
}
