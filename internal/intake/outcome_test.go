package intake

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// clientTimeout is how long the clients in these tests wait.
const clientTimeout = 3 * time.Second

// succession is the time from the start of a test after which a new leader is known.
const succession = 600 * time.Millisecond

// runSuccession runs an Intake whose leader of epoch 5 is followed by that of epoch 9 after succession. It
// submits records keyed by number, with gaps in between, for clients that wait clientTimeout, and returns
// their outcomes.
func runSuccession(t *testing.T, l *fakeLog, requests int, gap time.Duration, relay func(epoch uint64, record platform.Record) error) []clientOutcome {
	t.Helper()
	outcomes := make([]clientOutcome, requests)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var mu sync.Mutex
		epoch := func() uint64 {
			if time.Since(start) < succession {
				return 5
			}
			return 9
		}
		passOn := func(_ context.Context, records []platform.Record) []error {
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			errs := make([]error, len(records))
			for i, r := range records {
				errs[i] = relay(epoch(), r)
			}
			return errs
		}
		in := New(DefaultConfig(), l, platform.Partition{}, passOn, func() bool { return l.storeDown }, func(string) bool { return false }, logging.Nop())
		in.SetLeaderEpoch(epoch)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = in.Run(ctx) }()
		var clients sync.WaitGroup
		for i := range requests {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * gap)
				client, cancel := context.WithTimeout(ctx, clientTimeout)
				defer cancel()
				err := in.Store(client, platform.Record{Key: fmt.Sprint(i), Value: []byte{1}}, l.retryFor)
				outcomes[i] = clientOutcome{err, time.Since(start)}
			})
		}
		clients.Wait()
		stop()
		time.Sleep(5 * time.Second) // what is in progress ends
	})
	return outcomes
}

// Guards against clients being left unsure although the next leader could tell: it has read all that the
// former one stored. The leader was lost with an append in progress, or its answer was lost.
func TestNextLeaderSettlesTheOutcome(t *testing.T) {
	var busy *BusyError
	for _, c := range []struct {
		name   string
		former error
		next   func(sinceSuccession time.Duration) error
		isWant func(error) bool
		within time.Duration
	}{
		{"in progress, next stores", ErrInProgress, func(time.Duration) error { return nil }, func(err error) bool { return err == nil }, time.Second},
		{"unknown, next stores", ErrUnknown, func(time.Duration) error { return nil }, func(err error) bool { return err == nil }, time.Second},
		{"in progress, next refuses for capacity", ErrInProgress, func(time.Duration) error { return &BusyError{} }, func(err error) bool { return errors.As(err, &busy) }, time.Second},
		{"in progress, next has to take over", ErrInProgress, func(d time.Duration) error {
			if d < time.Second {
				return ErrStoreRefused
			}
			return nil
		}, func(err error) bool { return err == nil }, 2 * time.Second},
		{"in progress, next refuses", ErrInProgress, func(time.Duration) error { return ErrStoreRefused },
			func(err error) bool { return errors.Is(err, ErrUnknown) && !errors.Is(err, ErrNotStored) }, clientTimeout + settleTime},
	} {
		l := &fakeLog{storeDown: c.former == ErrUnknown} // else it would be stored by a direct append
		var succeededAt time.Time
		got := runSuccession(t, l, 1, 0, func(epoch uint64, _ platform.Record) error {
			if epoch == 5 {
				return c.former
			}
			if succeededAt.IsZero() {
				succeededAt = time.Now()
			}
			return c.next(time.Since(succeededAt))
		})
		if !c.isWant(got[0].err) || got[0].elapsed > c.within || l.appends != 0 {
			t.Errorf("%s: %v after %v and %d direct appends", c.name, got[0].err, got[0].elapsed, l.appends)
		}
	}
}

// Guards against requests waiting behind an append to a slow store although a new leader could store them.
func TestRequestsThatWaitForASlotGoToTheNextLeader(t *testing.T) {
	l := &fakeLog{latency: 2 * time.Second, retryFor: clientTimeout}
	got := runSuccession(t, l, 4, 100*time.Millisecond, func(epoch uint64, _ platform.Record) error {
		if epoch == 5 {
			return ErrNoLeader
		}
		return nil
	})
	for i, o := range got {
		if o.err != nil || (i > 0 && o.elapsed > time.Second) {
			t.Errorf("request %d: %v after %v", i, o.err, o.elapsed)
		}
	}
	if l.appends != 1 {
		t.Errorf("%d direct appends, want only the one before the new leader", l.appends)
	}
}

