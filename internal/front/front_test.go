package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/filter"
)

// backend is a fake chain and job store. handle answers requests.
type backend struct {
	mu     sync.Mutex
	handle func(ctx context.Context, x *filter.Exchange) (*api.Answer, error)
	gate   *filter.Gate
	counts map[string]int
	jobs   map[api.JobID]api.JobSpec
}

func (b *backend) Handle(ctx context.Context, x *filter.Exchange) (*api.Answer, error) {
	if refusal := b.gate.Enter(); refusal != nil {
		return nil, refusal
	}
	defer b.gate.Leave()
	return b.handle(ctx, x)
}

func (b *backend) Inc(group string, reason api.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[group+"/"+string(reason)]++
}

func (b *backend) Submit(_ context.Context, spec api.JobSpec) error {
	b.jobs[spec.ID] = spec
	return nil
}

func (b *backend) Cancel(_ context.Context, id api.JobID) error {
	if _, ok := b.jobs[id]; !ok {
		return api.NotRun(api.ReasonUnknownJob, 0, "no such job")
	}
	return nil
}

func (b *backend) Status(_ context.Context, id api.JobID) (JobStatus, error) {
	spec, ok := b.jobs[id]
	if !ok {
		return JobStatus{}, errors.New("store lost")
	}
	return JobStatus{Spec: spec}, nil
}

// echo answers with what the endpoint would have received.
func echo(_ context.Context, x *filter.Exchange) (*api.Answer, error) {
	r := x.Request
	return &api.Answer{
		Status:  http.StatusCreated,
		Header:  map[string]string{"X-Own": r.Header["X-Own"], "Connection": "close", api.HeaderEpoch: "9"},
		Trailer: map[string]string{"X-Sum": "1"},
		Body:    fmt.Appendf(nil, "%s %s %s %s", r.Service, r.Method, r.Path, r.Body),
	}, nil
}

