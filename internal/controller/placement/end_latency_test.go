package placement_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// freedTimes records when the log showed that each task no longer held its VM.
type freedTimes struct {
	mu sync.Mutex
	at map[api.TaskID]time.Time
}

func (f *freedTimes) record(events []cell.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range events {
		if e.Kind == cell.EventTaskFreed {
			f.at[e.Task] = time.Now()
		}
	}
}

func (f *freedTimes) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.at)
}

// The VM of a short task is free soon after the task ends, not only after the next
// regular lease renewal.
func TestEndOfShortTaskIsDetectedQuickly(t *testing.T) {
	runCell(t, 4, func(c *testCell) {
		const tasks, maxDelay = 100, 100 * time.Millisecond
		f := &freedTimes{at: make(map[api.TaskID]time.Time)}
		c.machine.Subscribe(f.record)
		rng := rand.New(rand.NewPCG(1, 1))
		start, before := time.Now(), c.exchanges()
		for i := range tasks {
			c.submit(batchSpec(api.JobID(fmt.Sprintf("short-%02d", i)), 1, time.Duration(100+rng.IntN(3000))*time.Millisecond))
		}
		for f.count() < tasks {
			if time.Since(start) > time.Minute {
				t.Fatalf("%d of %d tasks ended", f.count(), tasks)
			}
			time.Sleep(10 * time.Millisecond)
		}
		took, sent := time.Since(start), c.exchanges()-before
		var sum, maxSeen time.Duration
		for _, w := range c.workers {
			for _, r := range w.Record().Runs {
				delay := f.at[r.Task].Sub(r.End)
				sum += delay
				maxSeen = max(maxSeen, delay)
			}
		}
		t.Logf("ends detected after %v on average and %v at most; all tasks ended after %v; %d exchanges", sum/tasks, maxSeen, took, sent)
		if maxSeen > maxDelay {
			t.Errorf("an end was detected after %v, want at most %v", maxSeen, maxDelay)
		}
	})
}

func (c *testCell) exchanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchangeCount
}
