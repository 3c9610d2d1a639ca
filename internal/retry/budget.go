package retry

import (
	"hash/maphash"
	"sync"
)

const (
	shardCount = 16
	// maxRetriesPerCaller is the maximum number of retries that a caller can accumulate.
	maxRetriesPerCaller = 10
	// maxCallersPerShard is the maximum number of callers in one shard.
	maxCallersPerShard = 4096
)

// Budget holds the number of retries that each caller has earned by its requests. A new
// caller starts with maxRetriesPerCaller retries.
type Budget struct {
	seed   maphash.Seed
	shards [shardCount]budgetShard
}

type budgetShard struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget without callers.
func NewBudget() *Budget {
	b := &Budget{seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].tokens = make(map[string]float64)
	}
	return b
}

func (b *Budget) shard(caller string) *budgetShard {
	return &b.shards[maphash.String(b.seed, caller)%shardCount]
}

// Deposit credits caller with ratio retries for one request.
func (b *Budget) Deposit(caller string, ratio float64) {
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[caller] = min(s.balance(caller)+ratio, maxRetriesPerCaller)
}

// Withdraw takes one retry from the balance of caller. It returns false if there is none.
func (b *Budget) Withdraw(caller string) bool {
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	available := s.balance(caller)
	if available < 1 {
		return false
	}
	s.tokens[caller] = available - 1
	return true
}

// balance returns the number of retries of caller. For a new caller, it removes an
// arbitrary other one if the shard is full. s.mu is held.
func (s *budgetShard) balance(caller string) float64 {
	available, ok := s.tokens[caller]
	if ok {
		return available
	}
	if len(s.tokens) >= maxCallersPerShard {
		for other := range s.tokens {
			delete(s.tokens, other)
			break
		}
	}
	return maxRetriesPerCaller
}
