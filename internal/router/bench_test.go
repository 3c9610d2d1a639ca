package router

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// BenchmarkChoice measures the choice alone, at half load and with a single
// free slot, which is the most expensive case.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{50, 500} {
		for _, load := range []string{"half", "full but one"} {
			b.Run(fmt.Sprintf("endpoints=%d/%s", n, load), func(b *testing.B) {
				endpoints := make([]*endpoint, n)
				for i := range endpoints {
					endpoints[i] = &endpoint{HeldEndpoint: heldEndpoint(api.EndpointID(fmt.Sprint(i)), "s", 8), limitExpiry: noExpiry, inFlight: 8}
					endpoints[i].health.latency = 0.1
					if load == "half" {
						endpoints[i].inFlight = i % 8
					}
				}
				endpoints[n/2].inFlight = 7
				c := leastLoaded{rand: rand.New(rand.NewPCG(1, 2))}
				stats := serviceStats{latency: 0.1, halfLife: DefaultHealthHalfLife}
				for b.Loop() {
					if c.choose(time.Second, endpoints, stats, constraints{deadline: noExpiry}) == nil {
						b.Fatal("none chosen")
					}
				}
			})
		}
	}
}

func benchRouter(n, slots int) *Router {
	held := make([]HeldEndpoint, n)
	for i := range held {
		held[i] = heldEndpoint(api.EndpointID(fmt.Sprint(i)), "s", slots)
	}
	return testRouter(held...)
}

// BenchmarkRequest measures the time of a request in the router, when it gets
// a slot and when a full service refuses it.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(fmt.Sprintf("granted/endpoints=%d", n), func(b *testing.B) {
			r := benchRouter(n, 8)
			b.ReportAllocs()
			for b.Loop() {
				ticket, err := r.Acquire(b.Context(), "s", api.ClassInteractive, "a", nil)
				if err != nil {
					b.Fatal(err)
				}
				ticket.Done(okResult)
			}
		})
		b.Run(fmt.Sprintf("refused/endpoints=%d", n), func(b *testing.B) {
			r := benchRouter(n, 1)
			r.SetService("s", api.ServiceSpec{QueueLength: 1, QueueTimeoutMs: 1_000_000})
			for range n + 1 { // the last one waits
				go func() { _, _ = r.Acquire(b.Context(), "s", api.ClassInteractive, "a", nil) }()
			}
			for view, _ := r.Explain("s"); view.Waiting == 0; view, _ = r.Explain("s") {
				runtime.Gosched()
			}
			for b.Loop() {
				if _, err := r.Acquire(b.Context(), "s", api.ClassInteractive, "a", nil); err == nil {
					b.Fatal("granted")
				}
			}
		})
	}
}
