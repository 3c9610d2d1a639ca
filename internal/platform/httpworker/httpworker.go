// Package httpworker communicates with worker agents over HTTP with CBOR bodies. It
// implements platform.Worker and is the only package that depends on the protocol of
// the agents.
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
	// StatusFenced is the status of an answer to an exchange whose epoch is lower
	// than one that the worker has seen.
	StatusFenced = http.StatusPreconditionFailed
	// MaxBodyBytes limits the size of a message and of a report.
	MaxBodyBytes = 4 << 20

	contentType     = "application/cbor"
	maxIdlePerHost  = 1
	idleConnTimeout = 30 * time.Second
)

// Client implements platform.Worker.
type Client struct {
	http *http.Client
}

// New returns a client. The address of a VM is IP:port, optionally followed by the
// base path of the agent. dialTimeout limits the time to open a connection.
func New(dialTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect makes the client return a redirect as the answer. Following it would
// send the message a second time.
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

// newRequest returns a request that net/http never sends twice: POST is not
// idempotent, there is no Idempotency-Key header, and without GetBody the body
// can't be sent again.
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

// wrap returns an error for vm that matches both kind and cause with errors.Is.
func wrap(vm api.VMID, kind, cause error) error {
	return fmt.Errorf("VM %s: %w: %w", vm, kind, cause)
}

// classify distinguishes a failure to connect, where no byte was sent, from others.
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

// ReadSync decodes a message. It is for agents that implement this protocol.
func ReadSync(r io.Reader) (platform.WorkerSync, error) {
	var msg platform.WorkerSync
	err := decode(r, &msg)
	return msg, err
}

// WriteReport writes the answer to an exchange. It is for agents that implement this
// protocol.
func WriteReport(w http.ResponseWriter, report platform.WorkerReport) {
	data, err := cbor.Marshal(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// If the write fails, the caller has disconnected and treats the answer as lost.
	_, _ = w.Write(data)
}

func decode(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(data) > MaxBodyBytes {
		return fmt.Errorf("body is longer than %d bytes", MaxBodyBytes)
	}
	return cbor.Unmarshal(data, v)
}
