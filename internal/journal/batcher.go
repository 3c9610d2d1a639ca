package journal

import (
	"container/list"
	"time"
)

// proposal is one entry whose result a local proposer waits for.
type proposal struct {
	entry      Entry
	size       int
	proposedAt time.Time
	done       chan error    // receives the result once
	element    *list.Element // in the batcher's list; nil once taken
	abandoned  bool          // the proposer has returned with ErrUnsettled
}

func newProposal(e Entry, now time.Time) *proposal {
	return &proposal{entry: e, size: entrySize(e), proposedAt: now, done: make(chan error, 1)}
}

// batcher queues proposals that have not been sent. One limit applies to the
// size of the queued proposals and those in flight, which were taken and have
// no result yet. It is not safe for concurrent use.
type batcher struct {
	pending       list.List // of *proposal, oldest first
	pendingBytes  int
	inFlightBytes int
	maxBytes      int
}

// add queues p. It returns false if p would exceed the size limit.
func (b *batcher) add(p *proposal) bool {
	if b.pendingBytes+b.inFlightBytes+p.size > b.maxBytes {
		return false
	}
	p.element = b.pending.PushBack(p)
	b.pendingBytes += p.size
	return true
}

// remove removes p from the queue and reports whether it was still pending.
func (b *batcher) remove(p *proposal) bool {
	if p.element == nil {
		return false
	}
	b.pending.Remove(p.element)
	p.element = nil
	b.pendingBytes -= p.size
	return true
}

// take removes and returns the oldest proposals that fit into capacity bytes,
// and at least one if there is any.
func (b *batcher) take(capacity int) []*proposal {
	var out []*proposal
	size := 0
	for b.pending.Len() > 0 {
		p := b.pending.Front().Value.(*proposal)
		if len(out) > 0 && size+p.size > capacity {
			break
		}
		b.remove(p)
		b.inFlightBytes += p.size
		size += p.size
		out = append(out, p)
	}
	return out
}

// requeue puts taken proposals back at the front of the queue, in order.
func (b *batcher) requeue(ps []*proposal) {
	for i := len(ps) - 1; i >= 0; i-- {
		p := ps[i]
		p.element = b.pending.PushFront(p)
		b.pendingBytes += p.size
		b.inFlightBytes -= p.size
	}
}

// release releases the bytes of a proposal that is no longer in flight.
func (b *batcher) release(p *proposal) {
	b.inFlightBytes -= p.size
}

// oldestPending returns when the oldest pending proposal was made, or false if
// none is pending.
func (b *batcher) oldestPending() (time.Time, bool) {
	if b.pending.Len() == 0 {
		return time.Time{}, false
	}
	return b.pending.Front().Value.(*proposal).proposedAt, true
}
