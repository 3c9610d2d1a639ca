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

// batcher collects reports and journals many in one entry. A report that could not
// be journaled is dropped, because the next exchange reports it again.
type batcher struct {
	cfg        Config
	machine    *cell.StateMachine
	proposer   journal.Proposer
	auth       controller.Authority
	counters   cell.Counters
	clock      func() time.Time
	batchReady chan struct{} // receives when a full batch is pending

	mu      sync.Mutex
	pending []pendingReport
	queued  map[lease.Attempt]cell.AttemptStatus // status of the reports that are pending or being journaled
}

// pendingReport is a report with the order in which its task is placed again.
type pendingReport struct {
	report cell.Report
	order  recovery.Order
}

// maxBatches is the maximum number of entries being journaled at the same time.
const maxBatches = 4

func newBatcher(cfg Config, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, counters cell.Counters, clock func() time.Time) *batcher {
	return &batcher{
		cfg: cfg, machine: machine, proposer: proposer, auth: auth, counters: counters, clock: clock,
		batchReady: make(chan struct{}, 1),
		queued:     make(map[lease.Attempt]cell.AttemptStatus),
	}
}

// add queues a report unless the same one is pending or being journaled.
func (b *batcher) add(r cell.Report, task cell.AllocatedTask) {
	a := lease.Attempt{Task: r.Task, Attempt: r.Attempt}
	order := recovery.Order{Task: task.Task}
	if job, ok := b.machine.Job(task.Task.Job); ok {
		order = recovery.OrderOf(job, task.Task)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queued[a] == r.Status {
		return
	}
	b.queued[a] = r.Status
	b.pending = append(b.pending, pendingReport{report: r, order: order})
	if len(b.pending) >= b.cfg.MaxBatch {
		select {
		case b.batchReady <- struct{}{}:
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
		case <-b.batchReady:
		}
		batch := b.takeBatch()
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

// takeBatch removes and returns a batch. Reports come in the order in which their
// tasks would be placed again.
func (b *batcher) takeBatch() []cell.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	recovery.Sort(b.pending, func(p pendingReport) recovery.Order { return p.order })
	n := min(len(b.pending), b.cfg.MaxBatch)
	batch := make([]cell.Report, n)
	for i, p := range b.pending[:n] {
		batch[i] = p.report
	}
	b.pending = append([]pendingReport(nil), b.pending[n:]...)
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
		if b.queued[a] == r.Status {
			delete(b.queued, a)
		}
	}
}
