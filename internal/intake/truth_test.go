package intake

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Whatever leaders and the store answer: a client is told that its record is not stored only if it never
// is, and that it is stored only if it is.
func TestAnswersAreTrue(t *testing.T) {
	type step struct {
		err     error
		applied bool // the record is stored, whatever the answer
	}
	relaySteps := []step{{nil, true}, {ErrNoLeader, false}, {ErrNotStored, false}, {ErrStoreRefused, false},
		{ErrInProgress, false}, {ErrInProgress, true}, {ErrUnknown, false}, {ErrUnknown, true}, {&BusyError{}, false}}
	appendSteps := []step{{nil, true}, {platform.ErrUnavailable, false}, {platform.ErrUncertain, false}, {platform.ErrUncertain, true}}
	rapid.Check(t, func(rt *rapid.T) {
		relays := rapid.SliceOfN(rapid.SampledFrom(relaySteps), 1, 12).Draw(rt, "relays")
		appends := rapid.SliceOfN(rapid.SampledFrom(appendSteps), 1, 12).Draw(rt, "appends")
		latency := time.Duration(rapid.IntRange(1, 900).Draw(rt, "latency_ms")) * time.Millisecond
		retryFor := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "retry_ms")) * time.Millisecond
		l := &modelLog{latency: latency}
		for _, s := range appends {
			l.steps = append(l.steps, s.err)
			l.applies = append(l.applies, s.applied)
		}
		next, relayApplied := 0, make(map[string]bool)
		got := runModel(t, l, retryFor, func(r platform.Record) error {
			s := relays[next%len(relays)]
			next++
			var busy *BusyError
			if errors.As(s.err, &busy) && (relayApplied[r.Key] || l.isApplied(r.Key)) {
				return nil // a leader knows what is stored and accepts it
			}
			relayApplied[r.Key] = relayApplied[r.Key] || s.applied
			return s.err
		})
		for key, err := range got {
			stored := relayApplied[key] || l.applied[key]
			var busy *BusyError
			if (errors.Is(err, ErrNotStored) || errors.As(err, &busy)) && stored {
				rt.Fatalf("record %s is stored, and its client was told %v", key, err)
			}
			if err == nil && !stored {
				rt.Fatalf("record %s is not stored, and its client was told that it is", key)
			}
		}
	})
}

// modelLog answers appends as scripted, again from the start after the last, and keeps what is applied.
type modelLog struct {
	platform.PartitionLog
	mu      sync.Mutex
	steps   []error
	applies []bool
	latency time.Duration
	next    int
	applied map[string]bool
}

func (l *modelLog) Append(_ context.Context, a platform.Append) (platform.Offset, error) {
	time.Sleep(l.latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.next % len(l.steps)
	l.next++
	if l.applies[i] && l.steps[i] != nil { // an append without an answer is applied later
		time.AfterFunc(lateApplication, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.apply(a.Records)
		})
	} else if l.applies[i] {
		l.apply(a.Records)
	}
	return 0, l.steps[i]
}

// lateApplication is how long after an append has ended without an answer it is applied.
const lateApplication = time.Second

// apply stores records. The caller holds l.mu.
func (l *modelLog) apply(records []platform.Record) {
	if l.applied == nil {
		l.applied = make(map[string]bool)
	}
	for _, r := range records {
		l.applied[r.Key] = true
	}
}

func (l *modelLog) isApplied(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied[key]
}

// runModel submits records under changing leaders and returns the answers by key.
func runModel(t *testing.T, l *modelLog, retryFor time.Duration, relay func(platform.Record) error) map[string]error {
	got := make(map[string]error)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var mu sync.Mutex
		passOn := func(_ context.Context, records []platform.Record) []error {
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			errs := make([]error, len(records))
			for i, r := range records {
				errs[i] = relay(r)
			}
			return errs
		}
		in := New(DefaultConfig(), l, platform.Partition{}, passOn, func() bool { return false }, func(string) bool { return false }, logging.Nop())
		in.SetLeaderEpoch(func() uint64 { return 1 + uint64(time.Since(start)/(400*time.Millisecond)) })
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = in.Run(ctx) }()
		var clients sync.WaitGroup
		for i := range 3 {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				client, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				key := fmt.Sprint(i)
				err := in.Store(client, platform.Record{Key: key, Value: []byte{1}}, retryFor)
				mu.Lock()
				defer mu.Unlock()
				got[key] = err
			})
		}
		clients.Wait()
		stop()
		time.Sleep(5 * time.Second) // what is in progress ends
		mu.Lock()
		defer mu.Unlock()
	})
	return got
}
