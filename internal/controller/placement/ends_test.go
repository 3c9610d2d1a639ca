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

// freed notes when the log said that each task holds its VM no longer.
type freed struct {
	mu sync.Mutex
	at map[api.TaskID]time.Time
}

func (f *freed) note(events []cell.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range events {
		if e.Kind == cell.EventTaskFreed {
			f.at[e.Task] = time.Now()
		}
	}
}

func (f *freed) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.at)
}

// A short task's room is free soon after it ends, not only when the lease is
// renewed next.
func TestEndOfShortTaskIsDetectedQuickly(t *testing.T) {
	run(t, 4, func(b *bench) {
		const tasks, most = 100, 100 * time.Millisecond
		f := &freed{at: make(map[api.TaskID]time.Time)}
		b.machine.Subscribe(f.note)
		rng := rand.New(rand.NewPCG(1, 1))
		began, before := time.Now(), b.exchanges()
		for i := range tasks {
			b.submit(batch(api.JobID(fmt.Sprintf("short-%02d", i)), 1, time.Duration(100+rng.IntN(3000))*time.Millisecond))
		}
		for f.count() < tasks {
			if time.Since(began) > time.Minute {
				t.Fatalf("%d of %d tasks ended", f.count(), tasks)
			}
			time.Sleep(10 * time.Millisecond)
		}
		took, sent := time.Since(began), b.exchanges()-before
		var sum, longest time.Duration
		for _, w := range b.workers {
			for _, r := range w.Record().Runs {
				late := f.at[r.Task].Sub(r.End)
				sum += late
				longest = max(longest, late)
			}
		}
		t.Logf("seen after %v on average, %v at most; all ended after %v; %d exchanges", sum/tasks, longest, took, sent)
		if longest > most {
			t.Errorf("an end was seen after %v, want at most %v", longest, most)
		}
	})
}

func (b *bench) exchanges() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.syncs
}
