package replica

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// contentState describes whether this machine keeps the content of records and up to
// which offset it has all of it. The replica's position may be further, because
// summaries advance it too.
type contentState struct {
	enabled    bool            // the content of records that are read is kept
	complete   bool            // the content of all records before contentEnd is kept
	contentEnd platform.Offset // content from this offset on may be missing
	drops      uint64          // number of times that the content was dropped
}

// completeTo reports whether no content is missing up to a position.
func (c *contentState) completeTo(position platform.Offset) bool {
	return c.enabled && c.complete && c.contentEnd >= position
}

// advance records that the records of a span were applied. A span that was chosen before a
// restore completed the content may begin after contentEnd. The records in between were
// never read, so advance returns false then and contentEnd stays.
func (c *contentState) advance(span Span) bool {
	if !c.enabled || !c.complete {
		return true
	}
	if span.From > c.contentEnd {
		return false
	}
	c.contentEnd = max(c.contentEnd, span.To)
	return true
}

// KeepContent makes the replica keep the content of records from now on. The content of
// earlier records must then be read from the store (NeedsContent).
func (r *Replica) KeepContent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.content.enabled = true
}

// DropContent drops the content of records, unless a listener is set or the replica is
// not synced.
func (r *Replica) DropContent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || !r.content.enabled || !r.Synced() {
		return
	}
	r.content = contentState{drops: r.content.drops + 1}
	for i := range r.shards {
		r.shards[i].dropContent()
	}
}

func (s *shard) dropContent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.jobs {
		e.dropContent()
	}
}

// HasContent reports whether this replica has the content of all records, which a
// machine needs to plan.
func (r *Replica) HasContent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content.enabled && r.content.complete
}

// NeedsContent reports whether the content of records should be kept but must still be
// read from the store.
func (r *Replica) NeedsContent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content.enabled && !r.content.complete
}

// readFrom returns the offset from which the store is to be read next.
func (r *Replica) readFrom() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readFromLocked()
}

// readFromLocked is readFrom for callers that hold r.mu.
func (r *Replica) readFromLocked() platform.Offset {
	if r.content.enabled && r.content.complete {
		return r.content.contentEnd
	}
	return r.next
}

// Span is a range of offsets of the partition, from From up to but not including To.
type Span struct {
	_        struct{} `cbor:",toarray"`
	From, To platform.Offset
}

// ApplySummaries applies the summaries of all jobs that were changed by the records of a
// span, if the span overlaps or follows the replica's position. It returns the offset up
// to which the states of jobs are known.
func (r *Replica) ApplySummaries(span Span, summaries []work.Summary, now time.Time) platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.Synced() || span.From > r.next || span.To <= r.next {
		return r.next
	}
	r.lastContact = now
	for _, s := range summaries {
		r.applySummary(s, span.To-1, now)
	}
	r.next = span.To
	return r.next
}

// applySummary applies the summary of a job as of an offset. The caller holds r.mu.
func (r *Replica) applySummary(s work.Summary, at platform.Offset, now time.Time) {
	sh := r.shard(s.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.jobs[s.ID]
	if s.Deleted {
		if e != nil && e.lastOffset <= at {
			delete(sh.jobs, s.ID)
		}
		return
	}
	if e == nil {
		e = &Entry{}
		sh.jobs[s.ID] = e
	}
	e.restoreRound = r.restoreRound
	e.lastOffset = max(e.lastOffset, at)
	if e.Outcome != nil {
		return
	}
	e.submitted, e.queue = true, s.Queue
	e.setOrigin(s.Workspace, s.Path)
	if !e.stateKnown || at >= e.stateOffset { // states from another machine may be newer than the first deliveries
		e.setState(s.State, at)
	}
	e.Cancelled = e.Cancelled || s.Cancelled
	if e.endedAt.IsZero() && e.State().Final() {
		e.endedAt = now
	}
}

// ApplyContent applies the newest record of each key written in a span, in order of
// offset, if the span overlaps or follows the content kept so far.
func (r *Replica) ApplyContent(span Span, records []platform.Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.content
	if r.Synced() && c.enabled && c.complete && span.From <= c.contentEnd && span.To > c.contentEnd {
		r.applySpan(span, records, now)
	}
}

// JobsWithoutContent returns the number of jobs that have not ended and whose submission is
// known but not kept. A leader can't plan them.
func (r *Replica) JobsWithoutContent() int {
	n := 0
	r.each(func(_ work.ID, e *Entry) bool {
		if e.Submitted() && e.Job == nil && !e.State().Final() {
			n++
		}
		return true
	})
	return n
}

// ContentPosition returns the offset up to which the content of records is kept, and
// whether the content is complete up to there.
func (r *Replica) ContentPosition() (platform.Offset, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content.contentEnd, r.content.enabled && r.content.complete
}
