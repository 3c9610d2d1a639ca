package history

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"net/http"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// failedBody is the body with which a stand-in answers a request that it is set to fail.
const failedBody = "failed\n"

// runsByID returns the number of runs of each request ID over all endpoints.
func runsByID(endpoints []Endpoint) map[string]int {
	runs := make(map[string]int)
	for _, ep := range endpoints {
		for id := range ep.Runs {
			runs[id] += ep.RunCount(id)
		}
	}
	return runs
}

// copiesByID groups requests by ID.
func copiesByID(requests []Request) map[string][]Request {
	copies := make(map[string][]Request)
	for _, r := range requests {
		copies[r.ID] = append(copies[r.ID], r)
	}
	return copies
}

// CheckAtMostOnce finds non-idempotent requests that ran more than once, and runs of
// request IDs that were never sent.
func CheckAtMostOnce(requests []Request, endpoints []Endpoint) []Violation {
	const rule = "at-most-once"
	copies := copiesByID(requests)
	var found []Violation
	for id, runs := range runsByID(endpoints) {
		sent := copies[id]
		switch {
		case len(sent) == 0:
			found = append(found, Violation{rule, id, "it ran, but nobody sent it"})
		case runs > 1 && slices.ContainsFunc(sent, func(r Request) bool { return !r.Idempotent }):
			found = append(found, Violation{rule, id, fmt.Sprintf("it ran %d times; its callers: %s", runs, describeOutcomes(sent))})
		}
	}
	return found
}

// CheckNotRun finds requests with a false answer "not-run". For a non-idempotent request
// the answer applies to the request ID: no copy may have run. For an idempotent request it
// applies to the copy only: each of the other copies accounts for at most attempts runs.
func CheckNotRun(requests []Request, endpoints []Endpoint, attempts int) []Violation {
	runs := runsByID(endpoints)
	var found []Violation
	for id, copies := range copiesByID(requests) {
		refused := countOutcome(copies, api.OutcomeNotRun)
		maxRuns := attempts * (len(copies) - refused)
		if !copies[0].Idempotent {
			maxRuns = 0
		}
		if refused > 0 && runs[id] > maxRuns {
			detail := fmt.Sprintf("it ran %d times; its callers: %s", runs[id], describeOutcomes(copies))
			found = append(found, Violation{"not-run", id, detail})
		}
	}
	return found
}

// CheckAnswers finds requests that were answered "ran" but did not run, or whose answer is
// not the complete answer of an endpoint to that request.
func CheckAnswers(requests []Request, endpoints []Endpoint) []Violation {
	const rule = "whole-answer"
	runs := runsByID(endpoints)
	var found []Violation
	for _, r := range requests {
		if r.Outcome != api.OutcomeRan {
			continue
		}
		if runs[r.ID] == 0 {
			found = append(found, Violation{rule, r.ID, "answered as run, but it never ran"})
		}
		if fault := answerFault(r); fault != "" {
			found = append(found, Violation{rule, r.ID, fault})
		}
	}
	return found
}

// answerFault describes how the answer to a request that ran differs from the expected
// one; empty: it doesn't.
func answerFault(r Request) string {
	want := append([]byte(r.ID+"\n"), r.Body...)
	switch {
	case r.Status == http.StatusInternalServerError && string(r.Answer) == failedBody:
		return ""
	case r.Status != http.StatusOK:
		return fmt.Sprintf("status %d", r.Status)
	case !bytes.Equal(r.Answer, want):
		return fmt.Sprintf("answer of %d bytes is not the %d bytes wanted", len(r.Answer), len(want))
	case r.Checksum != fmt.Sprintf("%08x", crc32.ChecksumIEEE(want)):
		return fmt.Sprintf("checksum %q", r.Checksum)
	}
	return ""
}

// CheckEndpointLimits finds endpoints that had more requests in progress than slots, or
// more connections than connections or their own limit allow.
func CheckEndpointLimits(endpoints []Endpoint, connections int) []Violation {
	const rule = "endpoint-limits"
	var found []Violation
	for _, ep := range endpoints {
		if ep.MaxRequests > ep.Spec.Slots {
			found = append(found, Violation{rule, string(ep.Spec.ID), fmt.Sprintf("%d requests in %d slots", ep.MaxRequests, ep.Spec.Slots)})
		}
		maxConnections := min(connections, ep.Spec.Connections)
		if ep.MaxConnections > maxConnections {
			found = append(found, Violation{rule, string(ep.Spec.ID), fmt.Sprintf("%d connections, at most %d", ep.MaxConnections, maxConnections)})
		}
	}
	return found
}

// countOutcome returns the number of copies with the given outcome.
func countOutcome(copies []Request, o api.Outcome) int {
	n := 0
	for _, r := range copies {
		if r.Outcome == o {
			n++
		}
	}
	return n
}

// describeOutcomes formats the times and outcomes of the copies.
func describeOutcomes(copies []Request) string {
	var b bytes.Buffer
	for _, r := range copies {
		fmt.Fprintf(&b, "[%v-%v %s %s]", r.Start, r.End, r.Outcome, r.Reason)
	}
	return b.String()
}
