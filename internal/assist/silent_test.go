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

// cutOff answers no call.
type cutOff struct{}

func (cutOff) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

type ownAdviser struct{}

func (ownAdviser) Advise(context.Context, work.StepKey, []string) ([]platform.Grant, time.Duration, error) {
	return nil, 0, nil
}

// A third of the jobs of the first second of a cut waited 3 s for calls for advice at
// machines that were cut off, with a second to spare in all.
func TestAdviceCallToSilentMachineIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewPeers("self", ownAdviser{}, cutOff{})
		h.HandleAttachment(Attachment{Node: "other", Address: "other:1"}, time.Now())
		call := queue.CallTime{Fixed: 26 * time.Millisecond, Total: 40 * time.Millisecond}
		s := h.Take(call, time.Now())
		if s == nil || s.helper.address == "" {
			t.Fatal("the call goes to the machine that has less to do")
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, _, err := h.Advise(ctx, s, work.StepKey{}, nil); err == nil {
			t.Fatal("a silent machine has answered")
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("given up after %v", took)
		}
		if s := h.Take(call, time.Now()); s == nil || s.helper.address != "" {
			t.Error("the next call goes to a silent machine")
		}
		h.RecordAnswer("other", true, time.Now())
		if s := h.Take(call, time.Now()); s == nil || s.helper.address == "" {
			t.Error("a machine that answers again gets no calls")
		}
	})
}

// A call that takes long is waited for at a machine that gives signs of life.
func TestLongAdviceCallToResponsiveMachineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewPeers("self", ownAdviser{}, cutOff{})
		h.HandleAttachment(Attachment{Node: "other", Address: "other:1"}, time.Now())
		s := h.Take(queue.CallTime{Fixed: 600 * time.Millisecond, Total: 2 * time.Second}, time.Now())
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(deliverIdle):
					h.RecordAnswer("other", true, time.Now())
				}
			}
		}()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, _, _ = h.Advise(ctx, s, work.StepKey{}, nil) // its own timeout ends it
		close(stop)
		if took := time.Since(began); took != 3*time.Second {
			t.Errorf("given up after %v", took)
		}
	})
}