func start(t *testing.T, s Settings) (*Server, *backend, string) {
	t.Helper()
	b := &backend{handle: echo, gate: filter.NewGate(100), counts: make(map[string]int), jobs: make(map[api.JobID]api.JobSpec)}
	b.gate.SetReady(true)
	server := New(s, b, b, b.gate, b, log.New(io.Discard, "", 0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.http.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return server, b, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// exchange writes raw and reads one whole answer.
func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, raw string) (*http.Response, string) {
	t.Helper()
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestRequestsPassUnchanged(t *testing.T) {
	_, b, address := start(t, Settings{MaxBodyBytes: 10, MaxBytes: 15})
	conn, reader := dial(t, address)
	raw := "POST /v1/services/svc/a//b%2Fc/../d?q=1&r HTTP/1.1\r\nHost: x\r\nX-Own: 1\r\nX-Own: 2\r\nHolder-Epoch: 5\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	resp, body := exchange(t, conn, reader, raw)
	if body != "svc POST /a//b%2Fc/../d?q=1&r body" || resp.StatusCode != http.StatusCreated {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	h := resp.Header
	if h.Get(api.HeaderOutcome) != "ran" || h.Get("X-Own") != "1, 2" || h.Get(api.HeaderEpoch) != "" || resp.Close || h.Get("Content-Type") != "" || resp.Trailer.Get("X-Sum") != "1" {
		t.Errorf("%v %v", h, resp.Trailer)
	}
	b.handle = func(context.Context, *filter.Exchange) (*api.Answer, error) {
		return nil, api.NotRun(api.ReasonCallerLimit, 1001*time.Millisecond, "over")
	}
	resp, body = exchange(t, conn, reader, "GET /v1/services/svc/ HTTP/1.1\r\nHost: x\r\n\r\n")
	h = resp.Header
	if resp.StatusCode != http.StatusTooManyRequests || h.Get(api.HeaderOutcome) != "not-run" ||
		h.Get(api.HeaderReason) != "caller_limit" || h.Get("Retry-After") != "2" || !strings.Contains(body, "over") {
		t.Errorf("%d %v %s", resp.StatusCode, h, body)
	}
	resp, _ = exchange(t, conn, reader, "POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n")
	if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(api.HeaderOutcome) != "not-run" || !resp.Close {
		t.Errorf("too large: %d %v", resp.StatusCode, resp.Header)
	}
}

// TestSlowBodyTakesNoMemoryForLong: a body that never ends is refused when
// its time is over and its memory is given back.
func TestSlowBodyTakesNoMemoryForLong(t *testing.T) {
	server, _, address := start(t, Settings{MaxBodyBytes: 10, MaxBytes: 15, ReadBodyTimeout: 100 * time.Millisecond})
	slow, slowReader := dial(t, address)
	_, err := io.WriteString(slow, "POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1234")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(slowReader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.Header.Get(api.HeaderOutcome) != "not-run" || resp.Header.Get(api.HeaderReason) != "deadline_passed" {
		t.Errorf("%d %v", resp.StatusCode, resp.Header)
	}
	_, _ = io.Copy(io.Discard, slowReader) // the server closes
	if used := server.bytes.used.Load(); used != 0 {
		t.Errorf("%d bytes still reserved", used)
	}
	server.bytes.used.Store(14)
	conn, reader := dial(t, address)
	resp, _ = exchange(t, conn, reader, "POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
	if resp.Header.Get(api.HeaderReason) != "queue_full" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("no memory left: %d %v", resp.StatusCode, resp.Header)
	}
}

func TestCallerLeavingIsSeen(t *testing.T) {
	_, b, address := start(t, Settings{})
	left := make(chan error, 1)
	b.handle = func(ctx context.Context, _ *filter.Exchange) (*api.Answer, error) {
		<-ctx.Done()
		left <- ctx.Err()
		return nil, api.Unknown(api.ReasonCallerGone, "")
	}
	conn, _ := dial(t, address)
	_, _ = io.WriteString(conn, "POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
	conn.Close()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// TestDrainCutsNothing: readiness goes first, a request in flight finishes on
// its connection, and a keep-alive connection in use gets a refusal that says
// close instead of a cut.
func TestDrainCutsNothing(t *testing.T) {
	server, b, address := start(t, Settings{ReadinessDelay: time.Millisecond, CloseDelay: time.Millisecond})
	release, entered := make(chan struct{}), make(chan struct{})
	b.handle = func(ctx context.Context, x *filter.Exchange) (*api.Answer, error) {
		if x.Request.Path == "/slow" {
			close(entered)
			<-release
		}
		return echo(ctx, x)
	}
	const get = "GET /v1/services/svc%s HTTP/1.1\r\nHost: x\r\n\r\n"
	idle, idleReader := dial(t, address)
	if resp, _ := exchange(t, idle, idleReader, fmt.Sprintf(get, "/")); resp.StatusCode != http.StatusCreated {
		t.Fatal(resp.Status)
	}
	busy, busyReader := dial(t, address)
	_, _ = io.WriteString(busy, fmt.Sprintf(get, "/slow"))
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	for b.gate.State() != filter.GateDraining {
		time.Sleep(time.Millisecond)
	}
	if server.Ready() {
		t.Error("ready while draining")
	}
	resp, _ := exchange(t, idle, idleReader, fmt.Sprintf(get, "/"))
	if resp.Header.Get(api.HeaderReason) != "draining" || resp.Header.Get(api.HeaderOutcome) != "not-run" || !resp.Close {
		t.Errorf("%d %v", resp.StatusCode, resp.Header)
	}
	close(release)
	resp, body := exchange(t, busy, busyReader, "")
	if resp.Header.Get(api.HeaderOutcome) != "ran" || !strings.HasPrefix(body, "svc GET /slow") {
		t.Errorf("in flight: %d %q", resp.StatusCode, body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func TestDrainEndsAtItsDeadline(t *testing.T) {
	server, b, _ := start(t, Settings{ReadinessDelay: time.Millisecond})
	if refusal := b.gate.Enter(); refusal != nil {
		t.Fatal(refusal)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := server.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) || !strings.Contains(err.Error(), "1 requests") {
		t.Error(err)
	}
}

func TestJobs(t *testing.T) {
	server, _, _ := start(t, Settings{})
	for _, row := range []struct {
		method, path, body, outcome string
		status                      int
	}{
		{"POST", "/v1/jobs", `{"id":"j","class":"batch"}`, "ran", http.StatusAccepted},
		{"GET", "/v1/jobs/j", "", "ran", http.StatusOK},
		{"DELETE", "/v1/jobs/j", "", "ran", http.StatusAccepted},
		{"DELETE", "/v1/jobs/k", "", "not-run", http.StatusNotFound},
		{"GET", "/v1/jobs/k", "", "unknown", http.StatusInternalServerError},
		{"POST", "/v1/jobs", `{"id":"j","klass":"batch"}`, "not-run", http.StatusBadRequest},
		{"POST", "/v1/jobs", `{"id":"j"} {}`, "not-run", http.StatusBadRequest},
		{"PUT", "/v1/jobs", "", "not-run", http.StatusBadRequest},
	} {
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, httptest.NewRequest(row.method, row.path, strings.NewReader(row.body)))
		if w.Code != row.status || w.Header().Get(api.HeaderOutcome) != row.outcome {
			t.Errorf("%s %s: %d %v", row.method, row.path, w.Code, w.Header())
		}
	}
}
