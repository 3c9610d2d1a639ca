package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/filter"
)

// backend is a fake chain and job store. handle answers requests.
type backend struct {
	handle func(ctx context.Context, x *filter.Exchange) (*api.Answer, error)
	gate   *filter.Gate
	jobs   map[api.JobID]api.JobSpec
}

func (b *backend) Handle(ctx context.Context, x *filter.Exchange) (*api.Answer, error) {
	if refusal := b.gate.Enter(); refusal != nil {
		return nil, refusal
	}
	defer b.gate.Leave()
	return b.handle(ctx, x)
}

func (b *backend) Inc(string, api.Reason) {}

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

// echo answers with the request as the endpoint would receive it.
func echo(_ context.Context, x *filter.Exchange) (*api.Answer, error) {
	r := x.Request
	return &api.Answer{
		Status:  http.StatusCreated,
		Header:  map[string]string{"X-Own": r.Header["X-Own"], "Connection": "close", api.HeaderEpoch: "9"},
		Trailer: map[string]string{"X-Sum": "1"},
		Body:    fmt.Appendf(nil, "%s %s %s %s", r.Service, r.Method, r.Path, r.Body),
	}, nil
}

func startServer(t *testing.T, s Settings) (*Server, *backend, string) {
	t.Helper()
	b := &backend{handle: echo, gate: filter.NewGate(100), jobs: make(map[api.JobID]api.JobSpec)}
	b.gate.SetReady(true)
	server := New(s, b, b, b.gate, b, &logrus.Logger{Out: io.Discard, Formatter: &logrus.TextFormatter{}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	wantEqual(t, err, nil)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.http.Close()
		wantEqual(t, <-served, nil)
	})
	return server, b, l.Addr().String()
}

// client is one caller's connection.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	wantEqual(t, err, nil)
	t.Cleanup(func() { conn.Close() })
	return &client{t, conn, bufio.NewReader(conn)}
}

// roundTrip writes raw and reads one complete answer.
func (c *client) roundTrip(raw string) (*http.Response, string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, raw)
	wantEqual(c.t, err, nil)
	resp, err := http.ReadResponse(c.reader, nil)
	wantEqual(c.t, err, nil)
	body, err := io.ReadAll(resp.Body)
	wantEqual(c.t, err, nil)
	return resp, string(body)
}

