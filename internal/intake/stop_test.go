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

// longWait is the time of clients that would wait for longer than any test
// plays: what they are told was not brought about by their deadline.
const longWait = time.Hour

// outcome is what a client was told and when.
type outcome struct {
	err   error
	after time.Duration // since it handed its record in
}

// handIn hands in a record for a client with the given time.
func handIn(in *Intake, wait, patience time.Duration) <-chan outcome {
	told := make(chan outcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		began := time.Now()
		err := in.Store(ctx, platform.Record{Key: "k", Value: []byte{1}}, patience)
		told <- outcome{err, time.Since(began)}
	}()
	return told
}

// begin runs an intake and returns what ends it.
func begin(cfg Config, relay Relay) (*Intake, context.CancelFunc) {
	never := func(string) bool { return false }
	in := New(cfg, &fakeLog{}, platform.Partition{}, relay, func() bool { return false }, never, logging.Silent())
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = in.Run(ctx) }()
	return in, stop
}

// Users of a machine that was restarted saw their connection closed without an
// answer. Order of events: the process was asked to stop; its loops ended, the
// intake's among them; requests that were still being read were handed in, or
// had been put back in line since the store took nothing; nobody took them any
// more, so they were left to their clients' time, of which the process didn't
// await the end. Cause: Run answered what stood in line at the moment of its
// end, and Store went on to take more. The evidence: after the end of Run,
// Store returned only with its context, after an hour here.
func TestPendingRequestsAreAnsweredAfterStop(t *testing.T) {
	t.Run("handed in after the end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			in, stop := begin(DefaultConfig(), always(nil))
			stop()
			synctest.Wait()
			got := <-handIn(in, longWait, time.Second)
			if !errors.Is(got.err, ErrNotStored) || got.after > 0 {
				t.Errorf("told %v after %v, want at once that it is not stored", got.err, got.after)
			}
		})
	})
	t.Run("put back in line before the end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cfg := DefaultConfig()
			in, stop := begin(cfg, always(ErrStoreRefused))
			told := handIn(in, longWait, longWait/2)
			time.Sleep(cfg.RefusalDelay / 4) // it was refused once and waits for its next turn
			stop()
			got := <-told
			if !errors.Is(got.err, ErrNotStored) || got.after > cfg.MaxRefusalDelay {
				t.Errorf("told %v after %v, want within %v that it is not stored", got.err, got.after, cfg.MaxRefusalDelay)
			}
		})
	})
	t.Run("in line behind batches that are under way", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.MaxBatches = 1
			in, stop := begin(cfg, func(ctx context.Context, records []platform.Record) []error {
				<-ctx.Done()
				return always(ErrUnknown)(ctx, records)
			})
			first := handIn(in, longWait, time.Second)
			time.Sleep(2 * cfg.GatherDelay) // it is under way
			second := handIn(in, longWait, time.Second)
			time.Sleep(2 * cfg.GatherDelay)
			stop()
			got := <-second
			if !errors.Is(got.err, ErrNotStored) || got.after > 2*cfg.GatherDelay {
				t.Errorf("told %v after %v, want at once that it is not stored", got.err, got.after)
			}
			<-first
		})
	})
}

// A client whose time ends while its record still waits in line is told that
// it is not stored, and nobody stores it afterwards.
func TestPendingRequestIsWithdrawnWithClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		var tries atomic.Int32
		in, stop := begin(cfg, func(ctx context.Context, records []platform.Record) []error {
			if tries.Add(1) == 1 {
				return always(ErrStoreRefused)(ctx, records)
			}
			return always(nil)(ctx, records)
		})
		defer stop()
		got := <-handIn(in, cfg.RefusalDelay/4, longWait) // it was refused once and waits for its next turn
		if !errors.Is(got.err, ErrNotStored) {
			t.Errorf("told %v, want that it is not stored", got.err)
		}
		time.Sleep(2 * cfg.MaxRefusalDelay)
		if n := tries.Load(); n != 1 {
			t.Errorf("handed to the leader %d times", n)
		}
	})
}
