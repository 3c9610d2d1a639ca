package queue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Timing of the watcher. A configuration must be in force within 2 s of its
// confirmation, even if one read times out because its connection hangs.
const (
	pollWait    = 800 * time.Millisecond
	readTimeout = 500 * time.Millisecond // in addition to pollWait
	retryDelay  = 100 * time.Millisecond
)

// Watcher follows the operator's configuration in the store. The version in
// force never decreases, even if the store returns older records.
type Watcher struct {
	Log       platform.PartitionLog
	Partition platform.Partition
	Key       string // key of the configuration's record
	Decode    func([]byte) (*Configuration, error)
	Logger    *logrus.Entry

	current    atomic.Pointer[Configuration]
	nextOffset platform.Offset
	newestRead bool // false until the newest records have been read, and again after log truncation
	unreadable platform.UnreadableLogger
}

// Configuration returns the configuration in force, or nil before the first one.
func (w *Watcher) Configuration() *Configuration { return w.current.Load() }

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.unreadable.Logger = w.Logger.WithField("topic", w.Partition.Topic)
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil {
			w.Logger.WithError(err).Debug("reading the configuration failed, will retry")
			pause.For(ctx, retryDelay)
		}
	}
	return nil
}

func (w *Watcher) poll(ctx context.Context) error {
	if !w.newestRead {
		return w.readNewest(ctx)
	}
	readCtx, cancel := context.WithTimeout(ctx, pollWait+readTimeout)
	defer cancel()
	batch, err := w.Log.Read(readCtx, w.Partition, w.nextOffset, pollWait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		w.newestRead = false
		return nil
	}
	if err != nil {
		return err
	}
	w.nextOffset = batch.Next
	for _, r := range batch.Records {
		w.apply(r)
	}
	return nil
}

// readNewest applies the newest records and sets the offset from which to continue.
func (w *Watcher) readNewest(ctx context.Context) error {
	next, err := platform.ReadNewest(ctx, w.Log, w.Partition, platform.PageTimeout{Initial: readTimeout}, func(records []platform.Record) {
		for _, r := range records {
			w.apply(r)
		}
	}, func(err error) {
		w.Logger.WithError(err).Debug("reading a page of the newest records failed, will retry")
	})
	if err != nil {
		return err
	}
	w.nextOffset = next
	w.newestRead = true
	return nil
}

// apply applies one operator record. A record that cannot be decoded leaves the
// configuration in force unchanged.
func (w *Watcher) apply(r platform.Record) {
	if r.Err != nil {
		w.unreadable.LogUnreadable(r, r.Err)
		return
	}
	if r.Key != w.Key || len(r.Value) == 0 {
		return
	}
	configuration, err := w.Decode(r.Value)
	if err != nil {
		w.unreadable.LogUnreadable(r, err)
		return
	}
	w.unreadable.MarkReadable(r.Key)
	if previous := w.current.Load(); previous != nil && configuration.Version <= previous.Version {
		return
	}
	w.current.Store(configuration)
	w.Logger.WithFields(logrus.Fields{"version": configuration.Version, "queues": len(configuration.Queues)}).Info("configuration in force")
}
