package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// scriptedLog answers appends with the given errors, then with success, and records the sequence
// numbers that it received.
type scriptedLog struct {
	platform.PartitionLog
	errs      []error
	sequences []uint64
	waits     []time.Duration // how long the writer waited for each append without an answer
}

func (s *scriptedLog) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	s.sequences = append(s.sequences, a.Producer.Sequence)
	if len(s.errs) == 0 {
		return 7, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	if errors.Is(err, platform.ErrUncertain) {
		start := time.Now()
		<-ctx.Done() // the answer is lost
		s.waits = append(s.waits, time.Since(start))
	}
	return 0, err
}

func runWriter(t *testing.T, s *scriptedLog, run func(context.Context, *writer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(t.Context(), &writer{log: s, epoch: 3, logger: logging.Nop()})
	})
}

var oneRecord = []platform.Record{{Key: "k", Value: []byte("v")}}

// An append that may have been applied is repeated under its sequence number, with a longer timeout
// each time. The next append uses the next number.
func TestUncertainAppendIsRepeated(t *testing.T) {
	s := &scriptedLog{errs: []error{platform.ErrUncertain, platform.ErrUncertain, platform.ErrUnavailable}}
	runWriter(t, s, func(ctx context.Context, w *writer) {
		for range 2 {
			if _, err := w.append(ctx, oneRecord, true); err != nil {
				t.Errorf("append: %v", err)
			}
		}
	})
	want := []uint64{0, 0, 0, 0, 1}
	if len(s.sequences) != len(want) {
		t.Fatalf("sequences %v, want %v", s.sequences, want)
	}
	for i := range want {
		if s.sequences[i] != want[i] {
			t.Fatalf("sequences %v, want %v", s.sequences, want)
		}
	}
	if s.waits[0] != minAppendTimeout || s.waits[1] != 2*minAppendTimeout {
		t.Errorf("append timeouts %v", s.waits)
	}
}

// An append that the store refuses at the first attempt is certainly not stored.
func TestRefusedAppendIsNotRepeated(t *testing.T) {
	s := &scriptedLog{errs: []error{platform.ErrUnavailable}}
	runWriter(t, s, func(ctx context.Context, w *writer) {
		if _, err := w.append(ctx, oneRecord, true); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("append: %v", err)
		}
		if _, err := w.append(ctx, oneRecord, true); err != nil {
			t.Errorf("next append: %v", err)
		}
	})
	if len(s.sequences) != 2 || s.sequences[1] != 0 {
		t.Errorf("sequences %v, want the number of the refused append to be reused", s.sequences)
	}
}

// A fence uses no sequence number. An append fails with ErrFenced once a higher epoch has written.
func TestFenceAndHigherEpoch(t *testing.T) {
	s := &scriptedLog{}
	runWriter(t, s, func(ctx context.Context, w *writer) {
		if _, err := w.fence(ctx); err != nil {
			t.Errorf("fence: %v", err)
		}
		if _, err := w.append(ctx, oneRecord, false); err != nil {
			t.Errorf("append: %v", err)
		}
		s.errs = []error{platform.ErrFenced}
		if _, err := w.append(ctx, oneRecord, false); !errors.Is(err, platform.ErrFenced) {
			t.Errorf("append of a former leader: %v", err)
		}
	})
	if s.sequences[0] != 0 || s.sequences[1] != 0 || s.sequences[2] != 1 {
		t.Errorf("sequences %v", s.sequences)
	}
}

// The writer adopts the sequence number that the store expects.
func TestStoreSequenceIsAdopted(t *testing.T) {
	s := &scriptedLog{errs: []error{&platform.SequenceError{Expected: 5}}}
	runWriter(t, s, func(ctx context.Context, w *writer) {
		if _, err := w.append(ctx, oneRecord, true); err != nil {
			t.Errorf("append: %v", err)
		}
	})
	if len(s.sequences) != 2 || s.sequences[1] != 5 {
		t.Errorf("sequences %v", s.sequences)
	}
}

// slowLog answers each append after a delay, unless the append is cancelled before.
type slowLog struct {
	platform.PartitionLog
	latency time.Duration
	calls   int
}

func (s *slowLog) Append(ctx context.Context, _ platform.Append) (platform.Offset, error) {
	s.calls++
	select {
	case <-time.After(s.latency):
		return 0, nil
	case <-ctx.Done():
		return 0, platform.ErrUncertain
	}
}

// Once an append has shown how slow the store is, the next ones get enough time. An append that is
// abandoned shortly before its answer and sent again takes twice as long and is applied twice by
// the store.
func TestTimeoutAdaptsToSlowStoreImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowLog{latency: 250 * time.Millisecond}
		w := &writer{log: s, epoch: 3, logger: logging.Nop()}
		const appends = 10
		firstCalls := 0
		for i := range appends {
			if _, err := w.append(t.Context(), oneRecord, false); err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				firstCalls = s.calls
			}
		}
		if furtherCalls := s.calls - firstCalls; furtherCalls > appends-1 {
			t.Errorf("%d appends after the first took %d calls", appends-1, furtherCalls)
		}
	})
}

// A new leader knows from its claim how slow the store is. Its first append used to be sent with
// timeouts of 120, 240 and 480 ms one after the other, which delayed planning: users saw nothing start
// for 1.8 and 2.2 s after the claim.
func TestFirstAppendTimeoutAtSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 355 * time.Millisecond
		store := slowStore{&memoryStore{partitions: make(map[string][]platform.Record)}, latency}
		w := newWriter(Config{Log: store, Jobs: jobsPartition, LastAppendDuration: 290 * time.Millisecond, Logger: logging.Nop()})
		start := time.Now()
		if _, err := w.fence(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took != latency {
			t.Errorf("the first append took %v, the store takes %v", took, latency)
		}
	})
}
