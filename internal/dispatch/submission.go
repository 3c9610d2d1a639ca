package dispatch

import (
	"slices"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// submission is a batch of records that a machine has submitted and whose results it awaits.
type submission struct {
	records   []platform.Record
	results   []assist.StoreResult      // one per record; only those of records that need no append are set before it
	addedJobs []work.ID                 // jobs that the cell has added for this submission
	isStored  func(key string) bool     // whether a record is known to be stored, whoever stored it
	done      chan []assist.StoreResult // receives one value
}

// newSubmission returns a submission of which no record is settled.
func (r *Runner) newSubmission(records ...platform.Record) *submission {
	return &submission{
		records:  records,
		results:  make([]assist.StoreResult, len(records)),
		isStored: r.cfg.Replica.HasRequest,
		done:     make(chan []assist.StoreResult, 1),
	}
}

// isSettled reports whether a record needs no append: it was refused, or is stored already.
func (s *submission) isSettled(i int) bool { return s.results[i].Outcome != assist.StoreUnknown }

// recordsToStore returns the records that are to be stored.
func (s *submission) recordsToStore() []platform.Record {
	var out []platform.Record
	for i, r := range s.records {
		if !s.isSettled(i) {
			out = append(out, r)
		}
	}
	return out
}

// resultsWith returns the results, with outcome for all records that are neither settled nor known to be stored:
// another machine may have stored a record that this leader has given up.
func (s *submission) resultsWith(outcome assist.StoreOutcome) []assist.StoreResult {
	results := slices.Clone(s.results)
	for i := range results {
		switch {
		case s.isSettled(i):
		case s.isStored(s.records[i].Key):
			results[i].Outcome = assist.Stored
		default:
			results[i].Outcome = outcome
		}
	}
	return results
}

// complete sends the results, with outcome as in resultsWith.
func (s *submission) complete(outcome assist.StoreOutcome) { s.done <- s.resultsWith(outcome) }
