package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// applyRecord applies one record and returns the change, if there is one, and the job's
// summary if it has changed. A record that can't be decoded is logged and changes
// nothing. The caller holds r.mu.
func (r *Replica) applyRecord(rec platform.Record, now time.Time) (Change, *work.Summary, bool) {
	c, summary, changed, err := r.decodeAndApply(rec, now)
	if err != nil {
		r.unreadable.LogUnreadable(rec, err)
		return Change{}, nil, false
	}
	r.unreadable.MarkReadable(rec.Key)
	return c, summary, changed
}

// decodeAndApply is applyRecord without the logging of errors.
func (r *Replica) decodeAndApply(rec platform.Record, now time.Time) (Change, *work.Summary, bool, error) {
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
		// The leader deletes all keys of a job together. An ended job's keys are also deleted
		// when its outcome replaces them, which this replica may know as a state only.
		if e != nil && (kind == work.KindOutcome || !e.State().Final()) {
			delete(s.jobs, id)
			return Change{}, &work.Summary{ID: id, Queue: e.Queue(), Deleted: true}, false, nil
		}
		return Change{}, nil, false, nil
	}
	if e == nil {
		e = &Entry{}
	}
	before := e.summary(id)
	e.restoreRound = r.restoreRound
	e.lastOffset = max(e.lastOffset, rec.Offset)
	changed, err := e.apply(kind, id, rec, r.content.enabled)
	if err != nil || !changed {
		return Change{}, nil, false, err
	}
	s.jobs[id] = e
	if e.endedAt.IsZero() && e.State().Final() {
		e.endedAt = now
	}
	// An outcome is an update even if the state is unchanged. It replaces the job's
	// other keys, so a machine that is reading the newest record of each key may find
	// the job under no key and would drop it as deleted.
	var update *work.Summary
	if after := e.summary(id); e.Submitted() && (after != before || kind == work.KindOutcome) {
		update = &after
	}
	return Change{ID: id, Kind: kind, Entry: *e}, update, true, nil
}

// apply applies a record to the entry of its job and reports whether it has changed
// anything: a submission may be stored twice, and records are read again when the store
// has dropped its history. keep says whether the record's content is kept.
func (e *Entry) apply(kind work.Kind, id work.ID, rec platform.Record, keep bool) (bool, error) {
	if e.Outcome != nil {
		return false, nil // for example a late repetition of the submission
	}
	switch kind {
	case work.KindOutcome:
		outcome, err := work.DecodeOutcome(rec.Value)
		if err != nil {
			return false, err
		}
		e.Outcome = outcome
		e.setOrigin(outcome.Workspace, outcome.Path)
		e.dropContent()
		return true, nil
	case work.KindJob:
		if e.Job != nil || (e.submitted && !keep) {
			return false, nil // only the first submission of an ID counts
		}
		job, err := work.DecodeJob(rec.Value)
		if err != nil {
			return false, err
		}
		if job.ID != id {
			return false, errors.Newf("replica: submission of job %s has the key of job %s", job.ID, id)
		}
		e.submitted, e.queue = true, job.Queue
		e.setOrigin(job.Workspace, job.Path)
		if keep {
			e.Job = job
		}
		return true, nil
	case work.KindProgress:
		// A page of the newest records may be older than records read since.
		newerContent := keep && (e.Progress == nil || rec.Offset > e.progressOffset)
		isNew := !e.stateKnown || rec.Offset > e.stateOffset
		if !newerContent && !isNew {
			return false, nil
		}
		progress, err := work.DecodeProgress(rec.Value)
		if err != nil {
			return false, err
		}
		if newerContent {
			e.Progress, e.progressOffset = progress, rec.Offset
		}
		if isNew {
			e.setState(progress.State, rec.Offset)
		}
		return true, nil
	case work.KindCancellation:
		isNew := !e.Cancelled
		e.Cancelled = true
		return isNew, nil
	default:
		return false, errors.Newf("replica: unknown record kind %q", kind)
	}
}
