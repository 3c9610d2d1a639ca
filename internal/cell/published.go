package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// PublishedJob is the record of a job that an operator published.
type PublishedJob struct {
	_        struct{}     `cbor:",toarray"`
	Revision api.Revision // revision of the record
	Deleted  bool         // the job is to be cancelled
	Spec     api.JobSpec  // only the ID is set if Deleted
}

// PublishedJobs adds published jobs to the cell in order of revision. Each
// revision is applied only once: the state machine remembers the highest one, so
// that a job that ended and was forgotten is not run again.
type PublishedJobs struct {
	_            struct{} `cbor:",toarray"`
	ProposedAtMs int64    // see Submit
	Jobs         []PublishedJob
}

// PublishedJobsEntry returns the entry of a PublishedJobs. The jobs must be in
// ascending order of revision.
func PublishedJobsEntry(jobs []PublishedJob, atMs int64) journal.Entry {
	return entry(TypePublishedJobs, &PublishedJobs{ProposedAtMs: atMs, Jobs: jobs})
}

// PublishedRevision returns the highest revision applied so far.
func (m *StateMachine) PublishedRevision() api.Revision {
	return api.Revision(m.publishedRevision.Load())
}

// applyPublishedJobs applies each job whose revision was not applied before.
func (m *StateMachine) applyPublishedJobs(p *PublishedJobs) *Rejection {
	applied := 0
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if job.Revision <= m.PublishedRevision() {
			m.count(api.ReasonDuplicate)
			continue
		}
		m.publishedRevision.Store(uint64(job.Revision))
		applied++
		m.applyPublishedJob(job, p.ProposedAtMs)
	}
	if applied == 0 {
		return &Rejection{Reason: api.ReasonDuplicate, Detail: "every revision was taken before"}
	}
	return nil
}

func (m *StateMachine) applyPublishedJob(job *PublishedJob, at int64) {
	if job.Deleted {
		if !m.cancelJob(job.Spec.ID) {
			m.count(api.ReasonUnknownJob)
		}
		return
	}
	if r := m.applySubmit(&Submit{Spec: job.Spec, ProposedAtMs: at}); r != nil {
		m.count(r.Reason)
	}
}