func get(path string) string { return "GET /v1/services/svc" + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func post(length int, body string) string {
	return fmt.Sprintf("POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// summarize returns the status and the main headers of an answer in short
// form.
func summarize(r *http.Response) string {
	h := r.Header
	return fmt.Sprintf("%d %s %s retry=%s close=%t", r.StatusCode, h.Get(api.HeaderOutcome), h.Get(api.HeaderReason), h.Get("Retry-After"), r.Close)
}

func wantEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestRequestsArePassedOnUnchanged(t *testing.T) {
	_, b, address := startServer(t, Settings{MaxBodyBytes: 10, MaxTotalBodyBytes: 15})
	c := dial(t, address)
	resp, body := c.roundTrip("POST /v1/services/svc/a//b%2Fc/../d?q=1&r HTTP/1.1\r\nHost: x\r\nX-Own: 1\r\nX-Own: 2\r\nHolder-Epoch: 5\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	wantEqual(t, body, "svc POST /a//b%2Fc/../d?q=1&r body")
	wantEqual(t, summarize(resp), "201 ran  retry= close=false")
	h := resp.Header
	wantEqual(t, h.Get("X-Own")+"|"+h.Get(api.HeaderEpoch)+"|"+h.Get("Content-Type")+"|"+resp.Trailer.Get("X-Sum"), "1, 2|||1")
	b.handle = func(context.Context, *filter.Exchange) (*api.Answer, error) {
		return nil, api.NotRun(api.ReasonCallerLimit, 1001*time.Millisecond, "over")
	}
	resp, body = c.roundTrip(get("/"))
	wantEqual(t, summarize(resp), "429 not-run caller_limit retry=2 close=false")
	wantEqual(t, strings.Contains(body, "over"), true)
	for want, refusal := range map[string]*api.Refusal{ // a copy that was refused, and a request that was sent
		"503 unknown caller_limit retry=2 close=false":     api.UnknownWithRetry(api.ReasonCallerLimit, 1001*time.Millisecond, ""),
		"502 unknown peer_unreachable retry=1 close=false": api.UnknownWithRetry(api.ReasonPeerUnreachable, time.Second, ""),
	} {
		b.handle = func(context.Context, *filter.Exchange) (*api.Answer, error) { return nil, refusal }
		resp, _ = c.roundTrip(get("/"))
		wantEqual(t, summarize(resp), want)
	}
	resp, _ = c.roundTrip(post(11, ""))
	wantEqual(t, summarize(resp), "413 not-run too_large retry= close=true")
}

// A body that never ends is refused at the timeout, and its memory is
// released.
func TestSlowBodyReleasesMemoryAtTimeout(t *testing.T) {
	server, _, address := startServer(t, Settings{MaxBodyBytes: 10, MaxTotalBodyBytes: 15, ReadBodyTimeout: 100 * time.Millisecond})
	slow := dial(t, address)
	resp, _ := slow.roundTrip(post(9, "1234"))
	wantEqual(t, summarize(resp), "503 unknown deadline_passed retry=1 close=true")
	_, _ = io.Copy(io.Discard, slow.reader) // returns when the server closes the connection
	wantEqual(t, server.bodyBytes.used.Load(), 0)
	server.bodyBytes.used.Store(14)
	resp, _ = dial(t, address).roundTrip(post(2, "ab"))
	wantEqual(t, summarize(resp), "503 unknown queue_full retry=1 close=false")
	resp, _ = dial(t, address).roundTrip(strings.Replace(post(2, "ab"), "Host", "Idempotent: true\r\nHost", 1))
	wantEqual(t, summarize(resp), "503 not-run queue_full retry=1 close=false")
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	_, b, address := startServer(t, Settings{})
	left := make(chan error, 1)
	b.handle = func(ctx context.Context, _ *filter.Exchange) (*api.Answer, error) {
		<-ctx.Done()
		left <- ctx.Err()
		return nil, api.Unknown(api.ReasonCallerGone, "")
	}
	c := dial(t, address)
	_, _ = io.WriteString(c.conn, post(2, "ab"))
	c.conn.Close()
	wantEqual(t, <-left, context.Canceled)
}

// During a drain readiness becomes false first, and a request in flight
// finishes on its connection. A keep-alive connection in use gets a refusal
// with Connection: close instead of being aborted.
func TestDrainAbortsNoRequest(t *testing.T) {
	server, b, address := startServer(t, Settings{ReadinessDelay: time.Millisecond, CloseDelay: time.Millisecond})
	release, entered := make(chan struct{}), make(chan struct{})
	b.handle = func(ctx context.Context, x *filter.Exchange) (*api.Answer, error) {
		if x.Request.Path == "/slow" {
			close(entered)
			<-release
		}
		return echo(ctx, x)
	}
	idle, busy := dial(t, address), dial(t, address)
	resp, _ := idle.roundTrip(get("/"))
	wantEqual(t, summarize(resp), "201 ran  retry= close=false")
	_, _ = io.WriteString(busy.conn, get("/slow"))
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	for b.gate.State() != filter.GateDraining {
		time.Sleep(time.Millisecond)
	}
	wantEqual(t, server.Ready(), false)
	resp, _ = idle.roundTrip(get("/"))
	wantEqual(t, summarize(resp), "503 not-run draining retry= close=true")
	close(release)
	resp, body := busy.roundTrip("")
	wantEqual(t, summarize(resp), "201 ran  retry= close=true")
	wantEqual(t, body, "svc GET /slow ")
	wantEqual(t, <-drained, nil)
}

// Guards against requests that are cut off because the last part of their header
// arrives while the connections are being closed.
func TestRequestThatArrivesDuringTheCloseIsAnswered(t *testing.T) {
	server, _, address := startServer(t, Settings{ReadinessDelay: time.Millisecond, CloseDelay: time.Millisecond})
	fresh, reused := dial(t, address), dial(t, address)
	resp, _ := reused.roundTrip(get("/"))
	wantEqual(t, summarize(resp), "201 ran  retry= close=false")
	const beginning = 10 // bytes of the request
	for _, c := range []*client{fresh, reused} {
		_, _ = io.WriteString(c.conn, get("/")[:beginning])
	}
	time.Sleep(50 * time.Millisecond) // the server reads them
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			break // the server accepts no more connections
		}
		c.Close()
		time.Sleep(time.Millisecond)
	}
	for _, c := range []*client{fresh, reused} {
		resp, _ = c.roundTrip(get("/")[beginning:])
		wantEqual(t, summarize(resp), "503 not-run draining retry= close=true")
	}
	wantEqual(t, <-drained, nil)
}

func TestDrainEndsAtItsDeadline(t *testing.T) {
	server, b, _ := startServer(t, Settings{ReadinessDelay: time.Millisecond})
	wantEqual(t, b.gate.Enter(), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err := server.Drain(ctx)
	wantEqual(t, errors.Is(err, context.DeadlineExceeded) && strings.Contains(err.Error(), "1 requests"), true)
}

func TestJobs(t *testing.T) {
	server, _, _ := startServer(t, Settings{})
	for _, row := range []struct{ method, path, body, want string }{
		{"POST", "/v1/jobs", `{"id":"j","class":"batch"}`, "202 ran  retry= close=false"},
		{"GET", "/v1/jobs/j", "", "200 ran  retry= close=false"},
		{"DELETE", "/v1/jobs/j", "", "202 ran  retry= close=false"},
		{"DELETE", "/v1/jobs/k", "", "404 not-run unknown_job retry= close=false"},
		{"GET", "/v1/jobs/k", "", "500 unknown internal retry= close=false"},
		{"POST", "/v1/jobs", `{"id":"j","klass":"batch"}`, "400 not-run malformed retry= close=false"},
		{"POST", "/v1/jobs", `{"id":"j"} {}`, "400 not-run malformed retry= close=false"},
		{"PUT", "/v1/jobs", "", "400 not-run malformed retry= close=false"},
	} {
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, httptest.NewRequest(row.method, row.path, strings.NewReader(row.body)))
		wantEqual(t, summarize(w.Result()), row.want)
	}
}
