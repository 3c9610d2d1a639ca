package journal

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// maxChunkFailures is how many failed appends a snapshot may have; one more
// cancels it.
const maxChunkFailures = 8

// snapshotWriter is a snapshot that is being written to the stream.
type snapshotWriter struct {
	chunks   []chunk
	next     int
	failures int
}

// updateSchedule updates the snapshot schedule after a record was applied.
func (r *Replica) updateSchedule(rec appliedRecord) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case rec.kind != recordChunk:
		r.schedule.countRecord()
	case rec.snapshot != nil:
		r.counters.snapshotsSeen.Add(1)
		r.schedule.completed(rec.snapshot.Position, now)
	case rec.startsSnapshot && rec.origin != r.cfg.Origin:
		r.schedule.postpone(now)
	}
}

// startSnapshotIfDue passes a snapshot of the current state to the append loop
// if one is due. The caller holds r.applying.
func (r *Replica) startSnapshotIfDue(first platform.Offset) {
	if !r.Ready() || !r.snapshotDue(first) {
		return
	}
	st, err := r.core.snapshot()
	if err == nil && len(st.Data) > r.cfg.MaxSnapshotBytes {
		err = errSnapshotTooLarge
	}
	if err != nil {
		r.finishSnapshot(err)
		return
	}
	maxData := r.batchCapacity() - chunkOverhead
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshotID++
	r.schedule.writing = true
	r.snapshot = &snapshotWriter{chunks: splitState(st, r.snapshotID, maxData)}
	r.notifyAppender()
}

var errSnapshotTooLarge = errors.New("journal: snapshot too large")

func (r *Replica) snapshotDue(first platform.Offset) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schedule.due(r.cfg.Now(), r.core.next, first)
}

// finishSnapshot ends the snapshot that is being written. err is nil if it was
// written; otherwise another becomes due after a pause.
func (r *Replica) finishSnapshot(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot = nil
	r.schedule.writing = false
	r.schedule.postpone(r.cfg.Now())
	if err == nil {
		r.counters.snapshotsWritten.Add(1)
		return
	}
	r.counters.snapshotsFailed.Add(1)
	r.log.WithFields(logrus.Fields{"event": "snapshot_failed", "error": err}).Error("snapshot not written")
}

// nextChunk returns the chunk to append now. It returns false if there is none,
// or if pending entries must be appended first.
func (a *appender) nextChunk() (chunk, bool) {
	r := a.r
	r.mu.Lock()
	defer r.mu.Unlock()
	entriesFirst := a.lastWasChunk && r.batcher.pending.Len() > 0
	if r.snapshot == nil || entriesFirst {
		return chunk{}, false
	}
	return r.snapshot.chunks[r.snapshot.next], true
}

// appendChunk appends one chunk. A chunk whose answer was lost is sent again;
// readers ignore the second copy.
func (a *appender) appendChunk(ctx context.Context, c chunk) {
	entry := Entry{Type: typeChunk, Body: Encode(c)}
	data := encodeRecord(batch{Origin: a.r.cfg.Origin, Sequence: unsequenced, Entries: []Entry{entry}})
	_, err := a.send(ctx, data)
	if err == nil {
		a.backoff.reset()
		a.handleChunkWritten()
		return
	}
	a.handleChunkFailure(ctx, err, len(data))
}

func (a *appender) handleChunkWritten() {
	if a.advanceChunk() {
		a.r.finishSnapshot(nil)
	}
}

// advanceChunk moves on to the next chunk and reports whether there is none.
func (a *appender) advanceChunk() bool {
	r := a.r
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot.next++
	return r.snapshot.next == len(r.snapshot.chunks)
}

func (a *appender) handleChunkFailure(ctx context.Context, err error, size int) {
	if errors.Is(err, platform.ErrTooLarge) {
		a.r.counters.appendTooLarge.Add(1)
		a.r.reduceRecordLimit(size)
		a.r.finishSnapshot(err)
		return
	}
	a.r.countFailure(err)
	a.pause(ctx, err)
	if a.countChunkFailure() > maxChunkFailures {
		a.r.finishSnapshot(err)
	}
}

func (a *appender) countChunkFailure() int {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.r.snapshot.failures++
	return a.r.snapshot.failures
}
