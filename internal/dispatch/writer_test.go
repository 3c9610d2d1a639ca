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

// script answers appends with the errors given, then with success, and keeps
// the sequence numbers that it saw.
type script struct {
	platform.PartitionLog
	errs      []error
	sequences []uint64
	waits     []time.Duration // how long each append was waited for
}

func (s *script) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	s.sequences = append(s.sequences, a.Producer.Sequence)
	if len(s.errs) == 0 {
		return 7, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	if errors.Is(err, platform.ErrUncertain) {
		began := time.Now()
		<-ctx.Done() // the answer is lost
		s.waits = append(s.waits, time.Since(began))
	}
	return 0, err
}

func play(t *testing.T, s *script, use func(context.Context, *writer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		use(t.Context(), &writer{log: s, epoch: 3, events: logging.Silent()})
	})
}

var one = []platform.Record{{Key: "k", Value: []byte("v")}}

// An append that may have been done is repeated under its number, with more
// time each time, and the next one has the next number.
func TestUncertainAppendIsRepeated(t *testing.T) {
	s := &script{errs: []error{platform.ErrUncertain, platform.ErrUncertain, platform.ErrUnavailable}}
	play(t, s, func(ctx context.Context, w *writer) {
		for range 2 {
			if _, err := w.append(ctx, one, true); err != nil {
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
	if s.waits[0] != appendTimeout || s.waits[1] != 2*appendTimeout {
		t.Errorf("waited %v", s.waits)
	}
}

// What the store refuses at the first try certainly isn't stored.
func TestRefusedAppendIsNotRepeated(t *testing.T) {
	s := &script{errs: []error{platform.ErrUnavailable}}
	play(t, s, func(ctx context.Context, w *writer) {
		if _, err := w.append(ctx, one, true); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("append: %v", err)
		}
		if _, err := w.append(ctx, one, true); err != nil {
			t.Errorf("next append: %v", err)
		}
	})
	if len(s.sequences) != 2 || s.sequences[1] != 0 {
		t.Errorf("sequences %v: the number of what was not stored is used again", s.sequences)
	}
}

// A fence takes no number, and a higher epoch ends the writer.
func TestFenceAndHigherEpoch(t *testing.T) {
	s := &script{}
	play(t, s, func(ctx context.Context, w *writer) {
		if _, err := w.fence(ctx); err != nil {
			t.Errorf("fence: %v", err)
		}
		if _, err := w.append(ctx, one, false); err != nil {
			t.Errorf("append: %v", err)
		}
		s.errs = []error{platform.ErrFenced}
		if _, err := w.append(ctx, one, false); !errors.Is(err, platform.ErrFenced) {
			t.Errorf("append of a former leader: %v", err)
		}
	})
	if s.sequences[0] != 0 || s.sequences[1] != 0 || s.sequences[2] != 1 {
		t.Errorf("sequences %v", s.sequences)
	}
}

// The store's numbering is taken over where it differs.
func TestStoreSequenceIsAdopted(t *testing.T) {
	s := &script{errs: []error{&platform.SequenceError{Expected: 5}}}
	play(t, s, func(ctx context.Context, w *writer) {
		if _, err := w.append(ctx, one, true); err != nil {
			t.Errorf("append: %v", err)
		}
	})
	if len(s.sequences) != 2 || s.sequences[1] != 5 {
		t.Errorf("sequences %v", s.sequences)
	}
}

// heavyStore answers each append after a while, if that is waited for.
type heavyStore struct {
	platform.PartitionLog
	takes time.Duration
	calls int
}

func (s *heavyStore) Append(ctx context.Context, _ platform.Append) (platform.Offset, error) {
	s.calls++
	select {
	case <-time.After(s.takes):
		return 0, nil
	case <-ctx.Done():
		return 0, platform.ErrUncertain
	}
}

// Once an append has shown how slow the store is, the next ones are waited for:
// one that is given up shortly before its answer and sent again takes twice its
// time, and the store makes it twice.
func TestTimeoutAdaptsToSlowStoreImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &heavyStore{takes: 250 * time.Millisecond}
		w := &writer{log: s, epoch: 3, events: logging.Silent()}
		const appends = 10
		first := 0
		for i := range appends {
			if _, err := w.append(t.Context(), one, false); err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				first = s.calls
			}
		}
		if further := s.calls - first; further > appends-1 {
			t.Errorf("%d appends after the first took %d calls", appends-1, further)
		}
	})
}

// A leader that takes over at a slow store knows how slow by its claim. Its first append
// was given 120, 240 and 480 ms in turn, and planning began that much later (by users'
// lines 1.8 and 2.2 s after the claim, in which nothing started).
func TestFirstAppendTimeoutAtSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 355 * time.Millisecond
		store := slowStore{&memoryStore{parts: make(map[string][]platform.Record)}, takes}
		w := newWriter(Config{Log: store, Jobs: playJobs, LastAppendDuration: 290 * time.Millisecond, Logger: logging.Silent()})
		began := time.Now()
		if _, err := w.fence(t.Context()); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != takes {
			t.Errorf("the first append took %v, the store takes %v", took, takes)
		}
	})
}
