package replica

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// shardCount is the number of parts that the jobs are spread over, each under
// its own lock, so that requests rarely wait for the reader.
const shardCount = 16

// Replica is the state of a cell's jobs. Its methods may be called from any
// goroutine.
type Replica struct {
	events *logrus.Entry
	kept   time.Duration // how long an ended job stays known
	shards [shardCount]shard

	mu       sync.Mutex // guards the fields below and orders changes
	next     platform.Offset
	content  content
	round    uint64        // of readings of the newest records
	synced   chan struct{} // closed when everything up to next has been applied
	current  time.Time     // when the store, or the leader, last told what it holds
	whole    time.Time     // when nothing that it held was missing here
	faults   *platform.UnreadableLog
	listener func([]Change)
	publish  func(AppliedBatch) // what was applied in order, on the machine that leads
}

// AppliedBatch is what was applied in order.
type AppliedBatch struct {
	Records []platform.Record
	Updates []SummaryUpdate // what these say to clients
}

// SummaryUpdate is a change of what clients may ask of a job.
type SummaryUpdate struct {
	Offset  platform.Offset // of the record that brought it
	Summary work.Summary
}

type shard struct {
	mu   sync.RWMutex
	jobs map[work.ID]*Entry
}

// New returns an empty replica that forgets a job some time after its end.
func New(kept time.Duration, events *logrus.Entry) *Replica {
	r := &Replica{
		events:  events,
		kept:    kept,
		synced:  make(chan struct{}),
		content: content{kept: true, whole: true}, // of nothing so far
		faults:  &platform.UnreadableLog{Events: events.WithField("records", "jobs")},
	}
	for i := range r.shards {
		r.shards[i].jobs = make(map[work.ID]*Entry)
	}
	return r
}

func (r *Replica) shard(id work.ID) *shard { return &r.shards[id[len(id)-1]%shardCount] }

// Get returns what is known of a job.
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

// HasRequest reports whether the record of a client's request, by its key, has been
// applied.
func (r *Replica) HasRequest(key string) bool {
	kind, id, err := work.ParseKey(key)
	if err != nil {
		return false
	}
	e, known := r.Get(id)
	if kind == work.KindCancellation { // which changes nothing of a job that has ended
		return known && (e.Cancelled || e.State().Final())
	}
	return known && e.Submitted()
}

// Synced reports whether the store has been read to its end once.
func (r *Replica) Synced() bool {
	select {
	case <-r.synced:
		return true
	default:
		return false
	}
}

// complete returns a channel that is closed once the store has been read to
// its end.
func (r *Replica) complete() <-chan struct{} { return r.synced }

// SinceContact returns how long ago the store last answered.
func (r *Replica) SinceContact(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.current)
}

// Position returns up to where the partition has been applied.
func (r *Replica) Position() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// PendingJobs returns how many jobs of a queue have not begun.
func (r *Replica) PendingJobs(queue string) int {
	n := 0
	r.each(func(_ work.ID, e *Entry) bool {
		if e.submitted && e.queue == queue && e.State() == work.Queued {
			n++
		}
		return true
	})
	return n
}

// SetListener calls listener with every job that is known and, from then on, with
// each batch of changes, in order and one call at a time. It replaces the
// former listener; nil ends it. It returns false, and has nothing called, where
// the content of records isn't complete.
func (r *Replica) SetListener(listener func([]Change)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listener != nil && !r.content.complete(r.next) {
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

// SetPublisher has publish called with all records that are applied from now on, in
// order, and returns from where. Nil ends it.
func (r *Replica) SetPublisher(publish func(AppliedBatch)) platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish = publish
	return r.next
}

// ApplyRecords takes in records whose first has the given offset, if they follow on
// what is known. Those that are known already are passed over. It returns up
// to where the replica is complete.
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

// MarkCurrent notes that the store, or the leader, has told at a time that it holds
// nothing more than was applied since.
func (r *Replica) MarkCurrent(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = latest(r.current, now)
	r.whole = latest(r.whole, now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Lag returns for how long the replica may have missed something. A machine
// that takes in less than is written hears of the store all the time (Age) and
// is behind all the same.
func (r *Replica) Lag(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.whole)
}

// apply takes in records that were read in order; next is where to read on.
func (r *Replica) apply(records []platform.Record, next platform.Offset, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = now
	if next > 0 { // a page of the newest records has no place of its own
		records = beyond(records, r.from())
	}
	var changes []Change
	var news []SummaryUpdate
	for _, rec := range records {
		c, summary, changed := r.applyOne(rec, now)
		if changed {
			changes = append(changes, c)
		}
		if summary != nil {
			news = append(news, SummaryUpdate{Offset: rec.Offset, Summary: *summary})
		}
	}
	if r.publish != nil && next > 0 && len(records) > 0 {
		r.publish(AppliedBatch{Records: records, Updates: news})
	}
	r.next = max(r.next, next)
	r.content.read(next)
	if r.listener != nil && len(changes) > 0 {
		r.listener(changes)
	}
}

// beyond returns the records from an offset on; two readers may have read the
// same ones.
func beyond(records []platform.Record, from platform.Offset) []platform.Record {
	for i, rec := range records {
		if rec.Offset >= from {
			return records[i:]
		}
	}
	return nil
}

// EndedJob is a job whose records its outcome can stand for.
type EndedJob struct {
	ID        work.ID
	Outcome   work.Outcome
	Cancelled bool // a client has cancelled it
}

// EndedJobs returns up to limit jobs that ended some time ago, or longer, and whose
// records are still whole.
func (r *Replica) EndedJobs(now time.Time, ago time.Duration, limit int) []EndedJob {
	var ended []EndedJob
	r.each(func(id work.ID, e *Entry) bool {
		if e.Job != nil && !e.ended.IsZero() && now.Sub(e.ended) > ago {
			outcome := work.Outcome{State: e.State(), Queue: e.Job.Queue}
			ended = append(ended, EndedJob{ID: id, Outcome: outcome, Cancelled: e.Cancelled})
		}
		return len(ended) < limit
	})
	return ended
}

// ExpiredJobs returns up to limit jobs that ended long enough ago to be
// forgotten.
func (r *Replica) ExpiredJobs(now time.Time, limit int) []work.ID {
	var ids []work.ID
	r.each(func(id work.ID, e *Entry) bool {
		if !e.ended.IsZero() && now.Sub(e.ended) > r.kept {
			ids = append(ids, id)
		}
		return len(ids) < limit
	})
	return ids
}

// each calls f with every entry until it returns false. The entry may not be
// kept or changed.
func (r *Replica) each(f func(work.ID, *Entry) bool) {
	for i := range r.shards {
		if !r.shards[i].each(f) {
			return
		}
	}
}

// dropGone drops the jobs that were written before end and of which no record came
// in this round.
func (s *shard) dropGone(round uint64, end platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.jobs {
		if e.round < round && e.last < end {
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
