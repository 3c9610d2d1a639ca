package dispatch

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// ordered is a store that takes appends in the order of their numbers; the
// answer to each number may take its own time.
type ordered struct {
	platform.PartitionLog
	mu     sync.Mutex
	next   uint64
	end    platform.Offset
	offset map[uint64]platform.Offset
	takes  map[uint64]time.Duration
	refuse map[uint64]int // how often an append is refused first
	now    int
	most   int
}

func (o *ordered) Append(_ context.Context, a platform.Append) (platform.Offset, error) {
	n := a.Producer.Sequence
	o.mu.Lock()
	o.now++
	o.most = max(o.most, o.now)
	o.mu.Unlock()
	time.Sleep(o.takes[n])
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now--
	if o.refuse[n] > 0 {
		o.refuse[n]--
		return 0, platform.ErrUnavailable
	}
	if at, done := o.offset[n]; done {
		return at, nil
	}
	if n != o.next {
		return 0, &platform.SequenceError{Expected: o.next}
	}
	o.offset[n] = o.end
	o.end += platform.Offset(len(a.Records))
	o.next++
	return o.offset[n], nil
}

// pipelineOver returns a pipeline of a runner over the store.
func pipelineOver(t *testing.T, o *ordered) (*pipeline, context.Context) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := logrus.NewEntry(log)
	r := New(Config{
		Epoch:   1,
		Log:     o,
		Replica: replica.New(time.Hour, events),
		Helpers: assist.NewHelpers("self", nil, nil),
		Table:   func() *queue.Table { return &queue.Table{} },
		Events:  events,
	})
	r.cell = plan.NewCell(plan.DefaultConfig(), r.lookup, events, time.Now())
	ctx, cancel := context.WithCancelCause(t.Context())
	t.Cleanup(func() { cancel(nil) })
	return newPipeline(r, cancel), ctx
}

func recordOf(n byte) []plan.Record {
	return []plan.Record{{Job: work.ID{n}, Progress: &work.Progress{}}}
}

// Several appends are under way at a time, and batches are settled in their
// order, also when a later one is answered first.
func TestBatchesAreSettledInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &ordered{offset: map[uint64]platform.Offset{}, takes: map[uint64]time.Duration{0: 100 * time.Millisecond, 1: 10 * time.Millisecond, 2: 10 * time.Millisecond}}
		p, ctx := pipelineOver(t, o)
		var mu sync.Mutex
		var settled []int
		for i := range 3 {
			b := &batch{records: recordOf(byte(i)), done: make(chan struct{})}
			if !p.enter(ctx) {
				t.Fatal("no slot")
			}
			p.put(ctx, b)
			go func() {
				<-b.done
				mu.Lock()
				defer mu.Unlock()
				settled = append(settled, i)
			}()
		}
		p.wait()
		synctest.Wait()
		if o.most < 2 {
			t.Errorf("%d appends at once", o.most)
		}
		if len(settled) != 3 || o.end != 3 {
			t.Errorf("settled %v, %d records stored", settled, o.end)
		}
	})
}

// Records of a job that the store refused are taken back; with a later append
// under way the append is repeated instead, since the later one waits for it.
func TestRefusedBatch(t *testing.T) {
	submitted := func() *submission {
		job := &work.Job{ID: work.ID{9}, Steps: []work.Step{{Tasks: 1}}}
		value, err := work.EncodeJob(job)
		if err != nil {
			t.Fatal(err)
		}
		return &submission{
			records: []platform.Record{{Key: work.Key(work.KindJob, job.ID), Value: value}},
			results: make([]assist.StoreResult, 1),
			jobs:    []work.ID{job.ID},
			done:    make(chan []assist.StoreResult, 1),
		}
	}
	for _, c := range []struct {
		name  string
		later bool
		want  assist.StoreOutcome
	}{{"alone", false, assist.NotStored}, {"with a later one", true, assist.Stored}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &ordered{offset: map[uint64]platform.Offset{}, takes: map[uint64]time.Duration{0: 10 * time.Millisecond}, refuse: map[uint64]int{0: 1}}
				p, ctx := pipelineOver(t, o)
				s := submitted()
				p.enter(ctx)
				p.put(ctx, &batch{handedIn: []*submission{s}, records: recordOf(1), done: make(chan struct{})})
				if c.later {
					p.enter(ctx)
					p.put(ctx, &batch{records: recordOf(2), done: make(chan struct{})})
				}
				p.wait()
				if got := <-s.done; got[0].Outcome != c.want {
					t.Errorf("outcome %d, want %d", got[0].Outcome, c.want)
				}
			})
		})
	}
}
