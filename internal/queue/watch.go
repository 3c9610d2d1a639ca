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

// Timing of the watch. A configuration has to be in force 2 s after its
// confirmation, also when a connection went silent and its read timed out.
const (
	watchWait    = 800 * time.Millisecond
	watchTimeout = 500 * time.Millisecond // beside the wait
	watchRetry   = 100 * time.Millisecond
)

// Watcher follows the operator's configuration in the store. The version in
// force never goes back, whatever the store returns.
type Watcher struct {
	Log       platform.PartitionLog
	Partition platform.Partition
	Key       string // of the configuration's record
	Decode    func([]byte) (*Configuration, error)
	Logger    *logrus.Entry

	table  atomic.Pointer[Configuration]
	next   platform.Offset
	read   bool // the newest record was read once
	faults platform.UnreadableLog
}

// Configuration returns the configuration in force; nil before the first.
func (w *Watcher) Configuration() *Configuration { return w.table.Load() }

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.faults.Events = w.Logger.WithField("topic", w.Partition.Topic)
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.Logger.WithError(err).Debug("configuration not read")
			pause.For(ctx, watchRetry)
		}
	}
	return nil
}

func (w *Watcher) step(ctx context.Context) error {
	if !w.read {
		return w.newest(ctx)
	}
	readCtx, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
	defer cancel()
	batch, err := w.Log.Read(readCtx, w.Partition, w.next, watchWait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		w.read = false
		return nil
	}
	if err != nil {
		return err
	}
	w.next = batch.Next
	for _, r := range batch.Records {
		w.apply(r)
	}
	return nil
}

// newest reads the newest configuration and where to go on.
func (w *Watcher) newest(ctx context.Context) error {
	next, err := platform.ReadNewest(ctx, w.Log, w.Partition, platform.PageTimeout{Least: watchTimeout}, func(records []platform.Record) {
		for _, r := range records {
			w.apply(r)
		}
	}, func(err error) {
		w.Logger.WithError(err).Debug("page of the newest records not read; it is asked for again")
	})
	if err != nil {
		return err
	}
	w.next = next
	w.read = true
	return nil
}

// apply takes in one of the operator's records. One that can't be read leaves
// the configuration in force as it is.
func (w *Watcher) apply(r platform.Record) {
	if r.Err != nil {
		w.faults.Unreadable(r, r.Err)
		return
	}
	if r.Key != w.Key || len(r.Value) == 0 {
		return
	}
	t, err := w.Decode(r.Value)
	if err != nil {
		w.faults.Unreadable(r, err)
		return
	}
	w.faults.Readable(r.Key)
	if old := w.table.Load(); old != nil && t.Version <= old.Version {
		return
	}
	w.table.Store(t)
	w.Logger.WithFields(logrus.Fields{"version": t.Version, "queues": len(t.Queues)}).Info("configuration in force")
}
