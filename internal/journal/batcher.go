package journal

import (
	"container/list"
	"time"
)

// proposal is one entry that a local proposer waits for.
type proposal struct {
	entry Entry
	size  int
	since time.Time     // when it was proposed
	done  chan error    // gets the result, once
	place *list.Element // in the batcher; nil once taken
	left  bool          // the proposer has gone with ErrUnsettled
}

func newProposal(e Entry, now time.Time) *proposal {
	return &proposal{entry: e, size: entrySize(e), since: now, done: make(chan error, 1)}
}

// batcher holds proposals that have not been sent, in order. It counts the
// bytes of those and of the ones taken but not yet settled against one bound.
// It is not safe for concurrent use.
type batcher struct {
	pending  list.List
	waiting  int // bytes pending
	taken    int // bytes taken and not settled
	maxBytes int
}

// add queues p and reports whether it fitted.
func (b *batcher) add(p *proposal) bool {
	if b.waiting+b.taken+p.size > b.maxBytes {
		return false
	}
	p.place = b.pending.PushBack(p)
	b.waiting += p.size
	return true
}

// remove withdraws p and reports whether it was still pending.
func (b *batcher) remove(p *proposal) bool {
	if p.place == nil {
		return false
	}
	b.pending.Remove(p.place)
	p.place = nil
	b.waiting -= p.size
	return true
}

// take removes the oldest proposals that fit into room bytes, at least one.
func (b *batcher) take(room int) []*proposal {
	var out []*proposal
	size := 0
	for b.pending.Len() > 0 {
		p := b.pending.Front().Value.(*proposal)
		if len(out) > 0 && size+p.size > room {
			break
		}
		b.remove(p)
		b.taken += p.size
		size += p.size
		out = append(out, p)
	}
	return out
}

// putBack returns taken proposals to the front, in their order.
func (b *batcher) putBack(ps []*proposal) {
	for i := len(ps) - 1; i >= 0; i-- {
		p := ps[i]
		p.place = b.pending.PushFront(p)
		b.waiting += p.size
		b.taken -= p.size
	}
}

// settle frees the bytes of a taken proposal.
func (b *batcher) settle(p *proposal) {
	b.taken -= p.size
}

// oldest returns when the oldest pending proposal came, false when none is.
func (b *batcher) oldest() (time.Time, bool) {
	if b.pending.Len() == 0 {
		return time.Time{}, false
	}
	return b.pending.Front().Value.(*proposal).since, true
}
