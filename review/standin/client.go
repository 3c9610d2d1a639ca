package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientTimeout is how long a client waits for an answer, and clientRetries how often it tries again,
// as on the sheets of the customers.
const (
	clientTimeout = 3 * time.Second
	clientRetries = 4
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends one request of a client to a machine. It returns status 0 if there was no answer.
func (d *deployment) call(n *node, method, path, body string) (int, string, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), 0
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Skylarklock-Remaining-Milliseconds", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		d.rec.eventf("client: %s %s at %s: no answer (%v)", method, path, n.name, err)
		return 0, err.Error(), 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), 0
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 without a header
	d.rec.eventf("client: %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, data)
	return resp.StatusCode, string(data), time.Duration(seconds) * time.Second
}

// jobID returns the ID of job number n.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(n)) }

// submit hands a job in, with retries at other machines, and reports whether it was accepted.
func (d *deployment) submit(id, body string) bool {
	first := int(id[len(id)-1])
	for i := range 1 + clientRetries {
		status, _, retryAfter := d.call(d.nodes[(first+i)%len(d.nodes)], http.MethodPost, queuePrefix+id, body)
		switch {
		case status/100 == 2:
			return true
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			return false
		}
		time.Sleep(max(retryAfter, 200*time.Millisecond))
	}
	return false
}

// state returns the state that a machine shows of a job, or the status of its answer.
func (d *deployment) state(n *node, id string) string {
	status, body, _ := d.call(n, http.MethodGet, queuePrefix+id, "")
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	return body
}
