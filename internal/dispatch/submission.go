package dispatch

import (
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// submission is a batch of records that a machine has submitted and whose results it awaits.
type submission struct {
	records   []platform.Record
	results   []assist.StoreResult      // one per record; only those of refused records are set before the append
	addedJobs []work.ID                 // jobs that the cell has added for this submission
	done      chan []assist.StoreResult // receives one value
}

// isRefused reports whether a record is not to be stored.
func (s *submission) isRefused(i int) bool {
	outcome := s.results[i].Outcome
	return outcome == assist.TooBusy || outcome == assist.NotStored
}

// acceptedRecords returns the records that are to be stored.
func (s *submission) acceptedRecords() []platform.Record {
	var out []platform.Record
	for i, r := range s.records {
		if !s.isRefused(i) {
			out = append(out, r)
		}
	}
	return out
}

// complete sends the results, with outcome for all records that were not refused.
func (s *submission) complete(outcome assist.StoreOutcome) {
	for i := range s.results {
		if !s.isRefused(i) {
			s.results[i].Outcome = outcome
		}
	}
	s.done <- s.results
}
