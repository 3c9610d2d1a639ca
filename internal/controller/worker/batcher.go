package worker

import (
	"context"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/controller/recovery"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/lease"
)

// batcher collects reports and journals many in one entry. A report that
// could not be journaled is dropped: the next exchange brings it again.
type batcher struct {
	cfg      Config
	machine  *cell.StateMachine
	proposer journal.Proposer
	auth     controller.Authority
	counters cell.Counters
	clock    func() time.Time
	full     chan struct{} // a batch is full

	mu      sync.Mutex
	waiting []waiting
	known   map[lease.Attempt]cell.AttemptStatus // waiting or under way
}

type waiting struct {
	report cell.Report
	order  recovery.Order
}

// maxBatches bounds the entries under way at once.
const maxBatches = 4

func newBatcher(cfg Config, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, counters cell.Counters, clock func() time.Time) *batcher {
	return &batcher{
		cfg: cfg, machine: machine, proposer: proposer, auth: auth, counters: counters, clock: clock,
		full:  make(chan struct{}, 1),
		known: make(map[lease.Attempt]cell.AttemptStatus),
	}
}

// add takes a report unless the same one is on its way already.
func (b *batcher) add(r cell.Report, h cell.AllocatedTask) {
	a := lease.Attempt{Task: r.Task, Attempt: r.Attempt}
	order := recovery.Order{Task: h.Task}
	if job, ok := b.machine.Job(h.Task.Job); ok {
		order = recovery.OrderOf(job, h.Task)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known[a] == r.Status {
		return
	}
	b.known[a] = r.Status
	b.waiting = append(b.waiting, waiting{report: r, order: order})
	if len(b.waiting) >= b.cfg.MaxBatch {
		select {
		case b.full <- struct{}{}:
		default:
		}
	}
}

// run journals batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	ticker := time.NewTicker(b.cfg.FlushInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxBatches)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-b.full:
		}
		batch := b.take()
		if len(batch) == 0 {
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		running.Go(func() {
			defer func() { <-slots }()
			b.propose(ctx, batch)
		})
	}
}

// take removes a batch, in the order in which lost work is placed again.
func (b *batcher) take() []cell.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	recovery.Sort(b.waiting, func(w waiting) recovery.Order { return w.order })
	n := min(len(b.waiting), b.cfg.MaxBatch)
	batch := make([]cell.Report, n)
	for i, w := range b.waiting[:n] {
		batch[i] = w.report
	}
	b.waiting = append([]waiting(nil), b.waiting[n:]...)
	return batch
}

func (b *batcher) propose(ctx context.Context, batch []cell.Report) {
	defer b.forget(batch)
	epoch, ok, _ := b.auth.Cell(b.clock())
	if !ok {
		b.counters.Inc(counterGroup, "superseded")
		return
	}
	err := b.proposer.Propose(ctx, b.machine.ReportEntry(epoch, batch))
	if err != nil {
		b.counters.Inc(counterGroup, api.ReasonJournalUnavailable)
	}
}

func (b *batcher) forget(batch []cell.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range batch {
		a := lease.Attempt{Task: r.Task, Attempt: r.Attempt}
		if b.known[a] == r.Status {
			delete(b.known, a)
		}
	}
}
