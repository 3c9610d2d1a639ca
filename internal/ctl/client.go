package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
)

const (
	maxAnswerBytes    = 256 << 20 // enough for all records of a large cell
	maxProblemBytes   = 4 << 10   // part of an unexpected answer that is shown to the operator
	defaultRetryAfter = 2 * time.Second
)

// Client calls the operator services of entry VMs.
type Client struct {
	entries []string
	http    *http.Client
}

// NewClient returns a Client for the given entry VMs, which are URLs such as
// http://10.0.0.1:8001 and are tried in order. timeout applies to each request.
func NewClient(entries []string, timeout time.Duration) (*Client, error) {
	c := &Client{http: &http.Client{Timeout: timeout}}
	for _, e := range entries {
		u, err := url.Parse(strings.TrimSpace(e))
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, badInput("-entry: found %q, want http://IP:port", e)
		}
		c.entries = append(c.entries, strings.TrimSuffix(u.String(), "/"))
	}
	return c, nil
}

// Get reads path from the first entry VM that answers, and decodes the JSON body
// into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	var errs []error
	for _, entry := range c.entries {
		status, _, body, err := c.do(ctx, http.MethodGet, entry+path, "", nil)
		switch {
		case err != nil:
			errs = append(errs, err)
		case status == http.StatusOK:
			return json.Unmarshal(body, out)
		default:
			return errors.Newf("%s%s: %s", entry, path, formatProblem(status, body))
		}
	}
	return errors.Join(errs...)
}

// publishResponse is the answer to one attempt to publish a record.
type publishResponse struct {
	answer     api.PublishAnswer
	retryAfter time.Duration // zero: a retry would not succeed
}

// Publish sends rec once to the given entry VM. It is safe to publish the
// identical record again, through the same or another entry VM.
func (c *Client) Publish(ctx context.Context, entry, id string, rec api.Record) (publishResponse, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return publishResponse{}, err
	}
	status, header, data, err := c.do(ctx, http.MethodPost, entry+"/v1/records", id, body)
	if err != nil {
		return publishResponse{}, err
	}
	var out publishResponse
	if err := json.Unmarshal(data, &out.answer); err != nil || out.answer.Outcome == "" {
		return publishResponse{}, markRejection(status, errors.Newf("%s: %s", entry, formatProblem(status, data)))
	}
	out.retryAfter = parseRetryAfter(header)
	return out, nil
}

// markRejection marks err as bad input if status is a client error, which a
// retry would not change.
func markRejection(status int, err error) error {
	if status < http.StatusBadRequest || status >= http.StatusInternalServerError {
		return err
	}
	return &ExitError{Code: ExitBadInput, Err: err}
}

// parseRetryAfter returns the delay of the Retry-After header, or zero if there is
// none.
func parseRetryAfter(h http.Header) time.Duration {
	text := h.Get("Retry-After")
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}

// do sends one request and returns the status, header and body of the answer.
func (c *Client) do(ctx context.Context, method, target, id string, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	if id != "" {
		req.Header.Set(api.HeaderPublishID, id)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, nil, errors.Wrapf(err, "%s: reading the answer failed", target)
	}
	if len(data) > maxAnswerBytes {
		return 0, nil, nil, errors.Newf("%s: answer larger than %d bytes", target, maxAnswerBytes)
	}
	return resp.StatusCode, resp.Header, data, nil
}

// formatProblem formats an unexpected answer for an error message.
func formatProblem(status int, body []byte) string {
	var p api.Problem
	if json.Unmarshal(body, &p) == nil && p.Error != "" {
		return fmt.Sprintf("%d %s", status, p.Error)
	}
	return fmt.Sprintf("%d %s", status, body[:min(len(body), maxProblemBytes)])
}
