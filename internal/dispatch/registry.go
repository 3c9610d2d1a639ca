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

// Timing of the reader of executors' records.
const (
	// registryPace is the time between two reads: each executor writes a
	// heartbeat about every 1.5 s, so waiting for a record would read all
	// the time. A leaving executor may be given work for 2 s at least.
	registryPace    = 300 * time.Millisecond
	registryTimeout = 700 * time.Millisecond
)

// DecodeExecutor reads an executor's record.
type DecodeExecutor func(id string, data []byte) (*fleet.Executor, error)

// registry follows the records in which executors describe themselves.
type registry struct {
	log       platform.PartitionLog
	partition platform.Partition
	decode    DecodeExecutor
	faults    *platform.UnreadableLogger
	listed    map[string]*fleet.Executor
	next      platform.Offset
	read      bool // the newest records were read once
}

func newRegistry(log platform.PartitionLog, p platform.Partition, decode DecodeExecutor, events *logrus.Entry) *registry {
	return &registry{log: log, partition: p, decode: decode, faults: &platform.UnreadableLogger{Logger: events.WithField("topic", p.Topic)}}
}

// refresh reads what was written since the last call and reports whether
// something but heartbeats was.
func (g *registry) refresh(ctx context.Context) (bool, error) {
	if !g.read {
		return true, g.restore(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	batch, err := g.log.Read(ctx, g.partition, g.next, 0)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return true, g.restore(ctx)
	}
	if err != nil {
		return false, err
	}
	g.next = batch.Next
	changed := false
	for _, r := range batch.Records {
		changed = g.apply(r) || changed
	}
	return changed, nil
}

// restore reads the newest record of every executor.
func (g *registry) restore(ctx context.Context) error {
	fresh := &registry{decode: g.decode, faults: g.faults, listed: make(map[string]*fleet.Executor)}
	next, err := platform.ReadNewest(ctx, g.log, g.partition, platform.PageTimeout{Initial: registryTimeout}, func(records []platform.Record) {
		for _, r := range records {
			fresh.apply(r)
		}
	}, func(err error) {
		g.faults.Logger.WithError(err).Debug("page of the newest records not read; it is asked for again")
	})
	if err != nil {
		return err
	}
	g.listed, g.next, g.read = fresh.listed, next, true
	return nil
}

// mostRecalled bounds how many records former reads, 300 bytes each: some 20 s of the
// heartbeats of 500 executors.
const mostRecalled = 8000

// former returns what the registry last said of executors that it doesn't list any more,
// as far as its history goes back.
func (g *registry) former(ctx context.Context, ids []string) (map[string]*fleet.Executor, error) {
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	found := make(map[string]*fleet.Executor)
	for from := g.next - min(g.next, mostRecalled); from < g.next; {
		batch, err := g.readHistory(ctx, from)
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
			if e, err := g.decode(r.Key, r.Value); err == nil { // others are told of where they are read first
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

func (g *registry) readHistory(ctx context.Context, from platform.Offset) (platform.RecordBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	return g.log.Read(ctx, g.partition, from, 0)
}

// apply takes in one record and reports whether it brought news. An executor
// whose newest record can't be read isn't listed; what the cell knows to run there
// is held all the same.
func (g *registry) apply(r platform.Record) bool {
	before := g.listed[r.Key]
	e := g.executor(r)
	if e == nil {
		delete(g.listed, r.Key)
		return before != nil
	}
	g.listed[r.Key] = e
	return before == nil || !before.Equal(e)
}

// executor returns the executor that a record describes; nil if it is a deletion
// or can't be read.
func (g *registry) executor(r platform.Record) *fleet.Executor {
	var e *fleet.Executor
	err := r.Err
	if len(r.Value) > 0 {
		e, err = g.decode(r.Key, r.Value)
	}
	if err != nil {
		g.faults.LogUnreadable(r, err)
		return nil
	}
	g.faults.MarkReadable(r.Key)
	return e
}

// followRegistry keeps the cell's list of executors up to date.
func (r *Runner) followRegistry(ctx context.Context) {
	g := newRegistry(r.cfg.Log, r.cfg.Registry, r.cfg.Decode, r.cfg.Logger)
	for ctx.Err() == nil {
		changed, err := g.refresh(ctx)
		if err != nil {
			r.cfg.Logger.WithError(err).Debug("executors not read")
		}
		if err == nil && changed {
			r.mu.Lock()
			r.cell.UpdateExecutors(g.listed, time.Now())
			unaddressed := r.cell.ExecutorsWithoutAddress()
			r.mu.Unlock()
			r.Wake()
			r.recall(ctx, g, unaddressed)
		}
		pause.For(ctx, registryPace)
	}
}

// recall tells the cell where executors were that run something by a former leader's word
// and aren't registered any more.
func (r *Runner) recall(ctx context.Context, g *registry, ids []string) {
	if len(ids) == 0 {
		return
	}
	found, err := g.former(ctx, ids)
	if err != nil {
		r.cfg.Logger.WithError(err).Info("history of the registry not read: executors that are gone are waited for until their leases are over")
	}
	r.mu.Lock()
	for _, e := range found {
		r.cell.ApplyLastRecord(*e, time.Now())
	}
	r.mu.Unlock()
	r.Wake()
}
