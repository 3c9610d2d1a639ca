package httpendpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// slotsBusyUnknown is the value of platform.Feedback.SlotsBusy for an endpoint
// that did not report it.
const slotsBusyUnknown = -1

// maxRefusalBodyBytes limits how much of a refusal's body is read. The body is read
// so that the connection can be reused.
const maxRefusalBodyBytes = 4 << 10

// errTooLarge is returned when an answer is longer than the service allows.
var errTooLarge = errors.New("httpendpoint: answer is too large")

// Attempt implements platform.Endpoint. Errors are of type *platform.AttemptError.
// Redirects and error statuses are returned as answers.
func (c *Client) Attempt(ctx context.Context, ep api.Endpoint, epoch api.Epoch, req *api.Request, maxAnswer int64) (*api.Answer, platform.Feedback, error) {
	unknown := platform.Feedback{SlotsBusy: slotsBusyUnknown}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{cancel: cancel}
	defer a.releaseConn()

	out, err := buildRequest(httptrace.WithClientTrace(ctx, a.trace()), ep, epoch, req)
	if err != nil {
		return nil, unknown, attemptError(ep, platform.CertainNotRun, api.ReasonMalformed, err)
	}
	resp, err := c.transport(ep).RoundTrip(out)
	if err != nil {
		return nil, unknown, a.classify(ctx, ep, err)
	}
	defer resp.Body.Close()

	feedback := readFeedback(resp.Header)
	if resp.Header.Get(api.HeaderNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBodyBytes)
		cause := fmt.Errorf("endpoint refused with status %d", resp.StatusCode)
		return nil, feedback, attemptError(ep, platform.CertainNotRun, api.ReasonEndpointRefused, cause)
	}
	answer, err := readAnswer(resp, maxAnswer)
	if err != nil {
		return nil, feedback, a.classify(ctx, ep, err)
	}
	answer.Endpoint = ep.ID
	return answer, feedback, nil
}

// buildRequest returns the HTTP request that sends req to ep. It does not set
// GetBody, with which the transport could resend the request.
func buildRequest(ctx context.Context, ep api.Endpoint, epoch api.Epoch, req *api.Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = ep.Address
	header := buildHeader(ctx, epoch, req)
	out := &http.Request{
		Method: req.Method,
		URL:    target,
		Host:   header.Get("Host"),
		Header: header,
		Body:   http.NoBody,
	}
	header.Del("Host")
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
		out.ContentLength = int64(len(req.Body))
	}
	return out.WithContext(ctx), nil
}

// buildHeader returns the caller's headers without hop-by-hop headers, and with the
// request ID, the epoch and the remaining time.
func buildHeader(ctx context.Context, epoch api.Epoch, req *api.Request) http.Header {
	header := make(http.Header, len(req.Header)+4)
	for name, value := range req.Header {
		header.Set(name, value)
	}
	dropHopByHop(header)
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = nil // sends no User-Agent instead of the library's default
	}
	header.Set(api.HeaderRequestID, req.ID)
	header.Set(api.HeaderEpoch, strconv.FormatUint(uint64(epoch), 10))
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(api.HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	return header
}

// readFeedback returns what the endpoint reports about itself in the headers.
func readFeedback(h http.Header) platform.Feedback {
	feedback := platform.Feedback{
		SlotsBusy: slotsBusyUnknown,
		Leaving:   h.Get(api.HeaderLeaving) == "true",
	}
	if busy, err := strconv.Atoi(h.Get(api.HeaderSlotsBusy)); err == nil && busy >= 0 {
		feedback.SlotsBusy = busy
	}
	return feedback
}

// readAnswer reads the complete answer. It returns errTooLarge if the body has more than
// maxAnswer bytes, and another error if the answer is incomplete.
func readAnswer(resp *http.Response, maxAnswer int64) (*api.Answer, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("httpendpoint: endpoint switched protocols unasked")
	}
	hasBody := resp.Request.Method != http.MethodHead
	if hasBody && resp.ContentLength > maxAnswer {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxAnswer {
		return nil, errTooLarge
	}
	dropHopByHop(resp.Header)
	if !hasBody && resp.ContentLength >= 0 {
		resp.Header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return &api.Answer{
		Status:  resp.StatusCode,
		Header:  flatten(resp.Header),
		Trailer: flatten(resp.Trailer),
		Body:    body,
	}, nil
}

// classify returns the error of a failed attempt with its certainty and reason.
func (a *attempt) classify(ctx context.Context, ep api.Endpoint, err error) *platform.AttemptError {
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded)
	callerGone := cause != nil && !timedOut && !errors.Is(cause, errRetrySuppressed)
	if a.bytesWritten.Load() == 0 {
		return attemptError(ep, platform.CertainNotRun, a.notSentReason(timedOut, callerGone), err)
	}
	return attemptError(ep, platform.MayHaveRun, sentReason(timedOut, callerGone, err), err)
}

// notSentReason returns the reason why an attempt failed that wrote nothing. If the
// transport did not even request a connection, the request itself is malformed.
func (a *attempt) notSentReason(timedOut, callerGone bool) api.Reason {
	switch {
	case timedOut:
		return api.ReasonDeadlinePassed
	case callerGone:
		return api.ReasonCallerGone
	case a.connRequests == 0:
		return api.ReasonMalformed
	default:
		return api.ReasonConnectFailed
	}
}

// sentReason returns the reason why an attempt failed that wrote something.
func sentReason(timedOut, callerGone bool, err error) api.Reason {
	switch {
	case errors.Is(err, errTooLarge):
		return api.ReasonAnswerTooLarge
	case timedOut:
		return api.ReasonAnswerTimeout
	case callerGone:
		return api.ReasonCallerGone
	default:
		return api.ReasonAnswerBroken
	}
}

// attemptError returns the error of an attempt at ep.
func attemptError(ep api.Endpoint, certainty platform.Certainty, reason api.Reason, cause error) *platform.AttemptError {
	return &platform.AttemptError{Certainty: certainty, Reason: reason, Endpoint: ep.ID, Cause: cause}
}
