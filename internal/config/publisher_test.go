package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// fakeJournal is a journal that applies entries one at a time and injects
// faults: it drops an entry, loses the answer, applies an entry twice, or
// applies it only at the next call.
type fakeJournal struct {
	machine *StateMachine
	mu      sync.Mutex
	random  *rand.Rand
	delayed []journal.Entry // applied at the next call
}

func (f *fakeJournal) Propose(_ context.Context, e journal.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, delayed := range f.delayed {
		_ = f.machine.Apply(journal.Position{}, delayed)
	}
	f.delayed = nil
	switch f.random.IntN(5) {
	case 0:
		return journal.ErrNotWritten
	case 1:
		f.delayed = append(f.delayed, e)
		return journal.ErrUnsettled
	case 2:
		_ = f.machine.Apply(journal.Position{}, e)
		return journal.ErrUnsettled
	case 3:
		_ = f.machine.Apply(journal.Position{}, e)
	}
	return f.machine.Apply(journal.Position{}, e)
}

// casOutput is the final outcome of one compare-and-set.
type casOutput struct {
	accepted bool
	revision api.Revision // the new revision if accepted, else the one in force
}

// casRegister models the revision in force of one key as a register with
// compare-and-set.
var casRegister = porcupine.Model{
	Init: func() any { return api.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		inForce, basedOn, out := state.(api.Revision), input.(api.Revision), output.(casOutput)
		if out.accepted {
			return inForce == basedOn && out.revision > inForce, out.revision
		}
		return inForce == out.revision && inForce != basedOn, state
	},
}

// TestConcurrentPublishersHaveOneWinner lets publishers compete over a faulty
// journal and retry until their outcome is known. It checks that exactly one
// wins over each revision and that the history is linearizable.
func TestConcurrentPublishersHaveOneWinner(t *testing.T) {
	const publishers, rounds = 6, 12
	m := NewStateMachine()
	p := NewPublisher(m, &fakeJournal{machine: m, random: rand.New(rand.NewPCG(1, 2))})
	var mu sync.Mutex
	var history []porcupine.Operation
	winners := map[api.Revision]int{}
	begin := time.Now()
	var wg sync.WaitGroup
	for client := range publishers {
		wg.Go(func() {
			var known api.Revision
			for round := range rounds {
				rec := service("a", 1, known, fmt.Sprintf(`{"timeout_ms":%d}`, 1+client*1000+round))
				op := porcupine.Operation{ClientId: client, Input: known, Call: int64(time.Since(begin))}
				out := publishUntilSettled(t, p, rec)
				op.Output, op.Return = out, int64(time.Since(begin))
				mu.Lock()
				history = append(history, op)
				if out.accepted {
					winners[known]++
				}
				mu.Unlock()
				known = out.revision
			}
		})
	}
	wg.Wait()
	for basedOn, n := range winners {
		if n != 1 {
			t.Errorf("%d publishers won over revision %d", n, basedOn)
		}
	}
	if !porcupine.CheckOperations(casRegister, history) {
		t.Error("history is not linearizable")
	}
}

// publishUntilSettled publishes rec until its outcome is known.
func publishUntilSettled(t *testing.T, p *Publisher, rec api.Record) casOutput {
	for {
		rev, err := p.Publish(context.Background(), rec)
		var conflict *ConflictError
		switch {
		case err == nil:
			return casOutput{accepted: true, revision: rev}
		case errors.As(err, &conflict):
			return casOutput{revision: conflict.InForce}
		case !errors.Is(err, journal.ErrNotWritten) && !errors.Is(err, journal.ErrUnsettled):
			t.Errorf("unexpected error: %v", err)
			return casOutput{}
		}
	}
}

// TestRepeatedPublicationIsRecognisedAfterLaterChanges publishes a record again
// whose first answer was lost, after another record has replaced it. The repeat
// must return the original revision without a proposal to the log.
func TestRepeatedPublicationIsRecognisedAfterLaterChanges(t *testing.T) {
	m := NewStateMachine()
	lost := service("a", 2, 0, `{"timeout_ms": 5}`)
	must(t, apply(m, "", compactSpec(lost)))
	must(t, apply(m, "", service("a", 2, 1, `{"timeout_ms":6}`)))
	p := NewPublisher(m, nil) // the outcomes must be known without the log
	if rev, err := p.Publish(context.Background(), lost); rev != 1 || err != nil {
		t.Fatalf("repeat of revision 1: got revision %d, %v", rev, err)
	}
	var conflict *ConflictError
	if _, err := p.PublishWithID(context.Background(), "other operator", lost); !errors.As(err, &conflict) || conflict.InForce != 2 {
		t.Fatalf("identical record of another operator: got %v, want a conflict", err)
	}
	var l *finding.List
	if _, err := p.Publish(context.Background(), service("a", 2, 2, `{"max_attempts":0,"retries":1}`)); !errors.As(err, &l) || len(l.Findings) == 0 {
		t.Fatalf("invalid record: got %v, want findings", err)
	}
}
