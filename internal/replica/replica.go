package replica

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// shardCount is the number of shards of the job map. Each has its own lock, so that
// requests rarely wait for the reader.
const shardCount = 16

// Replica holds the state of a cell's jobs. It is safe for concurrent use.
type Replica struct {
	logger    *logrus.Entry
	retention time.Duration // how long an ended job is kept
	shards    [shardCount]shard

	mu           sync.Mutex      // guards the fields below and serializes changes
	next         platform.Offset // the partition has been applied up to here
	content      contentState
	restoreRound uint64        // number of restores begun
	synced       chan struct{} // closed when everything up to next has been applied
	lastContact  time.Time     // of the store's last answer or the leader's last delivery
	completeAt   time.Time     // latest time at which the replica held everything that the store held
	unreadable   *platform.UnreadableLogger
	listener     func([]Change)
	publish      func(AppliedBatch) // set on the leader
}

// AppliedBatch is a batch of records that were applied in order.
type AppliedBatch struct {
	Records []platform.Record
	Updates []SummaryUpdate // changes caused by the records
}

// SummaryUpdate is a change of what clients may query about a job.
type SummaryUpdate struct {
	Offset  platform.Offset // of the record that caused it
	Summary work.Summary
}

// shard is a part of the jobs with its own lock.
type shard struct {
	mu   sync.RWMutex
	jobs map[work.ID]*Entry
}

// New returns an empty replica that keeps ended jobs for the retention time.
func New(retention time.Duration, logger *logrus.Entry) *Replica {
	r := &Replica{
		logger:     logger,
		retention:  retention,
		synced:     make(chan struct{}),
		content:    contentState{enabled: true, complete: true}, // up to offset 0
		unreadable: &platform.UnreadableLogger{Logger: logger.WithField("records", "jobs")},
	}
	for i := range r.shards {
		r.shards[i].jobs = make(map[work.ID]*Entry)
	}
	return r
}

// shard returns the shard of a job.
func (r *Replica) shard(id work.ID) *shard { return &r.shards[id[len(id)-1]%shardCount] }

// Get returns a copy of a job's entry, and whether the job is known.
func (r *Replica) Get(id work.ID) (Entry, bool) {
	s := r.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.jobs[id]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// HasRequest reports whether the record of a client's request with the given key has been
// applied.
func (r *Replica) HasRequest(key string) bool {
	kind, id, err := work.ParseKey(key)
	if err != nil {
		return false
	}
	e, known := r.Get(id)
	if kind == work.KindCancellation { // has no effect on a job that has ended
		return known && (e.Cancelled || e.State().Final())
	}
	return known && e.Submitted()
}

// Synced reports whether the partition has been read to its end once.
func (r *Replica) Synced() bool {
	select {
	case <-r.synced:
		return true
	default:
		return false
	}
}

// syncedChannel returns a channel that is closed once the partition has been read to its
// end.
func (r *Replica) syncedChannel() <-chan struct{} { return r.synced }

// SinceContact returns the time since the store last answered or the leader last
// delivered.
func (r *Replica) SinceContact(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastContact)
}

// Position returns the offset up to which the partition has been applied.
func (r *Replica) Position() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// PendingJobs returns the number of jobs that have not started and that were accepted by a queue, given by its
// name and path, for which include returns true.
func (r *Replica) PendingJobs(include func(name string, path work.PathID) bool) int {
	type queue struct {
		name string
		path work.PathID
	}
	pending := make(map[queue]int)
	r.each(func(_ work.ID, e *Entry) bool {
		if e.submitted && e.State() == work.Queued {
			pending[queue{e.queue, e.path}]++
		}
		return true
	})
	n := 0
	for q, jobs := range pending {
		if include(q.name, q.path) {
			n += jobs
		}
	}
	return n
}

// SetListener calls listener with all known jobs and, from then on, with each batch of
// changes, in order and one call at a time. It replaces the previous listener; nil
// removes it. If the content of records isn't complete it changes nothing and returns
// false.
func (r *Replica) SetListener(listener func([]Change)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listener != nil && !r.content.completeTo(r.next) {
		return false
	}
	r.listener = listener
	if listener == nil {
		return true
	}
	var all []Change
	r.each(func(id work.ID, e *Entry) bool {
		all = append(all, Change{ID: id, Kind: work.KindJob, Entry: *e})
		return true
	})
	listener(all)
	return true
}

// SetPublisher makes the replica call publish with all records that it applies from now
// on, in order, and returns the offset of the first. Nil removes the publisher.
func (r *Replica) SetPublisher(publish func(AppliedBatch)) platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish = publish
	return r.next
}

