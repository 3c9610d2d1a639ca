package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// begin fences the former leader and takes over what it knew.
func (r *Runner) begin(ctx context.Context) error {
	began := time.Now()
	if err := r.readFenced(ctx); err != nil {
		return r.failed(err)
	}
	r.mu.Lock()
	cfg := r.cfg.Plan
	cfg.Epoch = r.cfg.Self.Epoch
	r.cell = plan.NewCell(cfg, r.lookup, r.cfg.Logger, time.Now())
	r.cell.Configure(r.cfg.Configuration())
	r.mu.Unlock()
	if !r.cfg.Replica.SetListener(r.changed) {
		return errNotWhole
	}
	r.publish(ctx)
	r.cfg.Logger.WithField("took_ms", time.Since(began).Milliseconds()).Info("this process begins to plan for the cell")
	return ctx.Err()
}

// readFenced returns when former leaders are fenced and all that they wrote is read. It is
// read while the fence is under way, which takes as long at a slow store, and again only
// where something was written meanwhile.
func (r *Runner) readFenced(ctx context.Context) error {
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan struct{})
	r.spawn(func() {
		defer close(read)
		r.readAll(reading)
	})
	end, err := r.writer.fence(ctx)
	if err != nil {
		return err
	}
	<-read
	// States of jobs may be known further than the content that planning needs.
	if upTo, kept := r.cfg.Replica.ContentPosition(); !kept || upTo < end {
		r.readAll(ctx)
	}
	return nil
}

// readAll returns when everything is read that the store held at the call, or ctx has
// ended.
func (r *Runner) readAll(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.cfg.Reader.Sync(ctx)
		if err == nil {
			return
		}
		r.cfg.Logger.WithError(err).Debug("jobs not read yet")
		pause.For(ctx, appendRetry)
	}
}

// errNotWhole: the content of records was dropped between this process's claim and
// now, on the word of another leader.
var errNotWhole = errors.New("dispatch: the jobs' records aren't kept here")

// publish begins to deliver what the replica applies to the other machines.
func (r *Runner) publish(ctx context.Context) {
	var publisher *assist.Publisher
	ready := make(chan struct{})
	from := r.cfg.Replica.SetPublisher(func(a replica.AppliedBatch) {
		<-ready
		publisher.Add(a)
	})
	publisher = assist.NewPublisher(assist.PublisherConfig{
		Self:               r.cfg.Self,
		DataCentre:         r.cfg.LocalDataCentre,
		LinkBytesPerSecond: r.cfg.LinkBytesPerSecond,
		Peers:              r.cfg.Peers,
		Caller:             r.cfg.Caller,
		BulkCaller:         r.cfg.BulkCaller,
		CutOff:             r.cfg.CutOff,
		LastRenewal:        r.cfg.LastRenewal,
		OnReplaced:         r.cfg.OnHigherEpoch,
		Logger:             r.cfg.Logger,
	}, from)
	close(ready)
	r.spawn(func() { publisher.Run(ctx) })
}
