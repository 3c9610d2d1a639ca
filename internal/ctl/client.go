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
	maxAnswerBytes    = 256 << 20 // of all records of a large cell
	maxProblemBytes   = 4 << 10   // of an unexpected answer shown to the operator
	defaultRetryAfter = 2 * time.Second
)

// Client talks to the operator services of entry VMs.
type Client struct {
	entries []string
	http    *http.Client
}

// NewClient returns a client that tries entries, URLs such as
// http://10.0.0.1:8001, in order. timeout bounds one request.
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

// Get reads path from the first entry VM that answers into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	var failures []error
	for _, entry := range c.entries {
		status, _, body, err := c.do(ctx, http.MethodGet, entry+path, "", nil)
		switch {
		case err != nil:
			failures = append(failures, err)
		case status == http.StatusOK:
			return json.Unmarshal(body, out)
		default:
			return errors.Newf("%s%s: %s", entry, path, problem(status, body))
		}
	}
	return errors.Join(failures...)
}

// published is the answer of one attempt to publish.
type published struct {
	answer     api.PublishAnswer
	retryAfter time.Duration // zero: asking again won't help
}

// Publish sends rec once to the given entry VM. Publishing the identical
// record again is safe, through the same entry VM or another.
func (c *Client) Publish(ctx context.Context, entry, id string, rec api.Record) (published, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return published{}, err
	}
	status, header, data, err := c.do(ctx, http.MethodPost, entry+"/v1/records", id, body)
	if err != nil {
		return published{}, err
	}
	var out published
	if err := json.Unmarshal(data, &out.answer); err != nil || out.answer.Outcome == "" {
		return published{}, refused(status, errors.Newf("%s: %s", entry, problem(status, data)))
	}
	out.retryAfter = retryAfter(header)
	return out, nil
}

// refused marks an answer that a repeat won't change as bad input.
func refused(status int, err error) error {
	if status < http.StatusBadRequest || status >= http.StatusInternalServerError {
		return err
	}
	return &ExitError{Code: ExitBadInput, Err: err}
}

func retryAfter(h http.Header) time.Duration {
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
		return 0, nil, nil, errors.Wrapf(err, "%s: answer broke off", target)
	}
	if len(data) > maxAnswerBytes {
		return 0, nil, nil, errors.Newf("%s: answer larger than %d bytes", target, maxAnswerBytes)
	}
	return resp.StatusCode, resp.Header, data, nil
}

// problem words an unexpected answer.
func problem(status int, body []byte) string {
	var p api.Problem
	if json.Unmarshal(body, &p) == nil && p.Error != "" {
		return fmt.Sprintf("%d %s", status, p.Error)
	}
	return fmt.Sprintf("%d %s", status, body[:min(len(body), maxProblemBytes)])
}
