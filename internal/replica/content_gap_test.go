package replica

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// delayedStore is a keyed partition whose answers hold what it held when the call arrived.
type delayedStore struct {
	platform.PartitionLog
	delay time.Duration

	mu      sync.Mutex
	records []platform.Record
}

func (s *delayedStore) append(t *testing.T, id work.ID) {
	t.Helper()
	value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, platform.Record{Offset: platform.Offset(len(s.records)), Key: work.Key(work.KindJob, id), Value: value})
}

func (s *delayedStore) Newest(_ context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	s.mu.Lock()
	page := platform.NewestPage{End: platform.Offset(len(s.records))}
	for _, r := range s.records {
		if r.Key > after {
			page.Records = append(page.Records, r)
		}
	}
	s.mu.Unlock()
	time.Sleep(s.delay)
	return page, nil
}

func (s *delayedStore) Read(_ context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	s.mu.Lock()
	end := platform.Offset(len(s.records))
	batch := platform.RecordBatch{Records: slices.Clone(s.records[from:]), Next: end, End: end}
	s.mu.Unlock()
	time.Sleep(s.delay)
	return batch, nil
}

// Guards against a leader that never plans an accepted job and acknowledges the ends of its runs, so that they are lost: a read
// that was under way while a restore ended marked content as kept that neither had read.
func TestReadDuringRestoreLeavesNoContentGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{delay: 100 * time.Millisecond}
		f := &Reader{Replica: New(time.Minute, logging.Nop()), Log: s, Timing: DefaultTiming(), Leads: func() bool { return false }}
		f.Replica.completeRestore(0)
		f.Replica.DropContent()
		early, late := work.ID{1}, work.ID{2}
		s.append(t, early)
		f.Deliver(Span{From: 0, To: 1}, []work.Summary{{ID: early, Queue: "q"}}, 1)

		f.KeepContent()
		restored := make(chan error)
		go func() { restored <- f.Restore(t.Context()) }() // its page is of the partition after 100 ms
		time.Sleep(120 * time.Millisecond)
		s.append(t, late)
		f.Deliver(Span{From: 1, To: 2}, []work.Summary{{ID: late, Queue: "q"}}, 2)
		time.Sleep(20 * time.Millisecond)
		if err := f.Sync(t.Context()); err != nil { // reads from offset 2 on, and ends after the restore
			t.Fatal(err)
		}
		if err := <-restored; err != nil {
			t.Fatal(err)
		}
		if err := f.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		at, kept := f.ContentPosition()
		if e, _ := f.Replica.Get(late); kept && at == 2 && e.Job == nil {
			t.Errorf("content is said to be kept up to offset %d, and the job at offset 1 is missing", at)
		}
		if !f.Replica.SetListener(func([]Change) {}) {
			t.Errorf("content is kept up to offset %d of 2 after the store was read", at)
		}
	})
}
