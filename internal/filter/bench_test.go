package filter

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

// benchWorld is one entry VM whose executors answer at once.
func benchWorld(limits api.LimitsSpec) *world {
	w := newWorld()
	w.delay, w.limits, w.settings = 0, limits, Settings{MaxInFlight: 1 << 20, CallerShare: 1, MaxKeptAnswers: 1024}
	w.start("a", "east", []api.DataCentre{"east"})
	return w
}

// BenchmarkChain is the chain's own time for one request, fakes included.
func BenchmarkChain(b *testing.B) {
	for name, k := range map[string]call{
		"idempotent":    {idempotent: true},
		"idempotent-id": {idempotent: true, id: "%036d"},
		"marked":        {id: "%036d"},
	} {
		b.Run(name, func(b *testing.B) {
			w := benchWorld(api.LimitsSpec{})
			k.node, k.caller = "a", "caller"
			b.ReportAllocs()
			for n := range b.N {
				one := k
				if k.id != "" {
					one.id = fmt.Sprintf(k.id, n)
				}
				if _, refusal := w.do(context.Background(), one); refusal != nil {
					b.Fatal(refusal)
				}
			}
			w.close()
		})
	}
}

// BenchmarkOpenRequest reports the memory of one request that waits for its
// endpoint, goroutines included. Run it with -benchtime 10000x.
func BenchmarkOpenRequest(b *testing.B) {
	w := benchWorld(api.LimitsSpec{})
	w.hold = make(chan struct{})
	before := memory()
	for n := range b.N {
		go w.do(context.Background(), call{node: "a", id: fmt.Sprintf("%036d", n)})
	}
	for w.count("tickets") < b.N {
		runtime.Gosched()
	}
	b.ReportMetric(float64(memory()-before)/float64(b.N), "B/request")
	close(w.hold)
	w.chains["a"].gate.Drain()
	_ = w.chains["a"].gate.Wait(context.Background())
	w.close()
}

func memory() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// BenchmarkFlood is another caller's request while one caller floods the
// chain from four goroutines, each caller being allowed 20,000 a second.
func BenchmarkFlood(b *testing.B) {
	w := benchWorld(api.LimitsSpec{RatePerSecond: 20_000, Burst: b.N})
	var stop atomic.Bool
	var offered, refused atomic.Int64
	flood := func() {
		for ; !stop.Load(); offered.Add(1) {
			if _, refusal := w.do(context.Background(), call{node: "a", caller: "flood", idempotent: true}); refusal != nil {
				refused.Add(1)
			}
		}
	}
	for range 4 {
		go flood()
	}
	admitted := 0
	for range b.N {
		if _, refusal := w.do(context.Background(), call{node: "a", caller: "other", idempotent: true}); refusal == nil {
			admitted++
		}
	}
	stop.Store(true)
	b.ReportMetric(100*float64(admitted)/float64(b.N), "%other_admitted")
	b.ReportMetric(100*float64(refused.Load())/float64(max(offered.Load(), 1)), "%flood_refused")
}
