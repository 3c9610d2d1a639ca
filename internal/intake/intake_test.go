package intake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// fakeLog answers appends as configured and counts all of them and those in flight.
type fakeLog struct {
	randomDuration func(time.Duration) time.Duration // nil: the default
	platform.PartitionLog
	mu             sync.Mutex
	errs           []error // results of the next appends; further appends succeed
	latency        time.Duration
	storeDown      bool
	retryFor       time.Duration // of the clients' requests
	deliveredAfter time.Duration // time from startedAt until the records are delivered; 0: never
	startedAt      time.Time
	appends        int
	inFlight       int
	maxInFlight    int
}

func (l *fakeLog) Append(ctx context.Context, _ platform.Append) (platform.Offset, error) {
	l.mu.Lock()
	l.appends++
	l.inFlight++
	l.maxInFlight = max(l.maxInFlight, l.inFlight)
	var err error
	if len(l.errs) > 0 {
		err, l.errs = l.errs[0], l.errs[1:]
	}
	l.mu.Unlock()
	time.Sleep(l.latency)
	l.mu.Lock()
	l.inFlight--
	l.mu.Unlock()
	return 0, err
}

func (l *fakeLog) isDelivered(string) bool {
	return l.deliveredAfter > 0 && time.Since(l.startedAt) >= l.deliveredAfter
}

// relayReturning returns a Relay with the same result for all records.
func relayReturning(err error) Relay {
	return func(_ context.Context, records []platform.Record) []error {
		errs := make([]error, len(records))
		for i := range errs {
			errs[i] = err
		}
		return errs
	}
}

var noLeaderRelay = relayReturning(ErrNoLeader)

// runIntake runs an Intake, submits n records whose clients wait 3 s, and returns the results.
func runIntake(t *testing.T, l *fakeLog, relay Relay, n int) []error {
	t.Helper()
	var got []error
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l.startedAt = time.Now()
		in := New(DefaultConfig(), l, platform.Partition{}, relay, func() bool { return l.storeDown }, l.isDelivered, logging.Nop())
		if l.randomDuration != nil {
			in.randomDuration = l.randomDuration
		}
		go func() { _ = in.Run(ctx) }()
		var mu sync.Mutex
		var clients sync.WaitGroup
		for i := range n {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				client, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				err := in.Store(client, platform.Record{Key: "k", Value: []byte{1}}, l.retryFor)
				mu.Lock()
				defer mu.Unlock()
				got = append(got, err)
			})
		}
		clients.Wait()
		time.Sleep(5 * time.Second) // appends in progress end
		stop()
		synctest.Wait()
	})
	return got
}

func countErrors(errs []error, target error) int {
	n := 0
	for _, err := range errs {
		if errors.Is(err, target) {
			n++
		}
	}
	return n
}

func TestLeaderStoresRecords(t *testing.T) {
	l := &fakeLog{}
	got := runIntake(t, l, relayReturning(nil), 20)
	if n := countErrors(got, nil); n != 20 || l.appends != 0 {
		t.Fatalf("%d of 20 stored, %d direct appends", n, l.appends)
	}
}

// A slow leader is waited for, because direct appends would queue at the same partition and make it
// slower.
func TestSlowLeaderIsWaitedFor(t *testing.T) {
	l := &fakeLog{}
	slow := func(ctx context.Context, records []platform.Record) []error {
		time.Sleep(2 * time.Second)
		return relayReturning(ctx.Err())(ctx, records)
	}
	got := runIntake(t, l, slow, 8)
	if n := countErrors(got, nil); n != 8 || l.appends != 0 {
		t.Fatalf("%d of 8 stored, %d direct appends", n, l.appends)
	}
}

func TestDirectAppendsAreBounded(t *testing.T) {
	l := &fakeLog{latency: 200 * time.Millisecond}
	got := runIntake(t, l, noLeaderRelay, 100)
	if n := countErrors(got, nil); n != 100 {
		t.Fatalf("%d of 100 stored", n)
	}
	if l.maxInFlight > DefaultConfig().MaxDirectAppends || l.appends > 20 {
		t.Fatalf("%d appends, %d at the same time", l.appends, l.maxInFlight)
	}
}

