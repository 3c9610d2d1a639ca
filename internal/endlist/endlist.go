// Package endlist works out for which reports of an executor all ends of runs have been listed. An executor
// lists the ends that were not acknowledged in the order in which they came, but a report may be cut after
// any number of them. A run that is listed neither as running nor as ended may therefore have ended in any
// way, until the list is known to be complete for a report that didn't list the run as running.
package endlist

import "time"

// Report identifies a report of an executor. The zero value stands for the time before the first one.
type Report struct {
	number    uint64 // from 1
	ArrivedAt time.Time
}

// Before reports whether a report came before another one of the same executor.
func (r Report) Before(other Report) bool { return r.number < other.number }

// IsZero reports whether r is the zero value.
func (r Report) IsZero() bool { return r.number == 0 }

// Tracker follows the reports of one incarnation of an executor. The zero value has seen none.
type Tracker struct {
	newest   Report
	complete Report // all ends before this report are listed
}

// Next returns the next report, which arrived at a time. isEmpty says that it lists no ends, which leaves none
// to be listed later.
func (t *Tracker) Next(arrivedAt time.Time, isEmpty bool) Report {
	t.newest = Report{number: t.newest.number + 1, ArrivedAt: arrivedAt}
	if isEmpty {
		t.complete = t.newest
	}
	return t.newest
}

// AddEnd notes that an end was listed for the first time, of a run that had not ended yet at an earlier report.
// All ends before that report come before this one in the list.
func (t *Tracker) AddEnd(lastAlive Report) {
	if t.complete.Before(lastAlive) {
		t.complete = lastAlive
	}
}

// Newest returns the newest report.
func (t *Tracker) Newest() Report { return t.newest }

// Complete returns the newest report for which it is certain that all earlier ends are listed; zero if that is
// certain for none.
func (t *Tracker) Complete() Report { return t.complete }

// IsComplete reports whether all ends before a report are listed.
func (t *Tracker) IsComplete(r Report) bool { return !t.complete.Before(r) }
