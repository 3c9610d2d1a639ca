package intake

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// longClientTimeout is longer than any test runs, so that no result in these tests is caused by the
// deadline of a client.
const longClientTimeout = time.Hour

// clientOutcome is the result that a client received and when.
type clientOutcome struct {
	err     error
	elapsed time.Duration // since its record was submitted
}

// submit submits a record for a client with the given timeout.
func submit(in *Intake, timeout, retryFor time.Duration) <-chan clientOutcome {
	done := make(chan clientOutcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		start := time.Now()
		err := in.Store(ctx, platform.Record{Key: "k", Value: []byte{1}}, retryFor)
		done <- clientOutcome{err, time.Since(start)}
	}()
	return done
}

// startIntake runs an Intake and returns it with a function that stops it.
func startIntake(cfg Config, relay Relay) (*Intake, context.CancelFunc) {
	never := func(string) bool { return false }
	in := New(cfg, &fakeLog{}, platform.Partition{}, relay, func() bool { return false }, never, logging.Nop())
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = in.Run(ctx) }()
	return in, stop
}

// Clients of a restarted machine saw their connections closed without an answer. Run answered only what
// was pending when it returned, while Store went on to accept requests: those that were still being read,
// and those put back because the store refused them. Nobody handled these, and the process did not wait
// until their deadlines. Store then returned only with its context, here after an hour.
func TestPendingRequestsAreAnsweredAfterStop(t *testing.T) {
	t.Run("submitted after the stop", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			in, stop := startIntake(DefaultConfig(), relayReturning(nil))
			stop()
			synctest.Wait()
			got := <-submit(in, longClientTimeout, time.Second)
			if !errors.Is(got.err, ErrNotStored) || got.elapsed > 0 {
				t.Errorf("got %v after %v, want ErrNotStored immediately", got.err, got.elapsed)
			}
		})
	})
	t.Run("queued again before the stop", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cfg := DefaultConfig()
			in, stop := startIntake(cfg, relayReturning(ErrStoreRefused))
			done := submit(in, longClientTimeout, longClientTimeout/2)
			time.Sleep(cfg.RefusalDelay / 4) // it has been refused once and waits to be queued again
			stop()
			got := <-done
			if !errors.Is(got.err, ErrNotStored) || got.elapsed > cfg.MaxRefusalDelay {
				t.Errorf("got %v after %v, want ErrNotStored within %v", got.err, got.elapsed, cfg.MaxRefusalDelay)
			}
		})
	})
	t.Run("pending behind batches in progress", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.MaxBatches = 1
			in, stop := startIntake(cfg, func(ctx context.Context, records []platform.Record) []error {
				<-ctx.Done()
				return relayReturning(ErrUnknown)(ctx, records)
			})
			first := submit(in, longClientTimeout, time.Second)
			time.Sleep(2 * cfg.GatherDelay) // it is in progress
			second := submit(in, longClientTimeout, time.Second)
			time.Sleep(2 * cfg.GatherDelay)
			stop()
			got := <-second
			if !errors.Is(got.err, ErrNotStored) || got.elapsed > 2*cfg.GatherDelay {
				t.Errorf("got %v after %v, want ErrNotStored immediately", got.err, got.elapsed)
			}
			<-first
		})
	})
}

// A client whose deadline passes while its record is pending is told that the record is not stored, and
// the record is not stored afterwards.
func TestPendingRequestIsWithdrawnWithClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		var tries atomic.Int32
		in, stop := startIntake(cfg, func(ctx context.Context, records []platform.Record) []error {
			if tries.Add(1) == 1 {
				return relayReturning(ErrStoreRefused)(ctx, records)
			}
			return relayReturning(nil)(ctx, records)
		})
		defer stop()
		got := <-submit(in, cfg.RefusalDelay/4, longClientTimeout) // it has been refused once and waits to be queued again
		if !errors.Is(got.err, ErrNotStored) {
			t.Errorf("got %v, want ErrNotStored", got.err)
		}
		time.Sleep(2 * cfg.MaxRefusalDelay)
		if n := tries.Load(); n != 1 {
			t.Errorf("passed to the leader %d times, want 1", n)
		}
	})
}
