package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// PublishedJob is the record of a job as an operator published it.
type PublishedJob struct {
	_        struct{}     `cbor:",toarray"`
	Revision api.Revision // of the record
	Deleted  bool         // cancel the job
	Spec     api.JobSpec  // ID only when Deleted
}

// PublishedJobs takes published jobs into the cell, in order of revision. Each
// revision is taken once for good: the machine remembers the highest, so that
// a job that ended long ago and was forgotten is not run again.
type PublishedJobs struct {
	_            struct{} `cbor:",toarray"`
	ProposedAtMs int64    // as in Submit
	Jobs         []PublishedJob
}

// PublishedJobsEntry builds the entry of a Published. Jobs are in ascending order
// of revision.
func PublishedJobsEntry(jobs []PublishedJob, atMs int64) journal.Entry {
	return entry(TypePublishedJobs, &PublishedJobs{ProposedAtMs: atMs, Jobs: jobs})
}

// PublishedRevision returns the highest revision taken so far.
func (m *StateMachine) PublishedRevision() api.Revision {
	return api.Revision(m.published.Load())
}

// applyPublished takes each job whose revision was not taken before.
func (m *StateMachine) applyPublished(p *PublishedJobs) *Rejection {
	taken := 0
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if job.Revision <= m.PublishedRevision() {
			m.count(api.ReasonDuplicate)
			continue
		}
		m.published.Store(uint64(job.Revision))
		taken++
		m.takePublished(job, p.ProposedAtMs)
	}
	if taken == 0 {
		return &Rejection{Reason: api.ReasonDuplicate, Detail: "every revision was taken before"}
	}
	return nil
}

func (m *StateMachine) takePublished(job *PublishedJob, at int64) {
	if job.Deleted {
		if !m.cancelOne(job.Spec.ID) {
			m.count(api.ReasonUnknownJob)
		}
		return
	}
	if r := m.applySubmit(&Submit{Spec: job.Spec, ProposedAtMs: at}); r != nil {
		m.count(r.Reason)
	}
}
