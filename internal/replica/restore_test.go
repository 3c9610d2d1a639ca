package replica

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// pageKeys is the number of records on a page of the platform's store.
const pageKeys = 500

// keyedStore is a keyed partition behind a slow link.
type keyedStore struct {
	platform.PartitionLog
	perPage time.Duration       // duration of a call for a page of the newest records
	perRead time.Duration       // duration of a call for records from an offset on
	fails   func(call int) bool // whether a call for a page fails; nil: none does

	mu     sync.Mutex
	keys   []string // sorted
	calls  int
	values map[string][]byte
}

func newKeyedStore(jobs int, perPage time.Duration) *keyedStore {
	s := &keyedStore{perPage: perPage, values: make(map[string][]byte)}
	for i := range jobs {
		key := work.Key(work.KindCancellation, work.ID{byte(i >> 8), byte(i)})
		s.keys = append(s.keys, key)
		s.values[key] = work.CancellationValue
	}
	return s
}

func (s *keyedStore) Newest(ctx context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	s.mu.Lock()
	s.calls++
	failing := s.fails != nil && s.fails(s.calls)
	page := platform.NewestPage{End: platform.Offset(len(s.keys))}
	for i, key := range s.keys {
		if strings.Compare(key, after) <= 0 {
			continue
		}
		if len(page.Records) == pageKeys {
			page.More = true
			break
		}
		page.Records = append(page.Records, platform.Record{Offset: platform.Offset(i), Key: key, Value: s.values[key]})
	}
	s.mu.Unlock()
	took := s.perPage
	if len(page.Records) == 0 {
		took = time.Millisecond
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return platform.NewestPage{}, errors.Mark(ctx.Err(), platform.ErrUnavailable)
	}
	if failing {
		return platform.NewestPage{}, errors.Wrap(platform.ErrUnavailable, "the connection was reset")
	}
	return page, nil
}

func (s *keyedStore) Read(ctx context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	select {
	case <-time.After(max(time.Millisecond, s.perRead)):
	case <-ctx.Done():
		return platform.RecordBatch{}, errors.Mark(ctx.Err(), platform.ErrUnavailable)
	}
	return platform.RecordBatch{Next: from, End: from}, nil
}

func (s *keyedStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func newReader(s *keyedStore) *Reader {
	return &Reader{
		Replica: New(time.Minute, logging.Nop()),
		Log:     s,
		Timing:  DefaultTiming(),
		Leads:   func() bool { return false },
	}
}

// runReader runs a reader and returns a function that ends it.
func runReader(f *Reader) func() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	return func() {
		stop()
		<-done
	}
}

// Guards against a restore that never completes on a slow link. A page that took more than
// a second counted as failed, and the restore began again with the first page. Machines
// with slow links then never became ready after a restart, so a cell lost them one after
// the other in a rolling restart and did not recover from a power loss. Their links were
// saturated for 30 s and longer, while machines with links 20 times as fast were ready
// within 3 s.
func TestRestoreCompletesOnSlowLink(t *testing.T) {
	for _, c := range []struct {
		name    string
		perPage time.Duration
		fails   func(call int) bool
		within  time.Duration
		calls   int // upper bound
	}{
		{"pages take longer than the minimum timeout", 1300 * time.Millisecond, nil, 40 * time.Second, 26},
		{"every third page fails", 200 * time.Millisecond, func(call int) bool { return call%3 == 0 }, 20 * time.Second, 36},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const pages = 20
				s := newKeyedStore(pages*pageKeys, c.perPage)
				s.fails = c.fails
				f := newReader(s)
				defer runReader(f)()
				time.Sleep(c.within)
				if !f.Replica.Synced() {
					t.Errorf("%d pages are not read after %v and %d calls", pages, c.within, s.called())
				}
				if n := s.called(); n > c.calls {
					t.Errorf("%d calls for %d pages, want at most %d", n, pages, c.calls)
				}
			})
		})
	}
}

// Requests to a process that has not read the jobs yet cause no reads besides the
// restore that is in progress.
func TestRequestsShareOneRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, requests = 10, 50
		s := newKeyedStore(pages*pageKeys, 100*time.Millisecond)
		f := newReader(s)
		defer runReader(f)()
		results := make(chan error, requests)
		for range requests {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				results <- f.Sync(ctx)
			}()
		}
		for range requests {
			if err := <-results; err != nil {
				t.Error(fmt.Errorf("a request that could wait for the restore failed: %w", err))
			}
		}
		if n := s.called(); n > pages+1 {
			t.Errorf("%d calls for %d pages", n, pages)
		}
	})
}

// A request whose deadline is before the end of a restore fails at its deadline.
func TestRequestDoesNotWaitForRestoreBeyondItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore(10*pageKeys, 700*time.Millisecond)
		f := newReader(s)
		defer runReader(f)()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := f.Sync(ctx); err == nil {
			t.Error("Sync succeeded before the restore was complete")
		}
		if took := time.Since(began); took > 1100*time.Millisecond {
			t.Errorf("Sync took %v with a timeout of 1 s", took)
		}
	})
}

// A call relies on no read that began before the call, because records that it has to
// see may have been written since.
func TestCallsShareOnlyReadsThatBeginLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s sharedReads
		var mu sync.Mutex
		var began []time.Time
		read := func() error {
			mu.Lock()
			began = append(began, time.Now())
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			return nil
		}
		var calls sync.WaitGroup
		for i := range 50 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				called := time.Now()
				if err := s.join(t.Context(), read); err != nil {
					t.Error(err)
				}
				if took := time.Since(called); took > 200*time.Millisecond {
					t.Errorf("call %d took %v", i, took)
				}
				mu.Lock()
				defer mu.Unlock()
				if last := began[len(began)-1]; last.Before(called) {
					t.Errorf("call %d was made at %v and relied on a read from %v", i, called, last)
				}
			})
		}
		calls.Wait()
		if len(began) != 2 {
			t.Errorf("%d reads for calls made within half the duration of one, want 2", len(began))
		}
	})
}

// A machine that has missed records reads up to 512 KB at a time, which must succeed also
// on a slow link shared with other transfers.
func TestCatchUpOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore(0, 0)
		f := newReader(s)
		if err := f.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		s.perRead = 1500 * time.Millisecond
		var err error
		for range 2 {
			err = f.Sync(t.Context())
		}
		if err != nil {
			t.Errorf("the second call failed too: %v", err)
		}
		s.perRead = time.Millisecond
		for range 2 {
			_ = f.Sync(t.Context())
		}
		if timeout := time.Duration(f.readTimeoutNanos.Load()); timeout > f.Timing.MinReadTimeout {
			t.Errorf("timeout after fast reads is %v, want at most Timing.MinReadTimeout", timeout)
		}
	})
}