// ApplyRecords applies consecutive records that begin at the given offset, if they
// overlap or follow the replica's position. Records that were applied before are
// skipped. It returns the offset from which the store is to be read next.
func (r *Replica) ApplyRecords(first platform.Offset, records []platform.Record, now time.Time) platform.Offset {
	next := r.readFrom()
	end := first + platform.Offset(len(records))
	if !r.Synced() || first > next || end <= next {
		return next
	}
	for i := range records {
		records[i].Offset = first + platform.Offset(i)
	}
	r.apply(records[next-first:], end, now)
	return r.readFrom()
}

// MarkCurrent records that the replica has applied everything that the store, or the
// leader, held at the given time.
func (r *Replica) MarkCurrent(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = latest(r.lastContact, now)
	r.completeAt = latest(r.completeAt, now)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Lag returns the time since the replica last held everything that the store held. A
// machine that applies less than is written has recent contact (SinceContact) but a
// growing lag.
func (r *Replica) Lag(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.completeAt)
}

// apply applies consecutive records. next is the offset to read next, or 0 for a page of
// the newest records, which is not a range of offsets.
func (r *Replica) apply(records []platform.Record, next platform.Offset, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var span Span
	if next > 0 {
		span = Span{From: next - platform.Offset(len(records)), To: next}
	}
	r.applySpan(span, records, now)
}

// applySpan applies records of a span in order of offset, among them the newest one of
// each key. An empty span stands for a page of the newest records. The caller holds r.mu.
func (r *Replica) applySpan(span Span, records []platform.Record, now time.Time) {
	r.lastContact = now
	if span.To > 0 {
		records = recordsFrom(records, r.readFromLocked())
	}
	var changes []Change
	var updates []SummaryUpdate
	for _, rec := range records {
		c, summary, changed := r.applyRecord(rec, now)
		if changed {
			changes = append(changes, c)
		}
		if summary != nil {
			updates = append(updates, SummaryUpdate{Offset: rec.Offset, Summary: *summary})
		}
	}
	if r.publish != nil && span.To > 0 && len(records) > 0 {
		r.publish(AppliedBatch{Records: records, Updates: updates})
	}
	r.next = max(r.next, span.To)
	if !r.content.advance(span) {
		r.logger.WithFields(logrus.Fields{"content_end": r.content.contentEnd, "from": span.From, "to": span.To}).Info("read began before content was restored; its records are read again")
	}
	if r.listener != nil && len(changes) > 0 {
		r.listener(changes)
	}
}

// recordsFrom returns the records from an offset on. Two readers may have read the same
// records.
func recordsFrom(records []platform.Record, from platform.Offset) []platform.Record {
	for i, rec := range records {
		if rec.Offset >= from {
			return records[i:]
		}
	}
	return nil
}

// EndedJob is a job whose records can be replaced by its outcome.
type EndedJob struct {
	ID        work.ID
	Outcome   work.Outcome
	Cancelled bool // a client has cancelled it
}

// EndedJobs returns up to limit jobs that ended longer ago than the given time and whose
// records have not been replaced by an outcome.
func (r *Replica) EndedJobs(now time.Time, ago time.Duration, limit int) []EndedJob {
	var ended []EndedJob
	r.each(func(id work.ID, e *Entry) bool {
		if e.Job != nil && !e.endedAt.IsZero() && now.Sub(e.endedAt) > ago {
			outcome := work.Outcome{State: e.State(), Queue: e.Job.Queue, Path: e.path, Workspace: e.workspace}
			ended = append(ended, EndedJob{ID: id, Outcome: outcome, Cancelled: e.Cancelled})
		}
		return len(ended) < limit
	})
	return ended
}

// UnfinishedJobs returns the jobs that have not ended and whose submission is kept.
func (r *Replica) UnfinishedJobs() []work.ID {
	var ids []work.ID
	r.each(func(id work.ID, e *Entry) bool {
		if e.Job != nil && !e.State().Final() {
			ids = append(ids, id)
		}
		return true
	})
	return ids
}

// ExpiredJobs returns up to limit jobs that ended longer ago than the retention time.
func (r *Replica) ExpiredJobs(now time.Time, limit int) []work.ID {
	var ids []work.ID
	r.each(func(id work.ID, e *Entry) bool {
		if !e.endedAt.IsZero() && now.Sub(e.endedAt) > r.retention {
			ids = append(ids, id)
		}
		return len(ids) < limit
	})
	return ids
}

// each calls f with every entry until f returns false. f must neither keep nor change
// the entry.
func (r *Replica) each(f func(work.ID, *Entry) bool) {
	for i := range r.shards {
		if !r.shards[i].each(f) {
			return
		}
	}
}

// dropDeleted drops the jobs that were written before end and of which this restore round
// found no record.
func (s *shard) dropDeleted(restoreRound uint64, end platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.jobs {
		if e.restoreRound < restoreRound && e.lastOffset < end {
			delete(s.jobs, id)
		}
	}
}

func (s *shard) each(f func(work.ID, *Entry) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, e := range s.jobs {
		if !f(id, e) {
			return false
		}
	}
	return true
}
