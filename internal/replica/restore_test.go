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

// pageKeys is how many records the platform's store puts on a page.
const pageKeys = 500

// keyedStore is a keyed partition behind a link on which a page takes time.
type keyedStore struct {
	platform.PartitionLog
	perPage time.Duration // on the link, by itself
	perRead time.Duration // the same for records since a place
	fails   func(call int) bool

	mu     sync.Mutex
	keys   []string // in order
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
		Replica: New(time.Minute, logging.Silent()),
		Log:     s,
		Timing:  DefaultTiming(),
		Leads:   func() bool { return false },
	}
}

// runReader runs a reader and returns what ends it.
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

// All machines of a cell were restarted one after the other. Those with slow
// links never became ready again, one after the other the cell lost them, and
// after a loss of power it didn't come back. A process that starts reads the
// newest record of each job, page by page; a page that took over a second on
// its link counted as failed, and the reading began anew from the first page.
// The evidence: from its restart on each such machine took in what its link
// carries, for 30 s and until the end, while those with links 20 times as fast
// were done within 3 s.
func TestRestoreEndsOnASlowLink(t *testing.T) {
	for _, c := range []struct {
		name    string
		perPage time.Duration
		fails   func(call int) bool
		within  time.Duration
		calls   int // at most
	}{
		{"pages take longer than the least timeout", 1300 * time.Millisecond, nil, 40 * time.Second, 26},
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
					t.Errorf("%d calls for %d pages, at most %d are needed", n, pages, c.calls)
				}
			})
		})
	}
}

// Clients ask a process that has not read the jobs yet for a job: what they
// make it read is what it reads anyway, once.
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
				t.Error(fmt.Errorf("a request that could wait for it: %w", err))
			}
		}
		if n := s.called(); n > pages+1 {
			t.Errorf("%d calls for %d pages", n, pages)
		}
	})
}

// A request whose client doesn't wait that long is told so in its time.
func TestRequestDoesNotWaitForARestoreBeyondItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore(10*pageKeys, 700*time.Millisecond)
		f := newReader(s)
		defer runReader(f)()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := f.Sync(ctx); err == nil {
			t.Error("it counts as read")
		}
		if took := time.Since(began); took > 1100*time.Millisecond {
			t.Errorf("it took %v", took)
		}
	})
}

// A call relies on no reading that began before it: what it has to see may have
// been written meanwhile.
func TestSyncsShareOnlyReadingsThatBeginLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s syncs
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
					t.Errorf("call %d came at %v and relied on a reading from %v", i, called, last)
				}
			})
		}
		calls.Wait()
		if len(began) != 2 {
			t.Errorf("%d readings for calls that came within half of one", len(began))
		}
	})
}

// A machine that is behind reads up to 512 KB at a time. On a slow link that
// other transfers use too it gets there all the same.
func TestCatchUpOnASlowLink(t *testing.T) {
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
			t.Errorf("the second call fails too: %v", err)
		}
		s.perRead = time.Millisecond
		for range 2 {
			_ = f.Sync(t.Context())
		}
		if left := time.Duration(f.timeout.Load()); left > f.Timing.MinReadTimeout {
			t.Errorf("after reads that were fast the next one has %v", left)
		}
	})
}
