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

// fakeLog answers appends as told and counts those under way.
type fakeLog struct {
	chance func(time.Duration) time.Duration // nil: as in use
	platform.PartitionLog
	mu       sync.Mutex
	errs     []error // of the next appends; none left: success
	takes    time.Duration
	down     bool
	patience time.Duration // of the clients
	arrives  time.Duration // from the start, when the records are delivered; 0: never
	began    time.Time
	appends  int
	now      int
	most     int
}

func (l *fakeLog) Append(ctx context.Context, _ platform.Append) (platform.Offset, error) {
	l.mu.Lock()
	l.appends++
	l.now++
	l.most = max(l.most, l.now)
	var err error
	if len(l.errs) > 0 {
		err, l.errs = l.errs[0], l.errs[1:]
	}
	l.mu.Unlock()
	time.Sleep(l.takes)
	l.mu.Lock()
	l.now--
	l.mu.Unlock()
	return 0, err
}

func (l *fakeLog) isDelivered(string) bool {
	return l.arrives > 0 && time.Since(l.began) >= l.arrives
}

// always returns a relay with the same outcome for all records.
func always(err error) Relay {
	return func(_ context.Context, records []platform.Record) []error {
		errs := make([]error, len(records))
		for i := range errs {
			errs[i] = err
		}
		return errs
	}
}

var noLeader = always(ErrNoLeader)

// play runs an intake and hands in n records whose clients wait 3 s.
func play(t *testing.T, l *fakeLog, relay Relay, n int) []error {
	t.Helper()
	var got []error
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l.began = time.Now()
		in := New(DefaultConfig(), l, platform.Partition{}, relay, func() bool { return l.down }, l.isDelivered, logging.Silent())
		if l.chance != nil {
			in.chance = l.chance
		}
		go func() { _ = in.Run(ctx) }()
		var mu sync.Mutex
		var clients sync.WaitGroup
		for i := range n {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				client, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				err := in.Store(client, platform.Record{Key: "k", Value: []byte{1}}, l.patience)
				mu.Lock()
				defer mu.Unlock()
				got = append(got, err)
			})
		}
		clients.Wait()
		time.Sleep(5 * time.Second) // appends under way end
		stop()
		synctest.Wait()
	})
	return got
}

func count(errs []error, target error) int {
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
	got := play(t, l, always(nil), 20)
	if n := count(got, nil); n != 20 || l.appends != 0 {
		t.Fatalf("%d of 20 stored, %d appends from here", n, l.appends)
	}
}

// A slow leader is waited for: appends beside it would queue at the same
// partition and make it slower.
func TestSlowLeaderIsWaitedFor(t *testing.T) {
	l := &fakeLog{}
	slow := func(ctx context.Context, records []platform.Record) []error {
		time.Sleep(2 * time.Second)
		return always(ctx.Err())(ctx, records)
	}
	got := play(t, l, slow, 8)
	if n := count(got, nil); n != 8 || l.appends != 0 {
		t.Fatalf("%d of 8 stored, %d appends from here", n, l.appends)
	}
}

func TestDirectAppendsAreBounded(t *testing.T) {
	l := &fakeLog{takes: 200 * time.Millisecond}
	got := play(t, l, noLeader, 100)
	if n := count(got, nil); n != 100 {
		t.Fatalf("%d of 100 stored", n)
	}
	if l.most > DefaultConfig().MaxDirectAppends || l.appends > 20 {
		t.Fatalf("%d appends, %d at once", l.appends, l.most)
	}
}

func TestRefusedAppendIsNotStored(t *testing.T) {
	l := &fakeLog{errs: []error{platform.ErrUnavailable}}
	got := play(t, l, noLeader, 1)
	if count(got, ErrNotStored) != 1 || l.appends != 1 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// An append that may have been done is never answered as refused, whatever
// the store says to its repeats.
func TestUncertainAppendStaysUnknown(t *testing.T) {
	errs := []error{platform.ErrUncertain}
	for range 1000 {
		errs = append(errs, platform.ErrUnavailable)
	}
	l := &fakeLog{errs: errs}
	got := play(t, l, noLeader, 1)
	if count(got, ErrUnknown) != 1 {
		t.Fatalf("got %v", got)
	}
}

// The same holds when it was the leader of whom nothing was heard.
func TestLostLeaderAnswerIsUnknown(t *testing.T) {
	var errs []error
	for range 1000 {
		errs = append(errs, platform.ErrUnavailable)
	}
	l := &fakeLog{errs: errs}
	got := play(t, l, always(ErrUnknown), 1)
	if count(got, ErrUnknown) != 1 {
		t.Fatalf("got %v", got)
	}
}

// What certainly can't be stored is refused at once.
func TestUnavailableStoreRefusesImmediately(t *testing.T) {
	l := &fakeLog{down: true, takes: time.Hour}
	got := play(t, l, noLeader, 5)
	if count(got, ErrNotStored) != 5 || l.appends != 0 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// A store that takes nothing is waited for as long as clients have patience.
func TestShortOutageIsRetried(t *testing.T) {
	var errs []error
	for range 5 {
		errs = append(errs, platform.ErrUnavailable)
	}
	l := &fakeLog{errs: errs, patience: time.Second}
	got := play(t, l, noLeader, 1)
	if count(got, nil) != 1 || l.appends != 6 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

func TestLongOutageIsRefused(t *testing.T) {
	l := &fakeLog{down: true, patience: time.Second}
	got := play(t, l, noLeader, 3)
	if count(got, ErrNotStored) != 3 || l.appends != 0 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// A job that would be of no use is refused, and nobody tries to store it.
func TestBusyErrorIsReturned(t *testing.T) {
	l := &fakeLog{patience: time.Second}
	got := play(t, l, always(&BusyError{RetryAfter: 2 * time.Second}), 3)
	var busy *BusyError
	if len(got) != 3 || !errors.As(got[0], &busy) || busy.RetryAfter != 2*time.Second || l.appends != 0 {
		t.Fatalf("got %v after %d appends", got, l.appends)
	}
}

// While the leader lives its appends are the only ones: those of forty machines
// more would keep a slow store from taking any in time.
func TestActiveLeaderIsNotBypassed(t *testing.T) {
	for _, c := range []struct {
		name    string
		relay   error
		arrives time.Duration
		want    error
	}{
		{"refused", ErrStoreRefused, 0, ErrNotStored},
		{"under way and delivered", ErrInProgress, time.Second, nil},
		{"under way for long", ErrInProgress, 0, ErrUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &fakeLog{arrives: c.arrives, patience: time.Second}
			got := play(t, l, always(c.relay), 20)
			if n := count(got, c.want); n != 20 || l.appends != 0 {
				t.Errorf("%d of 20 are %v, %d appends from here", n, c.want, l.appends)
			}
		})
	}
}

// A store whose queue is full is tried less and less often. How often depends on
// chance; of the pauses that it can choose the shortest, the middle and the
// longest are played.
func TestRefusedAppendsBackOff(t *testing.T) {
	for _, c := range []struct {
		name    string
		chance  func(below time.Duration) time.Duration
		appends int
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
			l := &fakeLog{errs: errs, patience: 2900 * time.Millisecond, chance: c.chance}
			got := play(t, l, noLeader, 1)
			if count(got, ErrNotStored) != 1 || l.appends != c.appends {
				t.Errorf("got %v after %d appends, want %d", got, l.appends, c.appends)
			}
		})
	}
}
