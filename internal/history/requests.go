package history

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"net/http"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// failedBody is what a stand-in answers when it is told to fail.
const failedBody = "failed\n"

// runsByID counts the runs of each request id over all endpoints.
func runsByID(endpoints []Endpoint) map[string]int {
	runs := make(map[string]int)
	for _, ep := range endpoints {
		for id := range ep.Runs {
			runs[id] += ep.Count(id)
		}
	}
	return runs
}

// copiesByID groups requests by id.
func copiesByID(requests []Request) map[string][]Request {
	copies := make(map[string][]Request)
	for _, r := range requests {
		copies[r.ID] = append(copies[r.ID], r)
	}
	return copies
}

// CheckAtMostOnce finds non-idempotent ids that ran more than once, and runs of
// ids that nobody sent.
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
			found = append(found, Violation{rule, id, fmt.Sprintf("it ran %d times; its callers: %s", runs, told(sent))})
		}
	}
	return found
}

// CheckNotRun finds answers "not-run" that are untrue. Of a non-idempotent request
// the answer speaks of the id, so that no copy ever ran. Of an idempotent one
// it speaks of that copy, so that the other copies account for every run, each
// for at most attempts.
func CheckNotRun(requests []Request, endpoints []Endpoint, attempts int) []Violation {
	runs := runsByID(endpoints)
	var found []Violation
	for id, copies := range copiesByID(requests) {
		refused := count(copies, api.OutcomeNotRun)
		most := attempts * (len(copies) - refused)
		if !copies[0].Idempotent {
			most = 0
		}
		if refused > 0 && runs[id] > most {
			detail := fmt.Sprintf("it ran %d times; its callers: %s", runs[id], told(copies))
			found = append(found, Violation{"not-run", id, detail})
		}
	}
	return found
}

// CheckAnswers finds answers "ran" that are not the whole answer of an
// endpoint to that very request.
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

// CheckEndpointLimits finds endpoints that had more requests running than slots,
// or more connections than the smaller of their own bound and connections.
func CheckEndpointLimits(endpoints []Endpoint, connections int) []Violation {
	const rule = "endpoint-limits"
	var found []Violation
	for _, ep := range endpoints {
		if ep.MaxRequests > ep.Spec.Slots {
			found = append(found, Violation{rule, string(ep.Spec.ID), fmt.Sprintf("%d requests in %d slots", ep.MaxRequests, ep.Spec.Slots)})
		}
		most := min(connections, ep.Spec.Connections)
		if ep.MaxConnections > most {
			found = append(found, Violation{rule, string(ep.Spec.ID), fmt.Sprintf("%d connections, at most %d", ep.MaxConnections, most)})
		}
	}
	return found
}

func count(copies []Request, o api.Outcome) int {
	n := 0
	for _, r := range copies {
		if r.Outcome == o {
			n++
		}
	}
	return n
}

// told lists what the callers of the copies were told.
func told(copies []Request) string {
	var b bytes.Buffer
	for _, r := range copies {
		fmt.Fprintf(&b, "[%v-%v %s %s]", r.Start, r.End, r.Outcome, r.Reason)
	}
	return b.String()
}
