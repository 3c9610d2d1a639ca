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

// slotsBusyUnknown is platform.Feedback.SlotsBusy of an endpoint that did not
// tell.
const slotsBusyUnknown = -1

// maxRefusalBody is how much of a refusal's body is read so that the
// connection can be used again, in bytes.
const maxRefusalBody = 4 << 10

// errTooLarge: the answer is longer than the service allows.
var errTooLarge = errors.New("httpendpoint: answer is too large")

// Attempt implements platform.Endpoint. Errors are of type
// *platform.AttemptError; redirects and error statuses are answers.
func (c *Client) Attempt(ctx context.Context, ep api.Endpoint, epoch api.Epoch, req *api.Request, maxAnswer int64) (*api.Answer, platform.Feedback, error) {
	silent := platform.Feedback{SlotsBusy: slotsBusyUnknown}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{cancel: cancel}
	defer a.release()

	out, err := buildRequest(httptrace.WithClientTrace(ctx, a.trace()), ep, epoch, req)
	if err != nil {
		return nil, silent, attemptError(ep, platform.CertainNotRun, api.ReasonMalformed, err)
	}
	resp, err := c.transport(ep).RoundTrip(out)
	if err != nil {
		return nil, silent, a.classify(ctx, ep, err)
	}
	defer resp.Body.Close()

	feedback := readFeedback(resp.Header)
	if resp.Header.Get(api.HeaderNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBody)
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

// buildRequest returns req as it is sent to ep. It sets no GetBody.
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

// buildHeader returns the caller's headers without those of its connection,
// and with the request id, the epoch and the time left.
func buildHeader(ctx context.Context, epoch api.Epoch, req *api.Request) http.Header {
	header := make(http.Header, len(req.Header)+4)
	for name, value := range req.Header {
		header.Set(name, value)
	}
	dropHopByHop(header)
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = nil // sends none, rather than the library's
	}
	header.Set(api.HeaderRequestID, req.ID)
	header.Set(api.HeaderEpoch, strconv.FormatUint(uint64(epoch), 10))
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(api.HeaderTimeout, strconv.FormatInt(left, 10))
	}
	return header
}

// readFeedback returns what the endpoint says about itself.
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

// readAnswer reads the whole answer. It returns errTooLarge past maxAnswer
// bytes and any other error when the answer broke off.
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

// classify turns a failure into its certainty and reason.
func (a *attempt) classify(ctx context.Context, ep api.Endpoint, err error) *platform.AttemptError {
	cause := context.Cause(ctx)
	timedOut := errors.Is(cause, context.DeadlineExceeded)
	abandoned := cause != nil && !timedOut && !errors.Is(cause, errRepeat)
	if a.written.Load() == 0 {
		return attemptError(ep, platform.CertainNotRun, a.unsentReason(timedOut, abandoned), err)
	}
	return attemptError(ep, platform.MayHaveRun, sentReason(timedOut, abandoned, err), err)
}

// unsentReason returns the reason of an attempt that wrote nothing. When not
// even a connection was asked for, the request itself is at fault.
func (a *attempt) unsentReason(timedOut, abandoned bool) api.Reason {
	switch {
	case timedOut:
		return api.ReasonDeadlinePassed
	case abandoned:
		return api.ReasonCallerGone
	case a.dials == 0:
		return api.ReasonMalformed
	default:
		return api.ReasonConnectFailed
	}
}

// sentReason returns the reason of an attempt that wrote something.
func sentReason(timedOut, abandoned bool, err error) api.Reason {
	switch {
	case errors.Is(err, errTooLarge):
		return api.ReasonAnswerTooLarge
	case timedOut:
		return api.ReasonAnswerTimeout
	case abandoned:
		return api.ReasonCallerGone
	default:
		return api.ReasonAnswerBroken
	}
}

// attemptError builds the typed error of an attempt.
func attemptError(ep api.Endpoint, certainty platform.Certainty, reason api.Reason, cause error) *platform.AttemptError {
	return &platform.AttemptError{Certainty: certainty, Reason: reason, Endpoint: ep.ID, Cause: cause}
}
