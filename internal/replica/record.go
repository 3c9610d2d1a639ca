package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// applyOne takes in one record; r.mu is held. It returns the change, if the record
// is one, and the job's summary if that has changed. A record that can't be read
// changes nothing.
func (r *Replica) applyOne(rec platform.Record, now time.Time) (Change, *work.Summary, bool) {
	c, summary, changed, err := r.read(rec, now)
	if err != nil {
		r.faults.Unreadable(rec, err)
		return Change{}, nil, false
	}
	r.faults.Readable(rec.Key)
	return c, summary, changed
}

func (r *Replica) read(rec platform.Record, now time.Time) (Change, *work.Summary, bool, error) {
	if rec.Err != nil {
		return Change{}, nil, false, rec.Err
	}
	kind, id, err := work.ParseKey(rec.Key)
	if err != nil {
		return Change{}, nil, false, err
	}
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.jobs[id]
	if len(rec.Value) == 0 {
		// The leader deletes all of a job's keys together, but for those
		// that its outcome stands for.
		if e != nil && (e.Outcome == nil || kind == work.KindOutcome) {
			delete(s.jobs, id)
			return Change{}, &work.Summary{ID: id, Queue: e.Queue(), Deleted: true}, false, nil
		}
		return Change{}, nil, false, nil
	}
	if e == nil {
		e = &Entry{}
	}
	before := e.summary(id)
	e.round = r.round
	e.last = max(e.last, rec.Offset)
	changed, err := e.take(kind, id, rec, r.content.kept)
	if err != nil || !changed {
		return Change{}, nil, false, err
	}
	s.jobs[id] = e
	if e.ended.IsZero() && e.State().Final() {
		e.ended = now
	}
	// An outcome is news though the state stays: it takes the place of the job's
	// other keys, so a machine that reads the newest of each key at that time may
	// find the job under none, and would drop it as gone.
	var news *work.Summary
	if after := e.summary(id); e.Submitted() && (after != before || kind == work.KindOutcome) {
		news = &after
	}
	return Change{ID: id, Kind: kind, Entry: *e}, news, true, nil
}

// take applies a record to the entry of its job and reports whether it says
// anything new: a submission may be stored twice, and records are read again
// when the store has dropped its history. The record's content is kept or not.
func (e *Entry) take(kind work.Kind, id work.ID, rec platform.Record, keep bool) (bool, error) {
	if e.Outcome != nil {
		return false, nil // such as a repeat of the submission that comes late
	}
	switch kind {
	case work.KindOutcome:
		outcome, err := work.DecodeOutcome(rec.Value)
		if err != nil {
			return false, err
		}
		e.Outcome = outcome
		e.shed()
		return true, nil
	case work.KindJob:
		if e.Job != nil || (e.submitted && !keep) {
			return false, nil // the first submission of an ID counts
		}
		job, err := work.DecodeJob(rec.Value)
		if err != nil {
			return false, err
		}
		if job.ID != id {
			return false, errors.Newf("replica: submission of job %s under the key of job %s", job.ID, id)
		}
		e.submitted, e.queue = true, job.Queue
		if keep {
			e.Job = job
		}
		return true, nil
	case work.KindProgress:
		// A page of the newest records may be older than what was read since.
		kept := keep && (e.Progress == nil || rec.Offset > e.progressAt)
		news := !e.told || rec.Offset > e.toldAt
		if !kept && !news {
			return false, nil
		}
		progress, err := work.DecodeProgress(rec.Value)
		if err != nil {
			return false, err
		}
		if kept {
			e.Progress, e.progressAt = progress, rec.Offset
		}
		if news {
			e.tell(progress.State, rec.Offset)
		}
		return true, nil
	case work.KindCancellation:
		news := !e.Cancelled
		e.Cancelled = true
		return news, nil
	default:
		return false, errors.Newf("replica: unknown kind of record %q", kind)
	}
}
