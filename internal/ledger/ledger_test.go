package ledger

import (
	"errors"
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"pgregory.net/rapid"
)

// After any sequence of allocations and releases no account exceeds its capacity, and the
// incremental sum equals the sum of the allocations.
func TestNeverOverCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Ledger
		capacity := api.Resources{MilliCPU: 8000, MemoryMB: 64, Accelerators: 2}
		l.SetCapacity(0, capacity)
		allocated := map[Key]api.Resources{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := Key{Job: rapid.Uint32Range(0, 3).Draw(t, "job"), Index: rapid.Uint32Range(0, 3).Draw(t, "index")}
			if rapid.Bool().Draw(t, "release") {
				_, err := l.Release(0, key)
				if _, ok := allocated[key]; ok != (err == nil) {
					t.Fatalf("release of %v: %v", key, err)
				}
				delete(allocated, key)
			} else {
				amount := api.Resources{
					MilliCPU:     rapid.Int64Range(-1, 5000).Draw(t, "cpu"),
					MemoryMB:     rapid.Int64Range(0, 40).Draw(t, "memory"),
					Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
				}
				if l.Allocate(0, key, amount) == nil {
					allocated[key] = amount
				}
			}
			var sum api.Resources
			for _, r := range allocated {
				sum = sum.Add(r)
			}
			_, used, _ := l.Usage(0)
			if used != sum || !used.Fits(capacity) || used.HasNegative() {
				t.Fatalf("used %v, sum of allocations %v, capacity %v", used, sum, capacity)
			}
		}
	})
}

func TestAllocateErrors(t *testing.T) {
	var l Ledger
	l.SetCapacity(2, api.Resources{MilliCPU: 1000})
	key := Key{Job: 1, Index: 1, Attempt: 1}
	one := api.Resources{MilliCPU: 1000}
	if err := l.Allocate(1, key, one); !errors.Is(err, ErrUnknownVM) {
		t.Error(err)
	}
	if err := l.Allocate(2, key, api.Resources{}); !errors.Is(err, ErrInvalidAmount) {
		t.Error(err)
	}
	if err := l.Allocate(2, key, one); err != nil {
		t.Error(err)
	}
	if err := l.Allocate(2, key, one); !errors.Is(err, ErrAllocationExists) {
		t.Error(err)
	}
	if err := l.Allocate(2, Key{Job: 2}, one); !errors.Is(err, ErrInsufficientCapacity) {
		t.Error(err)
	}
}
