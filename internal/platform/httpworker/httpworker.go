// Package httpworker reaches worker agents over net/http with CBOR bodies.
// It is an adapter of platform.Worker: the protocol of the agents is known
// here only.
package httpworker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

const (
	// StatusFenced answers an exchange with a lower epoch than seen.
	StatusFenced = http.StatusPreconditionFailed
	// MaxBodyBytes bounds a message and a report, in bytes.
	MaxBodyBytes = 4 << 20

	contentType     = "application/cbor"
	maxIdlePerHost  = 1
	idleConnTimeout = 30 * time.Second
)

// Client implements platform.Worker.
type Client struct {
	http *http.Client
}

// New returns a client. An address of a VM is IP:port, optionally followed
// by a path below which the agent serves; dialTimeout bounds the connecting.
func New(dialTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect hands a redirect back as the answer; following it would be a
// second message.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Sync implements platform.Worker.
func (c *Client) Sync(ctx context.Context, vm api.VM, msg platform.WorkerSync) (platform.WorkerReport, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return platform.WorkerReport{}, wrap(vm.ID, platform.ErrWorkerUnreachable, err)
	}
	req, err := newRequest(ctx, vm.Address, body)
	if err != nil {
		return platform.WorkerReport{}, wrap(vm.ID, platform.ErrWorkerUnreachable, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return platform.WorkerReport{}, classify(vm.ID, err)
	}
	defer resp.Body.Close()
	return readAnswer(vm.ID, resp)
}

// newRequest builds a request that net/http never sends twice: POST is not
// idempotent to it, there is no Idempotency-Key header, and without GetBody
// a body cannot be sent again.
func newRequest(ctx context.Context, address string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/sync", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Header.Set("Content-Type", contentType)
	return req, nil
}

// wrap gives a cause the kind that callers look for with errors.Is.
func wrap(vm api.VMID, kind, cause error) error {
	return fmt.Errorf("VM %s: %w: %w", vm, kind, cause)
}

// classify tells a failure to connect, where no byte was sent, from others.
func classify(vm api.VMID, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return wrap(vm, platform.ErrWorkerUnreachable, err)
	}
	return wrap(vm, platform.ErrWorkerUncertain, err)
}

func readAnswer(vm api.VMID, resp *http.Response) (platform.WorkerReport, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case StatusFenced:
		return platform.WorkerReport{}, errors.Wrapf(platform.ErrWorkerFenced, "VM %s", vm)
	default:
		return platform.WorkerReport{}, errors.Wrapf(platform.ErrWorkerUncertain, "VM %s: status %d", vm, resp.StatusCode)
	}
	var report platform.WorkerReport
	if err := decode(resp.Body, &report); err != nil {
		return platform.WorkerReport{}, wrap(vm, platform.ErrWorkerUncertain, err)
	}
	if report.VM != vm {
		return platform.WorkerReport{}, errors.Wrapf(platform.ErrWorkerUncertain, "VM %s: report of VM %s", vm, report.VM)
	}
	return report, nil
}

// ReadSync decodes a message, for agents that speak this protocol.
func ReadSync(r io.Reader) (platform.WorkerSync, error) {
	var msg platform.WorkerSync
	err := decode(r, &msg)
	return msg, err
}

// WriteReport answers an exchange, for agents that speak this protocol.
func WriteReport(w http.ResponseWriter, report platform.WorkerReport) {
	data, err := cbor.Marshal(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// A failed write means that the caller has gone; it counts the answer as lost.
	_, _ = w.Write(data)
}

func decode(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(data) > MaxBodyBytes {
		return fmt.Errorf("body over %d bytes", MaxBodyBytes)
	}
	return cbor.Unmarshal(data, v)
}
