package assist

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// unreachableCaller answers no call.
type unreachableCaller struct{}

func (unreachableCaller) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

type emptyAdviser struct{}

func (emptyAdviser) Advise(context.Context, work.StepKey, []string) ([]platform.Grant, time.Duration, error) {
	return nil, 0, nil
}

// When a data centre was cut off, a third of the jobs of the first second waited 3 s for advice calls
// at machines there, although they had only one second in all to spare.
func TestAdviceCallToSilentMachineIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := NewPeers("self", emptyAdviser{}, unreachableCaller{})
		peers.HandleAttachment(Attachment{Node: "other", Address: "other:1"}, time.Now())
		call := queue.CallTime{Fixed: 26 * time.Millisecond, Total: 40 * time.Millisecond}
		s := peers.Take(call, time.Now())
		if s == nil || s.machine.address == "" {
			t.Fatal("the call did not go to the other machine")
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, _, err := peers.Advise(ctx, s, work.StepKey{}, nil); err == nil {
			t.Fatal("a silent machine answered")
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("abandoned after %v", took)
		}
		if s := peers.Take(call, time.Now()); s == nil || s.machine.address != "" {
			t.Error("the next call went to a silent machine")
		}
		peers.RecordAnswer("other", true, time.Now())
		if s := peers.Take(call, time.Now()); s == nil || s.machine.address == "" {
			t.Error("a machine that answers again got no call")
		}
	})
}

// A long call to a machine that still answers other calls is not abandoned.
func TestLongAdviceCallToResponsiveMachineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := NewPeers("self", emptyAdviser{}, unreachableCaller{})
		peers.HandleAttachment(Attachment{Node: "other", Address: "other:1"}, time.Now())
		s := peers.Take(queue.CallTime{Fixed: 600 * time.Millisecond, Total: 2 * time.Second}, time.Now())
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(maxIdleInterval):
					peers.RecordAnswer("other", true, time.Now())
				}
			}
		}()
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, _, _ = peers.Advise(ctx, s, work.StepKey{}, nil) // only its own timeout ends the call
		close(stop)
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("abandoned after %v", took)
		}
	})
}