func TestRefusedAppendIsNotStored(t *testing.T) {
	l := &fakeLog{errs: []error{platform.ErrUnavailable}}
	got := runIntake(t, l, noLeaderRelay, 1)
	if countErrors(got, ErrNotStored) != 1 || l.appends != 1 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// An append that may have been applied is never answered as refused, whatever the results of its
// repetitions.
func TestUncertainAppendStaysUnknown(t *testing.T) {
	errs := []error{platform.ErrUncertain}
	for range 1000 {
		errs = append(errs, platform.ErrUnavailable)
	}
	l := &fakeLog{errs: errs}
	got := runIntake(t, l, noLeaderRelay, 1)
	if countErrors(got, ErrUnknown) != 1 {
		t.Fatalf("got %v", got)
	}
}

// The same holds for records that were passed to a leader whose answer was lost.
func TestLostLeaderAnswerIsUnknown(t *testing.T) {
	var errs []error
	for range 1000 {
		errs = append(errs, platform.ErrUnavailable)
	}
	l := &fakeLog{errs: errs}
	got := runIntake(t, l, relayReturning(ErrUnknown), 1)
	if countErrors(got, ErrUnknown) != 1 {
		t.Fatalf("got %v", got)
	}
}

// A record that certainly cannot be stored is refused immediately.
func TestUnavailableStoreRefusesImmediately(t *testing.T) {
	l := &fakeLog{storeDown: true, latency: time.Hour}
	got := runIntake(t, l, noLeaderRelay, 5)
	if countErrors(got, ErrNotStored) != 5 || l.appends != 0 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// A store that refuses appends is tried again until the clients' time for retries is over.
func TestShortOutageIsRetried(t *testing.T) {
	var errs []error
	for range 5 {
		errs = append(errs, platform.ErrUnavailable)
	}
	l := &fakeLog{errs: errs, retryFor: time.Second}
	got := runIntake(t, l, noLeaderRelay, 1)
	if countErrors(got, nil) != 1 || l.appends != 6 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

func TestLongOutageIsRefused(t *testing.T) {
	l := &fakeLog{storeDown: true, retryFor: time.Second}
	got := runIntake(t, l, noLeaderRelay, 3)
	if countErrors(got, ErrNotStored) != 3 || l.appends != 0 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// A job that would end too late to be of use is refused, and no attempt is made to store it.
func TestBusyErrorIsReturned(t *testing.T) {
	l := &fakeLog{retryFor: time.Second}
	got := runIntake(t, l, relayReturning(&BusyError{RetryAfter: 2 * time.Second}), 3)
	var busy *BusyError
	if len(got) != 3 || !errors.As(got[0], &busy) || busy.RetryAfter != 2*time.Second || l.appends != 0 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// Only the leader appends while it is active: appends of 40 further machines would keep a slow store
// from accepting any in time.
func TestActiveLeaderIsNotBypassed(t *testing.T) {
	for _, c := range []struct {
		name           string
		relay          error
		deliveredAfter time.Duration
		want           error
	}{
		{"refused", ErrStoreRefused, 0, ErrNotStored},
		{"in progress and delivered", ErrInProgress, time.Second, nil},
		{"in progress for too long", ErrInProgress, 0, ErrUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &fakeLog{deliveredAfter: c.deliveredAfter, retryFor: time.Second}
			got := runIntake(t, l, relayReturning(c.relay), 20)
			if n := countErrors(got, c.want); n != 20 || l.appends != 0 {
				t.Errorf("%d of 20 results are %v, %d direct appends", n, c.want, l.appends)
			}
		})
	}
}

// A store whose queue is full is tried at growing intervals. The number of attempts depends on the
// random delays; the test runs with the shortest, the middle and the longest of them.
func TestRefusedAppendsBackOff(t *testing.T) {
	for _, c := range []struct {
		name           string
		randomDuration func(below time.Duration) time.Duration
		appends        int
	}{
		{"shortest pauses", func(time.Duration) time.Duration { return 0 }, 14},
		{"middle", func(below time.Duration) time.Duration { return below / 2 }, 12},
		{"longest", func(below time.Duration) time.Duration { return below - 1 }, 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			var errs []error
			for range 1000 {
				errs = append(errs, platform.ErrUnavailable)
			}
			l := &fakeLog{errs: errs, retryFor: 2900 * time.Millisecond, randomDuration: c.randomDuration}
			got := runIntake(t, l, noLeaderRelay, 1)
			if countErrors(got, ErrNotStored) != 1 || l.appends != c.appends {
				t.Errorf("got %v after %d appends, want %d", got, l.appends, c.appends)
			}
		})
	}
}

// Without a leader and with a store that takes seconds for an append, as one does that is 48 times slower
// than usual, a machine can make few appends. Clients whose requests wait for them are told in time that
// nothing was stored, so that they can come back; only those whose append was sent are left unsure.
func TestRequestsBehindSlowAppendsAreRefusedInTime(t *testing.T) {
	const requests = 200
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{latency: 2 * time.Second}
		in := New(DefaultConfig(), l, platform.Partition{}, noLeaderRelay, func() bool { return false }, func(string) bool { return false }, logging.Nop())
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = in.Run(ctx) }()
		const retryFor, patience = 500 * time.Millisecond, 3 * time.Second
		var clients sync.WaitGroup
		var mu sync.Mutex
		unsure, heldTooLong := 0, 0
		for i := range requests {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				client, cancel := context.WithTimeout(ctx, patience)
				defer cancel()
				sent := time.Now()
				err := in.Store(client, platform.Record{Key: "k", Value: []byte{1}}, retryFor)
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrUnknown) {
					unsure++
				}
				if errors.Is(err, ErrNotStored) && time.Since(sent) > retryFor+2*storeDownCheckInterval {
					heldTooLong++
				}
			})
		}
		clients.Wait()
		time.Sleep(5 * time.Second)
		stop()
		synctest.Wait()
		if unsure > requests/10 || heldTooLong > 0 {
			t.Errorf("%d of %d clients were left unsure, %d were refused later than after %v", unsure, requests, heldTooLong, retryFor)
		}
	})
}