// A burst arrives while nobody leads and the store is slow or away. No client is left unsure of a job that
// was sent to nobody, and those that may still wait are stored by the next leader.
func TestBurstWithoutLeaderAndStore(t *testing.T) {
	const requests = 300
	for _, c := range []struct {
		name string
		log  *fakeLog
	}{
		{"slow", &fakeLog{latency: 2 * time.Second, retryFor: clientTimeout}},
		{"away", &fakeLog{storeDown: true, retryFor: clientTimeout}},
		{"away, clients that are refused early", &fakeLog{storeDown: true, retryFor: 100 * time.Millisecond}},
	} {
		got := runSuccession(t, c.log, requests, 3*time.Millisecond, func(epoch uint64, _ platform.Record) error {
			if epoch == 5 {
				return ErrNoLeader
			}
			return nil
		})
		stored, unsure := 0, 0
		for _, o := range got {
			if o.err == nil {
				stored++
			}
			if errors.Is(o.err, ErrUnknown) {
				unsure++
			}
		}
		if unsure > 0 || (c.log.retryFor == clientTimeout && stored < requests) || stored < requests/4 {
			t.Errorf("%s: of %d requests %d were stored, %d left unsure", c.name, requests, stored, unsure)
		}
	}
}

// Guards against an uncertain record making others of its batch uncertain, of which nothing was sent.
func TestOutcomesOfABatchAreSeparate(t *testing.T) {
	var errs []error
	for range 1000 {
		errs = append(errs, platform.ErrUnavailable)
	}
	got := runSuccession(t, &fakeLog{errs: errs}, 3, 0, func(_ uint64, r platform.Record) error {
		if r.Key == "1" {
			return ErrUnknown
		}
		return ErrNotStored
	})
	for i, o := range got {
		want := ErrNotStored
		if i == 1 {
			want = ErrUnknown
		}
		if !errors.Is(o.err, want) || (i != 1 && o.elapsed > time.Second) {
			t.Errorf("request %d: %v after %v, want %v", i, o.err, o.elapsed, want)
		}
	}
}

// Guards against an untrue refusal: a direct append without an answer may be applied after the next leader
// has read everything, so that leader's refusal says nothing about it.
func TestRefusalAfterADirectAppendLeavesOutcomeUnknown(t *testing.T) {
	l := &fakeLog{errs: []error{platform.ErrUncertain}, latency: 700 * time.Millisecond}
	got := runSuccession(t, l, 1, 0, func(epoch uint64, _ platform.Record) error {
		if epoch == 5 {
			return ErrNoLeader
		}
		return &BusyError{}
	})
	var busy *BusyError
	if errors.As(got[0].err, &busy) || errors.Is(got[0].err, ErrNotStored) || !errors.Is(got[0].err, ErrUnknown) {
		t.Errorf("got %v, want ErrUnknown", got[0].err)
	}
}

// A call to the leader that ends with the client's time and was not sent leaves no client unsure. It did,
// because Store returned before the call.
func TestCallThatWasNotSentIsNotUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, stop := startIntake(DefaultConfig(), func(ctx context.Context, records []platform.Record) []error {
			<-ctx.Done() // the connection could not be opened
			return noLeaderRelay(ctx, records)
		})
		defer stop()
		got := <-submit(in, 300*time.Millisecond, 0)
		if !errors.Is(got.err, ErrNotStored) || got.elapsed > 300*time.Millisecond+settleTime {
			t.Errorf("got %v after %v, want ErrNotStored", got.err, got.elapsed)
		}
	})
}

// Guards against an untrue refusal at a stop of the process.
func TestStopLeavesUncertainOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var epoch atomic.Uint64
		in := New(DefaultConfig(), &fakeLog{}, platform.Partition{}, relayReturning(ErrInProgress), func() bool { return false }, func(string) bool { return false }, logging.Nop())
		in.SetLeaderEpoch(epoch.Load)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = in.Run(ctx) }()
		done := submit(in, longClientTimeout, time.Second)
		time.Sleep(100 * time.Millisecond)
		stop()
		synctest.Wait()
		epoch.Store(9) // the request is to be passed on, and nobody takes it
		if got := <-done; !errors.Is(got.err, ErrUnknown) || errors.Is(got.err, ErrNotStored) {
			t.Errorf("got %v, want ErrUnknown", got.err)
		}
	})
}
