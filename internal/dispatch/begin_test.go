package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// slowCalls is a store whose reads take as long as its appends.
type slowCalls struct{ slowStore }

func (s slowCalls) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	select {
	case <-time.After(s.takes):
		return s.memoryStore.Read(ctx, p, from, wait)
	case <-ctx.Done():
		return platform.RecordBatch{}, platform.ErrUnavailable
	}
}

// begins returns after what time a new leader plans at such a store. Its partition has a
// record that was written while it claimed the cell.
func begins(t *testing.T, takes time.Duration) time.Duration {
	p := newCellPlay(t)
	defer func() { p.stop() }()
	slow := slowCalls{slowStore{p.store, takes}}
	p.log, p.reader.Log = slow, slow
	began := time.Now()
	p.lead()
	for time.Since(began) < 10*time.Second {
		p.runner.mu.Lock()
		plans := p.runner.cell != nil
		p.runner.mu.Unlock()
		if plans {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

func TestNewLeaderReadsWhileItFencesTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 100 * time.Millisecond // a call
		if took := begins(t, takes); took > takes+takes/2 {
			t.Errorf("it plans after %v, a call takes %v", took, takes)
		}
	})
}
