package journal

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// maxChunkFailures is how many failed appends end a snapshot.
const maxChunkFailures = 8

// snapshotWriter is a snapshot on its way into the stream.
type snapshotWriter struct {
	chunks   []chunk
	next     int
	failures int
}

// noteRecord keeps the schedule of snapshots up to date.
func (r *Replica) noteRecord(rec appliedRecord) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case rec.kind != recordChunk:
		r.schedule.passed()
	case rec.snapshot != nil:
		r.counters.snapshotsSeen.Add(1)
		r.schedule.completed(rec.snapshot.Position, now)
	case rec.started && rec.origin != r.cfg.Origin:
		r.schedule.postpone(now)
	}
}

// maybeSnapshot hands a snapshot of the present state to the append loop
// when one is due. The caller holds r.applying.
func (r *Replica) maybeSnapshot(first platform.Offset) {
	if !r.Ready() || !r.snapshotDue(first) {
		return
	}
	st, err := r.core.snapshot()
	if err == nil && len(st.Data) > r.cfg.MaxSnapshotBytes {
		err = errSnapshotTooLarge
	}
	if err != nil {
		r.endSnapshot(err)
		return
	}
	room := r.room() - chunkOverhead
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshotID++
	r.schedule.writing = true
	r.snapshot = &snapshotWriter{chunks: split(st, r.snapshotID, room)}
	r.wakeAppender()
}

var errSnapshotTooLarge = errors.New("journal: snapshot too large")

func (r *Replica) snapshotDue(first platform.Offset) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schedule.due(r.cfg.Now(), r.core.next, first)
}

// endSnapshot forgets the snapshot being written. With an error another is
// due after a while.
func (r *Replica) endSnapshot(err error) {
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

// nextChunk returns the chunk to append now, false when there is none or the
// waiting entries come first.
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

// appendChunk sends one chunk. One whose answer was lost is sent again;
// readers ignore the second copy.
func (a *appender) appendChunk(ctx context.Context, c chunk) {
	entry := Entry{Type: typeChunk, Body: Encode(c)}
	data := encodeRecord(batch{Origin: a.r.cfg.Origin, Sequence: unsequenced, Entries: []Entry{entry}})
	_, err := a.send(ctx, data)
	if err == nil {
		a.backoff.reset()
		a.chunkWritten()
		return
	}
	a.chunkFailed(ctx, err, len(data))
}

func (a *appender) chunkWritten() {
	if a.advanceChunk() {
		a.r.endSnapshot(nil)
	}
}

// advanceChunk reports whether that was the last one.
func (a *appender) advanceChunk() bool {
	r := a.r
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot.next++
	return r.snapshot.next == len(r.snapshot.chunks)
}

func (a *appender) chunkFailed(ctx context.Context, err error, size int) {
	if errors.Is(err, platform.ErrTooLarge) {
		a.r.counters.appendTooLarge.Add(1)
		a.r.lowerLimit(size)
		a.r.endSnapshot(err)
		return
	}
	a.r.countFailure(err)
	a.pause(ctx, err)
	if a.countChunkFailure() > maxChunkFailures {
		a.r.endSnapshot(err)
	}
}

func (a *appender) countChunkFailure() int {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.r.snapshot.failures++
	return a.r.snapshot.failures
}
