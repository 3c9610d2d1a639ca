package retry

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

func TestDecide(t *testing.T) {
	const failed = api.ReasonConnectFailed
	budgeted := Policy{MaxAttempts: 3, Budgeted: true}
	start := State{Attempts: 1, Remaining: time.Second}
	table := []struct {
		name      string
		policy    Policy
		change    func(*State)
		certainty platform.Certainty
		tokens    int
		want      Decision
		left      int
	}{
		{"certainly not run", budgeted, func(*State) {}, platform.CertainNotRun, 1, Decision{true, failed}, 0},
		{"may have run", budgeted, func(*State) {}, platform.MayHaveRun, 1, Decision{false, api.ReasonRetryNotIdempotent}, 1},
		{"certainty not set", budgeted, func(*State) {}, 0, 1, Decision{false, api.ReasonRetryNotIdempotent}, 1},
		{"idempotent", budgeted, func(s *State) { s.Idempotent = true }, platform.MayHaveRun, 1, Decision{true, failed}, 0},
		{"forwarded", budgeted, func(s *State) { s.Forwarded = true }, platform.CertainNotRun, 1, Decision{false, failed}, 1},
		{"attempts exhausted", budgeted, func(s *State) { s.Attempts = 3 }, platform.CertainNotRun, 1, Decision{false, failed}, 1},
		{"too late", budgeted, func(s *State) { s.Remaining = MinRemaining - 1 }, platform.CertainNotRun, 1, Decision{false, api.ReasonDeadlinePassed}, 1},
		{"caller gone", budgeted, func(s *State) { s.CallerGone = true }, platform.CertainNotRun, 1, Decision{false, api.ReasonCallerGone}, 1},
		{"no budget", budgeted, func(*State) {}, platform.CertainNotRun, 0, Decision{false, api.ReasonRetryBudget}, 0},
		{"policy without budget", Policy{MaxAttempts: 4}, func(s *State) { s.Attempts = 3 }, platform.CertainNotRun, 0, Decision{true, failed}, 0},
	}
	for _, row := range table {
		state, tokens := start, row.tokens
		row.change(&state)
		withdraw := func() bool { tokens--; return tokens >= 0 }
		if got := Decide(row.policy, state, row.certainty, failed, withdraw); got != row.want || max(tokens, 0) != row.left {
			t.Errorf("%s: got %+v with %d tokens left, want %+v with %d", row.name, got, tokens, row.want, row.left)
		}
	}
}

func TestBudgetGrantsRatioOfRequests(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 1000 {
		b.Deposit("caller", 0.125)
		for b.Withdraw("caller") {
			retries++
		}
	}
	if want := maxRetriesPerCaller + 124; retries < want || retries > want+1 || !b.Withdraw("other") {
		t.Errorf("%d retries for 1000 requests, or another caller has no retries left", retries)
	}
}
