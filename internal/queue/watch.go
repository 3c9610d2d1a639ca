package queue

import (
	"context"
	"sync"
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
	// peerInterval is the minimum time between two questions to other machines.
	peerInterval = 300 * time.Millisecond
	peerTimeout  = 500 * time.Millisecond
)

// Watcher follows the operator's configuration in the store. The version in
// force never decreases, even if the store returns older records.
type Watcher struct {
	Log       platform.PartitionLog
	Partition platform.Partition
	Key       string // key of the configuration's record
	Decode    func([]byte) (*Configuration, error)
	// AskPeers returns what another machine knows of the configuration. It is called while this
	// machine can't read the store; nil: there are no other machines.
	AskPeers func(ctx context.Context, newerThan uint64) (Reading, error)
	Logger   *logrus.Entry

	current    atomic.Pointer[Configuration]
	askedPeers time.Time
	nextOffset platform.Offset
	newestRead bool // false until the newest records have been read, and again after log truncation
	unreadable platform.UnreadableLogger

	mu          sync.Mutex // guards the fields below
	record      []byte     // of the configuration in force
	confirmedAt time.Time  // when the configuration in force was certainly the newest one
}

// Reading is what a machine knows of the configuration.
type Reading struct {
	Record []byte        // of a configuration that is newer than asked for; nil: none is known
	Age    time.Duration // since this was certainly the newest one
}

// Configuration returns the configuration in force, or nil before the first one.
func (w *Watcher) Configuration() *Configuration { return w.current.Load() }

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.unreadable.Logger = w.Logger.WithField("topic", w.Partition.Topic)
	for ctx.Err() == nil {
		started := time.Now()
		if err := w.poll(ctx); err != nil {
			w.Logger.WithError(err).Debug("reading the configuration failed, will retry")
			w.askPeers(ctx)
			pause.For(ctx, retryDelay)
			continue
		}
		w.confirm(started)
	}
	return nil
}

// Newest returns what this machine knows of a configuration newer than the given version.
func (w *Watcher) Newest(newerThan uint64) Reading {
	c := w.current.Load()
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Reading{Age: time.Since(w.confirmedAt)}
	if c != nil && c.Version > newerThan {
		r.Record = w.record
	}
	return r
}

// Age returns the time since the configuration in force was certainly the newest one.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.confirmedAt)
}

// confirm records that the configuration in force was the newest one at a time.
func (w *Watcher) confirm(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.confirmedAt) {
		w.confirmedAt = at
	}
}

// askPeers applies what another machine knows. Keys that were withdrawn thereby lose their force
// also on a machine that the store turns away.
func (w *Watcher) askPeers(ctx context.Context) {
	started := time.Now()
	if w.AskPeers == nil || started.Sub(w.askedPeers) < peerInterval {
		return
	}
	w.askedPeers = started
	version := uint64(0)
	if c := w.current.Load(); c != nil {
		version = c.Version
	}
	askCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reading, err := w.AskPeers(askCtx, version)
	if err != nil {
		w.Logger.WithError(err).Debug("no machine told of the configuration")
		return
	}
	if len(reading.Record) > 0 {
		w.apply(platform.Record{Key: w.Key, Value: reading.Record})
	}
	w.confirm(started.Add(-reading.Age))
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
	w.mu.Lock()
	w.record = r.Value
	w.mu.Unlock()
	w.current.Store(configuration)
	w.Logger.WithFields(logrus.Fields{"version": configuration.Version, "queues": len(configuration.Queues), "workspaces": configuration.Workspaces.Len()}).Info("configuration in force")
	for _, f := range configuration.Findings {
		w.Logger.WithFields(logrus.Fields{"version": configuration.Version, "finding": f}).Error("entry of the configuration is left out")
	}
}
