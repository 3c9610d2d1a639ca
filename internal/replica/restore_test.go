package replica

import (
	"context"
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
	fails   func(call int) bool

	mu     sync.Mutex
	keys   []string // in order
	calls  int
	values map[string][]byte
}

func newKeyedStore(jobs int, perPage time.Duration) *keyedStore {
	s := &keyedStore{perPage: perPage, values: make(map[string][]byte)}
	for i := range jobs {
		key := work.Key(work.KindCancel, work.ID{byte(i >> 8), byte(i)})
		s.keys = append(s.keys, key)
		s.values[key] = work.CancelValue
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

func (s *keyedStore) Read(_ context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	time.Sleep(time.Millisecond)
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
// were done after 33 MB.
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
