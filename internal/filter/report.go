package filter

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// reportedCallers is the maximum number of callers listed in a Report.
const reportedCallers = 20

// Report is the state of the request chain of one entry VM, for operators.
type Report struct {
	State       string         `json:"state"` // of the gate
	InFlight    int            `json:"in_flight"`
	MaxInFlight int            `json:"max_in_flight"`
	Batch       int64          `json:"batch_in_flight"`
	Flights     int            `json:"flights"` // requests with an ID in flight
	Kept        int            `json:"kept_answers"`
	KeptBytes   int64          `json:"kept_bytes"`
	Withdrawn   int            `json:"withdrawn_marks"`   // never used, possibly still in the log
	Journaling  int            `json:"journaling"`        // outcomes and releases in progress
	Callers     []CallerReport `json:"callers,omitempty"` // with requests in flight, most first
}

// CallerReport is the state of one caller.
type CallerReport struct {
	Caller   string         `json:"caller"`
	InFlight int64          `json:"in_flight"`
	Average  time.Duration  `json:"average_ns"` // duration of its recent requests
	Limits   api.LimitsSpec `json:"limits"`
}

var gateStateNames = map[GateState]string{
	GateNotReady: "not ready",
	GateOpen:     "open",
	GateDraining: "draining",
}

// String returns the state's name in reports.
func (s GateState) String() string { return gateStateNames[s] }

// Report returns the state of the chain. Its parts are read one after the
// other, so they need not be consistent.
func (c *Chain) Report() Report {
	r := Report{
		State:       c.gate.State().String(),
		InFlight:    c.gate.InFlight(),
		MaxInFlight: c.settings.MaxInFlight,
		Batch:       c.limits.batch.Load(),
		Journaling:  len(c.journal.slots),
		Callers:     c.limits.report(reportedCallers),
	}
	c.requests.report(&r)
	return r
}

// report adds the counts of all shards of r.
func (r *requestTable) report(to *Report) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		to.Flights += len(s.flights)
		to.Kept += len(s.kept)
		to.KeptBytes += s.keptBytes
		to.Withdrawn += len(s.withdrawn)
		s.mu.Unlock()
	}
}

// report lists the n callers with the most requests in flight.
func (l *limiter) report(n int) []CallerReport {
	var callers []CallerReport
	for i := range l.shards {
		callers = append(callers, l.shards[i].report()...)
	}
	slices.SortFunc(callers, func(a, b CallerReport) int {
		return cmp.Or(cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Caller, b.Caller))
	})
	return callers[:min(n, len(callers))]
}

func (s *limitShard) report() []CallerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var callers []CallerReport
	for name, state := range s.callers {
		if state.inFlight == 0 {
			continue
		}
		callers = append(callers, CallerReport{
			Caller:   name,
			InFlight: state.inFlight,
			Average:  state.averageDuration,
			Limits:   state.spec,
		})
	}
	return callers
}
