package filter

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

// newBenchCluster returns one entry VM whose executors answer immediately.
func newBenchCluster(limits api.LimitsSpec) *testCluster {
	w := newTestCluster()
	w.delay, w.limits, w.settings = 0, limits, Settings{MaxInFlight: 1 << 20, CallerShare: 1, MaxKeptAnswers: 1024}
	w.start("a", "east", []api.DataCentre{"east"})
	return w
}

// BenchmarkChain measures the chain's time for one request, including the
// fakes.
func BenchmarkChain(b *testing.B) {
	for name, k := range map[string]call{
		"idempotent":    {idempotent: true},
		"idempotent-id": {idempotent: true, id: "%036d"},
		"marked":        {id: "%036d"},
	} {
		b.Run(name, func(b *testing.B) {
			w := newBenchCluster(api.LimitsSpec{})
			k.node, k.caller = "a", "caller"
			b.ReportAllocs()
			for n := range b.N {
				request := k
				if k.id != "" {
					request.id = fmt.Sprintf(k.id, n)
				}
				if _, refusal := w.send(context.Background(), request); refusal != nil {
					b.Fatal(refusal)
				}
			}
			w.close()
		})
	}
}

// BenchmarkOpenRequest reports the memory of one request that waits for its
// endpoint, including goroutines. Run it with -benchtime 10000x.
func BenchmarkOpenRequest(b *testing.B) {
	w := newBenchCluster(api.LimitsSpec{})
	w.blockEndpoint = make(chan struct{})
	before := memoryInUse()
	for n := range b.N {
		go w.send(context.Background(), call{node: "a", id: fmt.Sprintf("%036d", n)})
	}
	for w.count("tickets") < b.N {
		runtime.Gosched()
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(b.N), "B/request")
	close(w.blockEndpoint)
	w.chains["a"].gate.Drain()
	_ = w.chains["a"].gate.Wait(context.Background())
	w.close()
}

func memoryInUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// BenchmarkFlood measures the requests of one caller while another caller
// floods the chain from four goroutines. Each caller is limited to 20,000
// requests per second.
func BenchmarkFlood(b *testing.B) {
	w := newBenchCluster(api.LimitsSpec{RatePerSecond: 20_000, Burst: b.N})
	var stop atomic.Bool
	var offered, refused atomic.Int64
	flood := func() {
		for ; !stop.Load(); offered.Add(1) {
			if _, refusal := w.send(context.Background(), call{node: "a", caller: "flood", idempotent: true}); refusal != nil {
				refused.Add(1)
			}
		}
	}
	for range 4 {
		go flood()
	}
	admitted := 0
	for range b.N {
		if _, refusal := w.send(context.Background(), call{node: "a", caller: "other", idempotent: true}); refusal == nil {
			admitted++
		}
	}
	stop.Store(true)
	b.ReportMetric(100*float64(admitted)/float64(b.N), "%other_admitted")
	b.ReportMetric(100*float64(refused.Load())/float64(max(offered.Load(), 1)), "%flood_refused")
}
