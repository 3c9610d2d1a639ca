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
	b := &backend{handle: echo, gate: filter.NewGate(100), jobs: make(map[api.JobID]api.JobSpec)}
	b.gate.SetReady(true)
	server := New(s, b, b, b.gate, b, &logrus.Logger{Out: io.Discard, Formatter: &logrus.TextFormatter{}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	same(t, err, nil)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.http.Close()
		same(t, <-served, nil)
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
	same(t, err, nil)
	t.Cleanup(func() { conn.Close() })
	return &client{t, conn, bufio.NewReader(conn)}
}

// ask writes raw and reads one whole answer.
func (c *client) ask(raw string) (*http.Response, string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, raw)
	same(c.t, err, nil)
	resp, err := http.ReadResponse(c.reader, nil)
	same(c.t, err, nil)
	body, err := io.ReadAll(resp.Body)
	same(c.t, err, nil)
	return resp, string(body)
}

func get(path string) string { return "GET /v1/services/svc" + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func post(length int, body string) string {
	return fmt.Sprintf("POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// word is what an answer says, in short.
func word(r *http.Response) string {
	h := r.Header
	return fmt.Sprintf("%d %s %s retry=%s close=%t", r.StatusCode, h.Get(api.HeaderOutcome), h.Get(api.HeaderReason), h.Get("Retry-After"), r.Close)
}

func same[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestRequestsArePassedOnUnchanged(t *testing.T) {
	_, b, address := start(t, Settings{MaxBodyBytes: 10, MaxTotalBodyBytes: 15})
	c := dial(t, address)
	resp, body := c.ask("POST /v1/services/svc/a//b%2Fc/../d?q=1&r HTTP/1.1\r\nHost: x\r\nX-Own: 1\r\nX-Own: 2\r\nHolder-Epoch: 5\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	same(t, body, "svc POST /a//b%2Fc/../d?q=1&r body")
	same(t, word(resp), "201 ran  retry= close=false")
	h := resp.Header
	same(t, h.Get("X-Own")+"|"+h.Get(api.HeaderEpoch)+"|"+h.Get("Content-Type")+"|"+resp.Trailer.Get("X-Sum"), "1, 2|||1")
	b.handle = func(context.Context, *filter.Exchange) (*api.Answer, error) {
		return nil, api.NotRun(api.ReasonCallerLimit, 1001*time.Millisecond, "over")
	}
	resp, body = c.ask(get("/"))
	same(t, word(resp), "429 not-run caller_limit retry=2 close=false")
	same(t, strings.Contains(body, "over"), true)
	for want, refusal := range map[string]*api.Refusal{ // a copy turned away, and one that was sent
		"503 unknown caller_limit retry=2 close=false":     api.UnknownWithRetry(api.ReasonCallerLimit, 1001*time.Millisecond, ""),
		"502 unknown peer_unreachable retry=1 close=false": api.UnknownWithRetry(api.ReasonPeerUnreachable, time.Second, ""),
	} {
		b.handle = func(context.Context, *filter.Exchange) (*api.Answer, error) { return nil, refusal }
		resp, _ = c.ask(get("/"))
		same(t, word(resp), want)
	}
	resp, _ = c.ask(post(11, ""))
	same(t, word(resp), "413 not-run too_large retry= close=true")
}

// TestSlowBodyReleasesMemoryAtTimeout: a body that never ends is refused when
// its time is over and its memory is given back.
func TestSlowBodyReleasesMemoryAtTimeout(t *testing.T) {
	server, _, address := start(t, Settings{MaxBodyBytes: 10, MaxTotalBodyBytes: 15, ReadBodyTimeout: 100 * time.Millisecond})
	slow := dial(t, address)
	resp, _ := slow.ask(post(9, "1234"))
	same(t, word(resp), "503 unknown deadline_passed retry=1 close=true")
	_, _ = io.Copy(io.Discard, slow.reader) // the server closes
	same(t, server.bytes.used.Load(), 0)
	server.bytes.used.Store(14)
	resp, _ = dial(t, address).ask(post(2, "ab"))
	same(t, word(resp), "503 unknown queue_full retry=1 close=false")
	resp, _ = dial(t, address).ask(strings.Replace(post(2, "ab"), "Host", "Idempotent: true\r\nHost", 1))
	same(t, word(resp), "503 not-run queue_full retry=1 close=false")
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	_, b, address := start(t, Settings{})
	left := make(chan error, 1)
	b.handle = func(ctx context.Context, _ *filter.Exchange) (*api.Answer, error) {
		<-ctx.Done()
		left <- ctx.Err()
		return nil, api.Unknown(api.ReasonCallerGone, "")
	}
	c := dial(t, address)
	_, _ = io.WriteString(c.conn, post(2, "ab"))
	c.conn.Close()
	same(t, <-left, context.Canceled)
}

// TestDrainAbortsNoRequest: readiness goes first, a request in flight finishes on
// its connection, and a keep-alive connection in use gets a refusal that says
// close instead of a cut.
func TestDrainAbortsNoRequest(t *testing.T) {
	server, b, address := start(t, Settings{ReadinessDelay: time.Millisecond, CloseDelay: time.Millisecond})
	release, entered := make(chan struct{}), make(chan struct{})
	b.handle = func(ctx context.Context, x *filter.Exchange) (*api.Answer, error) {
		if x.Request.Path == "/slow" {
			close(entered)
			<-release
		}
		return echo(ctx, x)
	}
	idle, busy := dial(t, address), dial(t, address)
	resp, _ := idle.ask(get("/"))
	same(t, word(resp), "201 ran  retry= close=false")
	_, _ = io.WriteString(busy.conn, get("/slow"))
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	for b.gate.State() != filter.GateDraining {
		time.Sleep(time.Millisecond)
	}
	same(t, server.Ready(), false)
	resp, _ = idle.ask(get("/"))
	same(t, word(resp), "503 not-run draining retry= close=true")
	close(release)
	resp, body := busy.ask("")
	same(t, word(resp), "201 ran  retry= close=true")
	same(t, body, "svc GET /slow ")
	same(t, <-drained, nil)
}

func TestDrainEndsAtItsDeadline(t *testing.T) {
	server, b, _ := start(t, Settings{ReadinessDelay: time.Millisecond})
	same(t, b.gate.Enter(), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err := server.Drain(ctx)
	same(t, errors.Is(err, context.DeadlineExceeded) && strings.Contains(err.Error(), "1 requests"), true)
}

func TestJobs(t *testing.T) {
	server, _, _ := start(t, Settings{})
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
		same(t, word(w.Result()), row.want)
	}
}
