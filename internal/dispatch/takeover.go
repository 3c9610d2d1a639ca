package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// takeOver fences the former leader and takes over the state that it stored.
func (r *Runner) takeOver(ctx context.Context) error {
	started := time.Now()
	if err := r.fenceAndRead(ctx); err != nil {
		return r.reportFenced(err)
	}
	r.mu.Lock()
	cfg := r.cfg.Plan
	cfg.Epoch = r.cfg.Self.Epoch
	cfg.MaxRecordBytes = r.encoder.maxBytes
	r.cell = plan.NewCell(cfg, r.lookup, r.cfg.Logger, time.Now())
	r.cell.Configure(r.cfg.Configuration())
	r.mu.Unlock()
	if !r.cfg.Replica.SetListener(r.applyChanges) {
		return errContentMissing
	}
	r.startPublisher(ctx)
	r.cfg.Logger.WithFields(logrus.Fields{
		"took_ms": time.Since(started).Milliseconds(), "jobs_without_content": r.cfg.Replica.JobsWithoutContent(),
	}).Info("this process begins to plan for the cell")
	return ctx.Err()
}

// fenceAndRead returns once former leaders are fenced and everything that they wrote is
// read. Reading starts while the fence is in progress, because both take equally long at a
// slow store, and is repeated only if something was written in the meantime.
func (r *Runner) fenceAndRead(ctx context.Context) error {
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
	// The replica may have received summaries of records whose content, which planning needs, it has not read yet.
	if upTo, kept := r.cfg.Replica.ContentPosition(); !kept || upTo < end {
		r.readAll(ctx)
	}
	return nil
}

// readAll returns once everything that the store held at the time of the call has been read,
// or when ctx ends.
func (r *Runner) readAll(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.cfg.Reader.Sync(ctx)
		if err == nil {
			return
		}
		r.cfg.Logger.WithError(err).Debug("jobs not read yet")
		pause.For(ctx, appendRetryDelay)
	}
}

// errContentMissing is returned when the replica dropped the content of records between this
// process's claim of leadership and now, because another leader told it to.
var errContentMissing = errors.New("dispatch: the replica does not keep the content of job records")

// startPublisher starts delivering what the replica applies to the other machines.
func (r *Runner) startPublisher(ctx context.Context) {
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
