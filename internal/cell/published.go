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

// Published takes published jobs into the cell, in order of revision. Each
// revision is taken once for good: the machine remembers the highest, so that
// a job that ended long ago and was forgotten is not run again.
type Published struct {
	_    struct{} `cbor:",toarray"`
	At   int64    // as in Submit
	Jobs []PublishedJob
}

// PublishedEntry builds the entry of a Published. Jobs are in ascending order
// of revision.
func PublishedEntry(jobs []PublishedJob, atMs int64) journal.Entry {
	return entry(TypePublished, &Published{At: atMs, Jobs: jobs})
}

// PublishedRevision returns the highest revision taken so far.
func (m *Machine) PublishedRevision() api.Revision {
	return api.Revision(m.published.Load())
}

// applyPublished takes each job whose revision was not taken before.
func (m *Machine) applyPublished(p *Published) *Rejection {
	taken := 0
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if job.Revision <= m.PublishedRevision() {
			m.count(api.ReasonDuplicate)
			continue
		}
		m.published.Store(uint64(job.Revision))
		taken++
		m.takePublished(job, p.At)
	}
	if taken == 0 {
		return &Rejection{Reason: api.ReasonDuplicate, Detail: "every revision was taken before"}
	}
	return nil
}

func (m *Machine) takePublished(job *PublishedJob, at int64) {
	if job.Deleted {
		if !m.cancelOne(job.Spec.ID) {
			m.count(api.ReasonUnknownJob)
		}
		return
	}
	if r := m.applySubmit(&Submit{Spec: job.Spec, At: at}); r != nil {
		m.count(r.Reason)
	}
}
