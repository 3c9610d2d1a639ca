package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// appendsAtOnce is how many cycles may wait for their appends at a time. In
// calm times one append ends before the next cycle begins. A store that is 37
// times as slow answers after 150 ms and takes an append of a partition every
// 37 ms, which four at a time make use of.
const appendsAtOnce = 4

// batch is what one cycle has decided.
type batch struct {
	handedIn []*submission
	records  []plan.Record
	starts   []plan.Start
	done     chan struct{}       // closed when the batch, and all before it, are durable
	parts    [][]platform.Record // one append each
	numbers  []uint64            // of these
}

// pipeline makes batches durable, several at a time, and settles them in their
// order.
type pipeline struct {
	runner *Runner
	fail   context.CancelCauseFunc
	slots  chan struct{}
	last   chan struct{} // closed when the newest batch is settled
	group  sync.WaitGroup
}

func newPipeline(r *Runner, fail context.CancelCauseFunc) *pipeline {
	settled := make(chan struct{})
	close(settled)
	return &pipeline{runner: r, fail: fail, slots: make(chan struct{}, appendsAtOnce), last: settled}
}

// enter waits until one more batch may be under way.
func (p *pipeline) enter(ctx context.Context) bool {
	select {
	case p.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// put takes in the next batch. The numbers of its appends are taken here, in
// the order of the batches: the caller holds the runner's lock.
func (p *pipeline) put(ctx context.Context, b *batch) {
	before := p.last
	settled := make(chan struct{})
	p.last = settled
	parts, err := progress(b.records)
	if err != nil {
		p.fail(err)
	}
	b.parts = join(b.handedIn, parts)
	for range b.parts {
		b.numbers = append(b.numbers, p.runner.writer.take())
	}
	p.group.Go(func() {
		defer func() { <-p.slots }()
		defer close(settled)
		p.run(ctx, b, before)
	})
}

// run makes a batch durable and settles it after the one before it.
func (p *pipeline) run(ctx context.Context, b *batch, before <-chan struct{}) {
	r := p.runner
	offsets, err := r.storeParts(ctx, b)
	<-before
	if errors.Is(err, platform.ErrUnavailable) {
		offsets, err = r.storeWithout(ctx, b)
	}
	if err != nil {
		answer(b.handedIn, assist.StoreUnknown)
		p.fail(err)
		return
	}
	for i, part := range b.parts {
		r.cfg.Replica.Offer(offsets[i], part, time.Now())
	}
	answer(b.handedIn, assist.Stored)
	close(b.done)
	r.send(ctx, b.starts)
}

// wait returns when all batches are settled.
func (p *pipeline) wait() { p.group.Wait() }
