package journal

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// outgoing is one batch from its first append until it is read back.
type outgoing struct {
	sequence  uint64
	data      []byte // the same in every attempt
	proposals []*proposal
	uncertain bool            // an attempt may have taken effect
	lostAt    time.Time       // when the answer of the latest attempt was given up
	startedAt platform.Offset // applied offset at the first attempt
	acked     bool            // the log has answered with offset
	offset    platform.Offset
	finished  bool
}

// deserted reports whether every proposer has left.
func (o *outgoing) deserted() bool {
	for _, p := range o.proposals {
		if !p.left {
			return false
		}
	}
	return true
}

// takeBatch makes a batch of the oldest proposals, nil when there are none.
func (r *Replica) takeBatch(room int) *outgoing {
	r.mu.Lock()
	defer r.mu.Unlock()
	ps := r.batcher.take(room)
	if len(ps) == 0 {
		return nil
	}
	o := &outgoing{sequence: r.lastSent + 1, proposals: ps, startedAt: r.Applied()}
	entries := make([]Entry, len(ps))
	for i, p := range ps {
		entries[i] = p.entry
	}
	o.data = encodeRecord(batch{Origin: r.cfg.Origin, Sequence: o.sequence, Entries: entries})
	r.unread[o.sequence] = o
	return o
}

// returnBatch undoes takeBatch for a batch that certainly isn't in the log.
func (r *Replica) returnBatch(o *outgoing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unread, o.sequence)
	o.finished = true
	kept := o.proposals[:0]
	for _, p := range o.proposals {
		if p.left {
			r.batcher.settle(p)
			continue
		}
		kept = append(kept, p)
	}
	r.batcher.putBack(kept)
}

// markSent notes that o may be in the log, so that its sequence is used up.
func (r *Replica) markSent(o *outgoing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSent = max(r.lastSent, o.sequence)
}

// markAcked notes the log's answer.
func (r *Replica) markAcked(o *outgoing, offset platform.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSent = max(r.lastSent, o.sequence)
	o.acked = true
	o.offset = offset
}

// finish answers every proposer of o with its result.
func (r *Replica) finish(o *outgoing, results []error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLocked(o, results)
}

func (r *Replica) finishLocked(o *outgoing, results []error) {
	if o.finished {
		return
	}
	o.finished = true
	delete(r.unread, o.sequence)
	for i, p := range o.proposals {
		r.batcher.settle(p)
		p.done <- results[i]
	}
}

// sameForAll returns err once for each proposer of o.
func (r *Replica) sameForAll(o *outgoing, err error) []error {
	results := make([]error, len(o.proposals))
	for i := range results {
		results[i] = err
	}
	return results
}

// readBack passes the results of one of the replica's own batches to its
// proposers.
func (r *Replica) readBack(rec appliedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.unread[rec.sequence]
	if !ok {
		return
	}
	results := rec.results
	if len(results) != len(o.proposals) { // another process uses the same origin
		r.log.WithFields(logrus.Fields{"event": "origin_shared", "sequence": rec.sequence}).Error("foreign batch")
		results = r.sameForAll(o, ErrUnsettled)
	}
	r.finishLocked(o, results)
}

// giveUpPassed answers batches that the log has acknowledged but that did not
// come up where it said: the record was damaged.
func (r *Replica) giveUpPassed(next platform.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.unread {
		if o.acked && o.offset < next {
			r.finishLocked(o, r.sameForAll(o, ErrUnsettled))
		}
	}
}
