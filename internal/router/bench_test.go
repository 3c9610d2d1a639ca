package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// BenchmarkChoice measures the pure choice at half load and with a single
// slot free, the dearest case.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{50, 500} {
		for _, load := range []string{"half", "full but one"} {
			b.Run(fmt.Sprintf("endpoints=%d/%s", n, load), func(b *testing.B) {
				endpoints := make([]*endpoint, n)
				for i := range endpoints {
					endpoints[i] = &endpoint{Held: heldEndpoint(api.EndpointID(fmt.Sprint(i)), "s", 8), until: noExpiry, inFlight: 8}
					endpoints[i].health.latency = 0.1
					if load == "half" {
						endpoints[i].inFlight = i % 8
					}
				}
				endpoints[n/2].inFlight = 7
				c := leastLoaded{rand: rand.New(rand.NewPCG(1, 2))}
				f := fleet{latency: 0.1, halfLife: DefaultHealthHalfLife}
				for b.Loop() {
					if c.choose(time.Second, endpoints, f, demand{deadline: noExpiry}) == nil {
						b.Fatal("none chosen")
					}
				}
			})
		}
	}
}

// BenchmarkAcquire measures a whole request's way through the router.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			held := make([]Held, n)
			for i := range held {
				held[i] = heldEndpoint(api.EndpointID(fmt.Sprint(i)), "s", 8)
			}
			r := testRouter(held...)
			b.ReportAllocs()
			for b.Loop() {
				ticket, err := r.Acquire(b.Context(), "s", api.ClassInteractive, "a", nil)
				if err != nil {
					b.Fatal(err)
				}
				ticket.Done(okResult)
			}
		})
	}
}

// BenchmarkRefuse measures a request that is turned away by a full service.
func BenchmarkRefuse(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			held := make([]Held, n)
			for i := range held {
				held[i] = heldEndpoint(api.EndpointID(fmt.Sprint(i)), "s", 1)
			}
			r := testRouter(held...)
			for range n {
				ticket, err := r.Acquire(b.Context(), "s", api.ClassInteractive, "a", nil)
				if err != nil {
					b.Fatal(err)
				}
				defer ticket.Release()
			}
			r.SetService("s", api.ServiceSpec{QueueLength: 1, QueueMs: 1_000_000})
			go func() { _, _ = r.Acquire(b.Context(), "s", api.ClassInteractive, "a", nil) }()
			for waiting := 0; waiting == 0; {
				view, _ := r.Explain("s")
				waiting = view.Waiting
			}
			for b.Loop() {
				_, err := r.Acquire(b.Context(), "s", api.ClassInteractive, "a", nil)
				if err == nil {
					b.Fatal("granted")
				}
			}
		})
	}
}
