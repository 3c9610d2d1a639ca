package replica

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// content says whether this machine keeps the content of records, and how far it
// is complete. Summaries bring the replica's position further than that.
type content struct {
	kept  bool            // what is read from now on is kept
	whole bool            // all that was written before upTo is kept
	upTo  platform.Offset // from here on nothing is known to be kept
	epoch uint64          // counts the times that the content was dropped
}

// complete reports whether nothing is missing up to a position.
func (c *content) complete(position platform.Offset) bool {
	return c.kept && c.whole && c.upTo >= position
}

// read notes that records were applied in order up to an offset.
func (c *content) read(next platform.Offset) {
	if c.kept && c.whole {
		c.upTo = max(c.upTo, next)
	}
}

// KeepContent has the content of records kept from now on. What was written before is
// then to be read (Wants).
func (r *Replica) KeepContent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.content.kept = true
}

// DropContent drops the content of records, unless the replica is followed.
func (r *Replica) DropContent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || !r.content.kept || !r.Synced() {
		return
	}
	r.content = content{epoch: r.content.epoch + 1}
	for i := range r.shards {
		r.shards[i].shed()
	}
}

func (s *shard) shed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		e.shed()
	}
}

// HasContent reports whether the content of all records is kept here, so that this
// machine could plan.
func (r *Replica) HasContent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content.kept && r.content.whole
}

// NeedsContent reports whether the content of records is to be kept and the store has
// to be read for it.
func (r *Replica) NeedsContent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content.kept && !r.content.whole
}

// readFrom returns from where the store is to be read on.
func (r *Replica) readFrom() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from()
}

// from is readFrom; r.mu is held.
func (r *Replica) from() platform.Offset {
	if r.content.kept && r.content.whole {
		return r.content.upTo
	}
	return r.next
}

// Span is a part of the partition, without its end.
type Span struct {
	_        struct{} `cbor:",toarray"`
	From, To platform.Offset
}

// ApplySummaries takes in the summaries of all jobs that records of a span have
// changed, if the span follows on what is known. It returns up to where the
// states of jobs are known.
func (r *Replica) ApplySummaries(span Span, summaries []work.Summary, now time.Time) platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.Synced() || span.From > r.next || span.To <= r.next {
		return r.next
	}
	r.current = now
	for _, s := range summaries {
		r.summarise(s, span.To-1, now)
	}
	r.next = span.To
	return r.next
}

// summarise takes in the summary of a job as of an offset; r.mu is held.
func (r *Replica) summarise(s work.Summary, at platform.Offset, now time.Time) {
	sh := r.shard(s.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.jobs[s.ID]
	if s.Deleted {
		if e != nil && e.last <= at {
			delete(sh.jobs, s.ID)
		}
		return
	}
	if e == nil {
		e = &Entry{}
		sh.jobs[s.ID] = e
	}
	e.round = r.round
	e.last = max(e.last, at)
	if e.Outcome != nil {
		return
	}
	e.submitted, e.queue = true, s.Queue
	e.tell(s.State, at)
	e.Cancelled = s.Cancelled
	if e.ended.IsZero() && e.State().Final() {
		e.ended = now
	}
}

// ApplyContent takes in the newest record of each key that was written in a
// span, in the order of their offsets, if the span follows on the content that is
// kept.
func (r *Replica) ApplyContent(span Span, records []platform.Record, now time.Time) {
	from := r.readFrom()
	if r.Synced() && r.HasContent() && span.From <= from && span.To > from {
		r.apply(records, span.To, now)
	}
}

// ContentPosition returns up to where the content of records is kept, and whether it is
// kept at all.
func (r *Replica) ContentPosition() (platform.Offset, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content.upTo, r.content.kept && r.content.whole
}
