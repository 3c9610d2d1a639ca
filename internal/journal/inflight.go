package journal

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// inFlightBatch is a batch between its first append and its result.
type inFlightBatch struct {
	sequence       uint64
	data           []byte // identical in every attempt
	proposals      []*proposal
	uncertain      bool            // an attempt may have succeeded
	answerLostAt   time.Time       // when the latest attempt without an answer ended
	appliedAtStart platform.Offset // applied offset at the first attempt
	acked          bool            // the log has answered with offset
	offset         platform.Offset
	finished       bool
}

// isAbandoned reports whether every proposer has abandoned its proposal.
func (b *inFlightBatch) isAbandoned() bool {
	for _, p := range b.proposals {
		if !p.abandoned {
			return false
		}
	}
	return true
}

// takeBatch makes a batch of the oldest proposals. It returns nil if none are
// pending.
func (r *Replica) takeBatch(capacity int) *inFlightBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	ps := r.batcher.take(capacity)
	if len(ps) == 0 {
		return nil
	}
	b := &inFlightBatch{sequence: r.lastSentSequence + 1, proposals: ps, appliedAtStart: r.Applied()}
	entries := make([]Entry, len(ps))
	for i, p := range ps {
		entries[i] = p.entry
	}
	b.data = encodeRecord(batch{Origin: r.cfg.Origin, Sequence: b.sequence, Entries: entries})
	r.inFlight[b.sequence] = b
	return b
}

// requeueBatch puts the proposals of a batch that certainly isn't in the log
// back into the queue, except those that were abandoned.
func (r *Replica) requeueBatch(b *inFlightBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, b.sequence)
	b.finished = true
	kept := b.proposals[:0]
	for _, p := range b.proposals {
		if p.abandoned {
			r.batcher.release(p)
			continue
		}
		kept = append(kept, p)
	}
	r.batcher.requeue(kept)
}

// markSent records that b may be in the log, so that its sequence is not used
// for another batch.
func (r *Replica) markSent(b *inFlightBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSentSequence = max(r.lastSentSequence, b.sequence)
}

// markAcked records that the log has stored b at offset.
func (r *Replica) markAcked(b *inFlightBatch, offset platform.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSentSequence = max(r.lastSentSequence, b.sequence)
	b.acked = true
	b.offset = offset
}

// finish sends every proposer of b its result.
func (r *Replica) finish(b *inFlightBatch, results []error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(b, results)
}

func (r *Replica) finishLocked(b *inFlightBatch, results []error) {
	if b.finished {
		return
	}
	b.finished = true
	delete(r.inFlight, b.sequence)
	for i, p := range b.proposals {
		r.batcher.release(p)
		p.done <- results[i]
	}
}

// repeatError returns a slice with err for each proposer of b.
func (r *Replica) repeatError(b *inFlightBatch, err error) []error {
	results := make([]error, len(b.proposals))
	for i := range results {
		results[i] = err
	}
	return results
}

// deliverResults returns the results of one of the replica's own batches to
// the proposers.
func (r *Replica) deliverResults(rec appliedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.inFlight[rec.sequence]
	if !ok {
		return
	}
	results := rec.results
	if len(results) != len(b.proposals) { // another process uses the same origin
		r.log.WithFields(logrus.Fields{"event": "origin_shared", "sequence": rec.sequence}).Error("foreign batch")
		results = r.repeatError(b, ErrUnsettled)
	}
	r.finishLocked(b, results)
}

// finishMissing ends, with ErrUnsettled, batches that the log has acknowledged
// at an offset below next but that were not found there because the record was
// corrupted.
func (r *Replica) finishMissing(next platform.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.inFlight {
		if b.acked && b.offset < next {
			r.finishLocked(b, r.repeatError(b, ErrUnsettled))
		}
	}
}
