package filter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/router"
)

// realRouter is the router of package router. With skipCheck set, Check
// refuses nothing.
type realRouter struct {
	*router.Router
	skipCheck bool
}

func (r realRouter) Acquire(ctx context.Context, service string, class api.Class, caller string, exclude []api.EndpointID) (Ticket, error) {
	t, err := r.Router.Acquire(ctx, service, class, caller, exclude)
	if err != nil {
		return nil, err
	}
	return realTicket{t}, nil
}

func (r realRouter) FreeSlots(service string) int { return r.Free(service) }

func (r realRouter) Check(ctx context.Context, service string, class api.Class, caller string) *api.Refusal {
	if r.skipCheck {
		return nil
	}
	return r.Router.Check(ctx, service, class, caller)
}

type realTicket struct{ *router.Ticket }

func (s realTicket) Done(r Result) {
	s.Ticket.Done(router.Result{Err: r.Err, Status: r.Status, Latency: r.Latency, Feedback: platform.Feedback{SlotsBusy: -1}})
}

// At five times the request rate that the slots can serve, most requests are
// refused before an append is spent on their mark.
func TestOverloadAvoidsAppends(t *testing.T) {
	appends := make(map[bool]int)
	for _, skipCheck := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestCluster()
			w.fault = func(site string) string { return map[string]string{"log": "slow"}[site] }
			w.delay = 100 * time.Millisecond
			c := w.start("a", "east", []api.DataCentre{"east"})
			r := router.New(router.Config{Rand: rand.NewPCG(1, 2)})
			r.SetService("svc", api.ServiceSpec{QueueLength: 8})
			held := router.HeldEndpoint{Endpoint: api.Endpoint{ID: "e", Service: "svc", Slots: 8, Connections: 60}, SlotLimit: 8, Epoch: 1}
			r.SetEndpoints(time.Now(), []router.HeldEndpoint{held})
			c.deps.Router = realRouter{r, skipCheck}
			for i := range 2000 { // 400 a second; the slots serve 80
				go w.send(t.Context(), call{node: "a", id: fmt.Sprint(i), body: "x"})
				time.Sleep(2500 * time.Microsecond)
			}
			time.Sleep(10 * time.Second)
			w.close()
			appends[skipCheck] = len(w.entries)
			t.Logf("skipCheck %t: %d of 2000 ran, %d appends", skipCheck, w.count("answered/ran"), len(w.entries))
		})
	}
	expectEqual(t, appends[false] < appends[true]/2, true)
}
