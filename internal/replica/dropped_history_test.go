package replica

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// trimmedStore is a keyedStore that has dropped the records before first.
type trimmedStore struct {
	*keyedStore
	mu    sync.Mutex
	first platform.Offset
}

func (s *trimmedStore) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	s.mu.Lock()
	first := s.first
	s.mu.Unlock()
	if from < first {
		return platform.RecordBatch{}, &platform.TrimmedError{From: from, First: first}
	}
	return s.keyedStore.Read(ctx, p, from, wait)
}

// A restore after the store has dropped its history also completes on a slow link where
// it takes longer than catchUpTimeout, whichever call makes it: pages that were read before
// the timeout aren't read again.
func TestDroppedHistoryIsRestoredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages = 10 // take 13 s, catchUpTimeout is 10 s
		s := &trimmedStore{keyedStore: newKeyedStore(pages*pageKeys, 1300*time.Millisecond)}
		f := newReader(s.keyedStore)
		f.Log = s
		f.Timing.MinReadTimeout = 4 * time.Second // keeps timeouts from growing
		f.Replica.completeRestore(0)
		s.first = platform.Offset(len(s.keys))
		for range 3 {
			_ = f.catchUp()
		}
		if f.Replica.Position() < s.first || s.called() > pages+6 {
			t.Errorf("read up to %d of %d with %d calls for pages", f.Replica.Position(), s.first, s.called())
		}
	})
}
