package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/filter"
)

// connectionHeaders lists the headers that concern a single connection and are
// never passed on.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// internalHeaders lists the headers between entry VMs and endpoints, which
// callers can neither set nor see.
var internalHeaders = map[string]bool{
	api.HeaderEpoch:     true,
	api.HeaderSlotsBusy: true,
	api.HeaderLeaving:   true,
	api.HeaderNotRun:    true,
	api.HeaderOutcome:   true,
	api.HeaderReason:    true,
}

// requestHeader returns the caller's headers that are passed on to the
// endpoint. Multiple values of a header are joined.
func requestHeader(from http.Header) map[string]string {
	named := make(map[string]bool)
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	header := make(map[string]string, len(from))
	for name, values := range from {
		if connectionHeaders[name] || internalHeaders[name] || named[name] {
			continue
		}
		separator := ", "
		if name == "Cookie" {
			separator = "; "
		}
		header[name] = strings.Join(values, separator)
	}
	return header
}

// Bounds of the status of an answer; net/http panics on other values.
const (
	minStatus = 200
	maxStatus = 999
)

// writeAnswer writes an endpoint's complete answer. When writing to the caller
// fails midway, the connection is aborted, so that the caller cannot mistake a
// part of the answer for all of it.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, answer *api.Answer) {
	if answer.Status < minStatus || answer.Status > maxStatus {
		s.refuse(w, api.Unknown(api.ReasonAnswerBroken, "the endpoint answered with status "+strconv.Itoa(answer.Status)))
		return
	}
	header := w.Header()
	for name, value := range answer.Header {
		name = http.CanonicalHeaderKey(name)
		if !connectionHeaders[name] && !internalHeaders[name] {
			header.Set(name, value)
		}
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // prevents net/http from guessing a type
	}
	header.Set(api.HeaderOutcome, string(api.OutcomeRan))
	for name := range answer.Trailer {
		header.Add("Trailer", name)
	}
	if r.Method != http.MethodHead && len(answer.Trailer) == 0 {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	s.writeFull(w, answer.Status, answer.Body)
	for name, value := range answer.Trailer {
		header.Set(name, value)
	}
}

// writeFull writes status and body, or aborts the connection. While the server
// drains, each answer is the last on its connection.
func (s *Server) writeFull(w http.ResponseWriter, status int, body []byte) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(s.settings.WriteTimeout))
	if status == http.StatusNoContent || status == http.StatusNotModified {
		w.Header().Del("Content-Length")
		w.WriteHeader(status)
		return
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// refuse counts and writes a refusal that did not come from the chain.
func (s *Server) refuse(w http.ResponseWriter, refusal *api.Refusal) {
	group := filter.GroupRefused
	if refusal.Outcome == api.OutcomeUnknown {
		group = filter.GroupUnknown
	}
	s.counters.Inc(group, refusal.Reason)
	s.writeRefusal(w, refusal)
}

func (s *Server) writeRefusal(w http.ResponseWriter, refusal *api.Refusal) {
	header := w.Header()
	header.Set(api.HeaderOutcome, string(refusal.Outcome))
	header.Set(api.HeaderReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(retrySeconds(refusal.RetryAfter), 10))
	}
	if refusal.Reason == api.ReasonDraining {
		header.Set("Connection", "close")
	}
	s.writeJSON(w, statusOf(refusal), refusal)
}

// retrySeconds rounds up, because the Retry-After header has whole seconds.
func retrySeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.writeFull(w, status, body)
}

// statusOf returns the HTTP status of a refusal.
func statusOf(refusal *api.Refusal) int {
	switch refusal.Reason {
	case api.ReasonMalformed, api.ReasonIDMissing:
		return http.StatusBadRequest
	case api.ReasonUnknownService, api.ReasonUnknownJob:
		return http.StatusNotFound
	case api.ReasonIDReused, api.ReasonConflict, api.ReasonDuplicate, api.ReasonWrongState:
		return http.StatusConflict
	case api.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case api.ReasonAnswerTimeout:
		return http.StatusGatewayTimeout
	case api.ReasonInternal:
		return http.StatusInternalServerError
	}
	if refusal.Outcome == api.OutcomeUnknown {
		return statusOfUnknown(refusal.Reason)
	}
	switch refusal.Reason {
	case api.ReasonCallerLimit, api.ReasonQuota:
		return http.StatusTooManyRequests
	case api.ReasonDeadlinePassed, api.ReasonDeadlineUnmeetable:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// statusOfUnknown returns the HTTP status of a refusal with outcome unknown:
// 502 if the request may have been sent or its outcome is lost, 503 if only
// this copy of it was refused.
func statusOfUnknown(reason api.Reason) int {
	switch reason {
	case api.ReasonAnswerBroken, api.ReasonAnswerTooLarge, api.ReasonEndpointFailed, api.ReasonPeerUnreachable,
		api.ReasonHolderLost, api.ReasonAnswerLost, api.ReasonCallerGone:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
