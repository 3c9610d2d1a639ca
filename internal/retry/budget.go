package retry

import (
	"hash/maphash"
	"sync"
)

const (
	budgetShards = 16
	// budgetCap is the most retries that a caller can save up.
	budgetCap = 10
	// budgetCallers bounds the callers remembered in one shard.
	budgetCallers = 4096
)

// Budget holds, for each caller, the retries that its requests have earned.
// A caller unknown to it starts with budgetCap.
type Budget struct {
	seed   maphash.Seed
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns an empty budget.
func NewBudget() *Budget {
	b := &Budget{seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].tokens = make(map[string]float64)
	}
	return b
}

func (b *Budget) shard(caller string) *budgetShard {
	return &b.shards[maphash.String(b.seed, caller)%budgetShards]
}

// Deposit credits caller with ratio retries for one request.
func (b *Budget) Deposit(caller string, ratio float64) {
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[caller] = min(s.balance(caller)+ratio, budgetCap)
}

// Withdraw takes one retry, or returns false when caller has none.
func (b *Budget) Withdraw(caller string) bool {
	s := b.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.balance(caller)
	if have < 1 {
		return false
	}
	s.tokens[caller] = have - 1
	return true
}

// balance needs s.mu. A full shard forgets one caller at random.
func (s *budgetShard) balance(caller string) float64 {
	have, ok := s.tokens[caller]
	if ok {
		return have
	}
	if len(s.tokens) >= budgetCallers {
		for other := range s.tokens {
			delete(s.tokens, other)
			break
		}
	}
	return budgetCap
}
