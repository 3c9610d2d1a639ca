package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Timing of registry reads.
const (
	// registryInterval is the time between two reads. Each executor writes a heartbeat about
	// every 1.5 s, so a read that waits for new records would return all the time. A leaving
	// executor keeps accepting work for at least 2 s.
	registryInterval = 300 * time.Millisecond
	registryTimeout  = 700 * time.Millisecond
	// maxRegistryPageTimeout bounds the time for a page of the newest records, which grows while the
	// store is busy.
	maxRegistryPageTimeout = 4 * time.Second
)

// DecodeExecutor decodes an executor's record.
type DecodeExecutor func(id string, data []byte) (*fleet.Executor, error)

// registry follows the records in which executors register themselves.
type registry struct {
	log        platform.PartitionLog
	partition  platform.Partition
	decode     DecodeExecutor
	unreadable *platform.UnreadableLogger
	listed     map[string]*fleet.Executor
	next       platform.Offset
	restored   bool // whether the newest records have been read once
}

func newRegistry(log platform.PartitionLog, p platform.Partition, decode DecodeExecutor, logger *logrus.Entry) *registry {
	return &registry{log: log, partition: p, decode: decode, unreadable: &platform.UnreadableLogger{Logger: logger.WithField("topic", p.Topic)}}
}

// refresh reads what was written before the call and since the last one, and reports whether
// it contained anything but heartbeats. The executors of a large fleet write more between two
// calls than one answer holds.
func (g *registry) refresh(ctx context.Context) (changed bool, err error) {
	if !g.restored {
		return true, g.restore(ctx)
	}
	var end platform.Offset // as named by the first answer
	for first := true; first || g.next < end; first = false {
		batch, err := g.readFrom(ctx, g.next)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			return true, g.restore(ctx)
		}
		if err != nil {
			return changed, err
		}
		if first {
			end = batch.End
		}
		if batch.Next <= g.next {
			break
		}
		g.next = batch.Next
		for _, r := range batch.Records {
			changed = g.apply(r) || changed
		}
	}
	return changed, nil
}

// restore reads the newest record of every executor.
func (g *registry) restore(ctx context.Context) error {
	fresh := &registry{decode: g.decode, unreadable: g.unreadable, listed: make(map[string]*fleet.Executor)}
	next, err := platform.ReadNewest(ctx, g.log, g.partition, platform.PageTimeout{Initial: registryTimeout, Max: maxRegistryPageTimeout}, func(records []platform.Record) {
		for _, r := range records {
			fresh.apply(r)
		}
	}, func(err error) {
		g.unreadable.Logger.WithError(err).Debug("page of the newest records could not be read; retrying")
	})
	if err != nil {
		return err
	}
	g.listed, g.next, g.restored = fresh.listed, next, true
	return nil
}

// maxHistoryRecords bounds how many records findFormer reads. At 300 bytes each, they are the
// heartbeats of 500 executors over some 20 s.
const maxHistoryRecords = 8000

// findFormer returns the last registered state of executors that are no longer listed, as far
// as the registry's history goes back.
func (g *registry) findFormer(ctx context.Context, ids []string) (map[string]*fleet.Executor, error) {
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	found := make(map[string]*fleet.Executor)
	for from := g.next - min(g.next, maxHistoryRecords); from < g.next; {
		batch, err := g.readFrom(ctx, from)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return found, err
		}
		for _, r := range batch.Records {
			if !wanted[r.Key] || len(r.Value) == 0 || r.Err != nil {
				continue
			}
			if e, err := g.decode(r.Key, r.Value); err == nil { // an undecodable record was logged when it was first read
				found[r.Key] = e
			}
		}
		if batch.Next <= from {
			break
		}
		from = batch.Next
	}
	return found, nil
}

// readFrom makes one read.
func (g *registry) readFrom(ctx context.Context, from platform.Offset) (platform.RecordBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	return g.log.Read(ctx, g.partition, from, 0)
}

// apply applies one record and reports whether it changed the list of executors. An executor
// whose newest record cannot be decoded is not listed; the cell continues to renew its lease
// while runs are known there.
func (g *registry) apply(r platform.Record) bool {
	before := g.listed[r.Key]
	e := g.decodeRecord(r)
	if e == nil {
		delete(g.listed, r.Key)
		return before != nil
	}
	g.listed[r.Key] = e
	return before == nil || !before.Equal(e)
}

// decodeRecord returns the executor that a record describes, or nil if the record is a
// deletion or cannot be decoded.
func (g *registry) decodeRecord(r platform.Record) *fleet.Executor {
	var e *fleet.Executor
	err := r.Err
	if len(r.Value) > 0 {
		e, err = g.decode(r.Key, r.Value)
	}
	if err != nil {
		g.unreadable.LogUnreadable(r, err)
		return nil
	}
	g.unreadable.MarkReadable(r.Key)
	return e
}

// watchRegistry keeps the cell's list of executors up to date.
func (r *Runner) watchRegistry(ctx context.Context) {
	g := newRegistry(r.cfg.Log, r.cfg.Registry, r.cfg.Decode, r.cfg.Logger)
	for ctx.Err() == nil {
		changed, err := g.refresh(ctx)
		if err != nil {
			r.cfg.Logger.WithError(err).Debug("executor registry could not be read")
		}
		if changed && g.restored {
			r.mu.Lock()
			r.cell.UpdateExecutors(g.listed, time.Now())
			unaddressed := r.cell.ExecutorsWithoutAddress()
			r.mu.Unlock()
			r.Wake()
			r.recoverAddresses(ctx, g, unaddressed)
		}
		pause.For(ctx, registryInterval)
	}
}

// recoverAddresses looks up the last known addresses of executors that are no longer
// registered but may still have runs of a former leader, and passes them to the cell.
func (r *Runner) recoverAddresses(ctx context.Context, g *registry, ids []string) {
	if len(ids) == 0 {
		return
	}
	found, err := g.findFormer(ctx, ids)
	if err != nil {
		r.cfg.Logger.WithError(err).Info("registry history could not be read; unregistered executors are kept until their leases expire")
	}
	r.mu.Lock()
	for _, e := range found {
		r.cell.ApplyLastRecord(*e, time.Now())
	}
	r.mu.Unlock()
	r.Wake()
}
