package plan

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, factor := range []float64{1.6} {
		for _, former := range []bool{true, false} {
			if former && os.Getenv("SKIP") != "" {
				continue
			}
			const seeds = 4
			var wg sync.WaitGroup
			results := make([][5]loadResult, seeds)
			var idle, used float64
			var mu sync.Mutex
			drops := ""
			for seed := range uint64(seeds) {
				wg.Add(1)
				go func() {
					defer wg.Done()
					f := newFullCell(t, 100, factor, false, seed)
					if former {
						f.cell.gangs = &wholeExecutorReservations{cell: f.cell}
					}
					for f.now.Sub(testStart) < 42*time.Second {
						f.stepLoad(40*time.Millisecond, true)
					}
					results[seed] = [5]loadResult{f.result("gangs", 0), f.result("gangs", f.largestTenth()), f.result("batches", 0), f.result("urgent", 0)}
					mu.Lock()
					defer mu.Unlock()
					used += f.usedMs / 40000 / seeds
					if g, ok := f.cell.gangs.(*gathering); ok {
						idle += g.idleTime
						for _, k := range g.keepers {
							drops += fmt.Sprint(k.TakeDropped(), " ")
						}
					}
				}()
			}
			wg.Wait()
			var sum [5]loadResult
			for _, r := range results {
				for i := range r {
					sum[i].jobs += r[i].jobs
					sum[i].inTime += r[i].inTime
					sum[i].meanWait += r[i].meanWait / seeds
				}
			}
			t.Logf("factor %.1f former %v used %.2f idle %.0f", factor, former, used, idle)
			t.Logf("   G %v; L %v", sum[0], sum[1])
			t.Logf("   B %v; U %v", sum[2], sum[3])
			if os.Getenv("DROPS") != "" {
				t.Log(drops)
			}
		}
	}
}
