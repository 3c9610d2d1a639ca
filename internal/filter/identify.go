package filter

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

const (
	maxIDLength     = 128
	maxCallerLength = 128
	// anonymousCaller is the name of callers that give none.
	anonymousCaller = "anonymous"
)

// identify reads the headers of api/request.go, finds the service and sets the
// deadline.
func (c *Chain) identify(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		timeout, refusal := c.readHeaders(x)
		if refusal == nil {
			refusal = c.findService(x)
		}
		if refusal != nil {
			return nil, refusal
		}
		x.Received = c.deps.Now()
		x.Deadline = x.Received.Add(c.timeout(x, timeout))
		x.Digest = reqkey.Digest(x.Request)
		ctx, cancel := context.WithDeadline(ctx, x.Deadline)
		defer cancel()
		return next(ctx, x)
	}
}

// acceptForwarded replaces identify for a request from another entry VM.
func (c *Chain) acceptForwarded(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if refusal := c.findService(x); refusal != nil {
			return nil, refusal
		}
		x.Digest = reqkey.Digest(x.Request)
		ctx, cancel := context.WithDeadline(ctx, x.Deadline)
		defer cancel()
		return next(ctx, x)
	}
}

// readHeaders fills the request from the caller's headers and returns the
// timeout that they set, or zero.
func (c *Chain) readHeaders(x *Exchange) (time.Duration, *api.Refusal) {
	h := headerReader{x: x}
	req := x.Request
	req.ID = h.text(api.HeaderRequestID, maxIDLength)
	req.Caller = h.text(api.HeaderCaller, maxCallerLength)
	req.Idempotent = h.oneOf(api.HeaderIdempotent, "false", "true") == "true"
	req.Class = api.Class(h.oneOf(api.HeaderClass, string(api.ClassInteractive), string(api.ClassBatch)))
	timeout := h.milliseconds(api.HeaderTimeout, c.settings.MaxTimeout)
	if req.Caller == "" {
		req.Caller = anonymousCaller
	}
	if h.refusal != nil {
		return 0, h.refusal
	}
	if req.ID == "" && !req.Idempotent {
		detail := fmt.Sprintf("header %s is missing; a request without %s: true needs one", api.HeaderRequestID, api.HeaderIdempotent)
		return 0, api.NotRun(api.ReasonIDMissing, 0, detail)
	}
	return timeout, nil
}

// findService reads the service's record. Records change, and another entry VM
// may use another version, so a refusal here does not mean that the request
// did not run elsewhere.
func (c *Chain) findService(x *Exchange) *api.Refusal {
	spec, ok := c.deps.Services.Service(x.Request.Service)
	if !ok {
		detail := fmt.Sprintf("no service %q", x.Request.Service)
		return c.refuseUnmarked(x, api.NotRun(api.ReasonUnknownService, 0, detail))
	}
	if size := int64(len(x.Request.Body)); spec.MaxBodyBytes > 0 && size > spec.MaxBodyBytes {
		detail := fmt.Sprintf("body has %d bytes, service %s takes %d", size, spec.Service, spec.MaxBodyBytes)
		return c.refuseUnmarked(x, api.NotRun(api.ReasonTooLarge, 0, detail))
	}
	x.Spec = spec
	return nil
}

// timeout returns the caller's timeout, else the service's, else the default.
func (c *Chain) timeout(x *Exchange, requested time.Duration) time.Duration {
	if requested > 0 {
		return requested
	}
	if x.Spec.TimeoutMs > 0 {
		return time.Duration(x.Spec.TimeoutMs) * time.Millisecond
	}
	return c.settings.DefaultTimeout
}

// headerReader reads single-valued headers and keeps the first error.
type headerReader struct {
	x       *Exchange
	refusal *api.Refusal
}

func (h *headerReader) fail(name, value, allowed string) {
	if h.refusal == nil {
		h.refusal = api.NotRun(api.ReasonMalformed, 0, fmt.Sprintf("header %s: found %q, want %s", name, value, allowed))
	}
}

// value returns the header's only value, or "".
func (h *headerReader) value(name string) string {
	values := h.x.Header.Values(name)
	if len(values) > 1 {
		h.fail(name, strings.Join(values, ", "), "one value")
		return ""
	}
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// text reads printable ASCII without blanks.
func (h *headerReader) text(name string, max int) string {
	value := h.value(name)
	if len(value) > max || strings.ContainsFunc(value, notGraphicASCII) {
		h.fail(name, value, fmt.Sprintf("at most %d printable ASCII characters without blanks", max))
	}
	return value
}

func notGraphicASCII(r rune) bool { return r <= ' ' || r > '~' }

// oneOf reads one of the allowed values; the first is the default.
func (h *headerReader) oneOf(name string, allowed ...string) string {
	value := h.value(name)
	if value == "" {
		return allowed[0]
	}
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	h.fail(name, value, "one of "+strings.Join(allowed, ", "))
	return allowed[0]
}

func (h *headerReader) milliseconds(name string, max time.Duration) time.Duration {
	value := h.value(name)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 1 || n > max.Milliseconds() {
		h.fail(name, value, fmt.Sprintf("a whole number of milliseconds from 1 to %d", max.Milliseconds()))
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
