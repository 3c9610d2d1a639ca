package httpendpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
)

const maxAnswer = 1 << 16

// listenLoopback returns a listener on loopback that is closed when the test ends.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// serveConns passes each connection of a new endpoint to serve until the test ends.
func serveConns(t *testing.T, serve func(net.Conn)) api.Endpoint {
	l := listenLoopback(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return api.Endpoint{ID: "e1", Address: l.Addr().String(), Connections: 4}
}

// breakOnReuse returns a function that answers the first request on a connection, and
// closes the connection after it has read the second. It counts every request.
func breakOnReuse(count *atomic.Int64) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for i := range 2 {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			count.Add(1)
			if i == 0 {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	}
}

// retriableRequests are requests that the transport of net/http retries.
var retriableRequests = []struct {
	name string
	req  api.Request
}{
	{"GET", api.Request{Method: "GET", Path: "/"}},
	{"HEAD", api.Request{Method: "HEAD", Path: "/"}},
	{"OPTIONS", api.Request{Method: "OPTIONS", Path: "/"}},
	{"TRACE", api.Request{Method: "TRACE", Path: "/"}},
	{"POST with Idempotency-Key", api.Request{Method: "POST", Path: "/", Header: map[string]string{"Idempotency-Key": "k"}}},
	{"PUT with X-Idempotency-Key", api.Request{Method: "PUT", Path: "/", Header: map[string]string{"x-idempotency-key": "k"}}},
}

// A request is sent once although its reused connection breaks after the endpoint has
// read it. The control shows that the plain transport sends each such request twice.
func TestReusedConnectionRequestSentOnce(t *testing.T) {
	warm := &api.Request{Method: "POST", Path: "/warm", Body: []byte("x")}
	for _, tc := range retriableRequests {
		t.Run(tc.name, func(t *testing.T) {
			var count atomic.Int64
			ep := serveConns(t, breakOnReuse(&count))
			client := New(Config{})
			defer client.Close()
			if _, _, err := client.Attempt(t.Context(), ep, 1, warm, maxAnswer); err != nil {
				t.Fatal(err)
			}
			_, _, err := client.Attempt(t.Context(), ep, 1, &tc.req, maxAnswer)
			wantFailure(t, err, platform.MayHaveRun, api.ReasonAnswerBroken)
			if got := count.Load(); got != 2 {
				t.Errorf("the server read %d requests, want 2", got)
			}
		})
		t.Run("control "+tc.name, func(t *testing.T) {
			var count atomic.Int64
			ep := serveConns(t, breakOnReuse(&count))
			plain := &http.Transport{}
			defer plain.CloseIdleConnections()
			for _, req := range []*api.Request{warm, &tc.req} {
				out, err := buildRequest(t.Context(), ep, 1, req)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := plain.RoundTrip(out)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if got := count.Load(); got != 3 {
				t.Errorf("control: the server read %d requests, want 3 with the retry", got)
			}
		})
	}
}

func wantFailure(t *testing.T, err error, certainty platform.Certainty, reason api.Reason) {
	t.Helper()
	var failure *platform.AttemptError
	if !errors.As(err, &failure) {
		t.Fatalf("error %v, want an AttemptError with %s", err, reason)
	}
	if failure.Certainty != certainty || failure.Reason != reason {
		t.Errorf("certainty %d reason %s (%v), want %d %s", failure.Certainty, failure.Reason, failure.Cause, certainty, reason)
	}
}

// For every kind of failure, the certainty of the attempt's error agrees with the
// requests that the executor has recorded.
func TestFailureCertaintyMatchesExecutorRecord(t *testing.T) {
	cases := []struct {
		name      string
		faults    executor.Faults
		limit     int64
		timeout   time.Duration
		certainty platform.Certainty
		reason    api.Reason
		runs      int
	}{
		{"leaving", executor.Faults{Leaving: true}, maxAnswer, time.Minute, platform.CertainNotRun, api.ReasonEndpointRefused, 0},
		{"answer cut off", executor.Faults{BreakHalfway: true}, maxAnswer, time.Minute, platform.MayHaveRun, api.ReasonAnswerBroken, 1},
		{"closed after reading", executor.Faults{CloseAfterRead: true}, maxAnswer, time.Minute, platform.MayHaveRun, api.ReasonAnswerBroken, 1},
		{"too large", executor.Faults{}, 10, time.Minute, platform.MayHaveRun, api.ReasonAnswerTooLarge, 1},
		{"hanging", executor.Faults{Hang: true}, maxAnswer, 200 * time.Millisecond, platform.MayHaveRun, api.ReasonAnswerTimeout, 1},
		{"deadline passed", executor.Faults{}, maxAnswer, -1, platform.CertainNotRun, api.ReasonDeadlinePassed, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			standin, ep := serveStandin(t)
			standin.SetFaults(tc.faults)
			client := New(Config{})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			req := &api.Request{ID: "r1", Method: "POST", Path: "/check", Body: []byte("a body to answer")}
			_, feedback, err := client.Attempt(ctx, ep, 1, req, tc.limit)
			wantFailure(t, err, tc.certainty, tc.reason)
			if feedback.Leaving != tc.faults.Leaving {
				t.Errorf("unexpected feedback %+v", feedback)
			}
			if got := standin.Record().RunCount("r1"); got != tc.runs {
				t.Errorf("ran %d times, want %d", got, tc.runs)
			}
		})
	}
}

func serveStandin(t *testing.T) (*executor.Executor, api.Endpoint) {
	l := listenLoopback(t)
	standin := executor.New(executor.Config{ID: "e1"})
	server := standin.Serve(l)
	t.Cleanup(func() { server.Close() })
	return standin, api.Endpoint{ID: "e1", Address: l.Addr().String(), Connections: 2}
}

// Answers are returned complete for each kind of framing, with trailers. A request that got
// no connection, because the dial was refused or none became free, certainly did not
// run.
func TestCompleteAnswersAndConnections(t *testing.T) {
	standin, ep := serveStandin(t)
	client := New(Config{})
	defer client.Close()
	req := &api.Request{ID: "r1", Method: "POST", Path: "/a%2Fb?q=1", Body: []byte("body")}
	answer, _, err := client.Attempt(t.Context(), ep, 1, req, maxAnswer)
	if err != nil || string(answer.Body) != "r1\nbody" || len(answer.Trailer[executor.TrailerChecksum]) != 8 {
		t.Fatalf("answer %+v error %v", answer, err)
	}

	raw := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 302 Found\r\nLocation: /x\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\nto the end"
	closing := serveConns(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		fmt.Fprint(conn, raw)
		conn.Close()
	})
	closing.ID = "e2"
	answer, _, err = client.Attempt(t.Context(), closing, 1, &api.Request{Method: "GET", Path: "/"}, maxAnswer)
	if err != nil || answer.Status != 302 || string(answer.Body) != "to the end" || answer.Header["X-Hop"] != "" {
		t.Fatalf("answer %+v error %v", answer, err)
	}

	// A malformed request is not a failure of the endpoint.
	malformed := &api.Request{Method: "GET", Path: "/", Header: map[string]string{"A": "b\nc"}}
	_, _, err = client.Attempt(t.Context(), ep, 1, malformed, maxAnswer)
	wantFailure(t, err, platform.CertainNotRun, api.ReasonMalformed)

	_, _, err = client.Attempt(t.Context(), api.Endpoint{ID: "e3", Address: "127.0.0.1:1"}, 1, req, maxAnswer)
	wantFailure(t, err, platform.CertainNotRun, api.ReasonConnectFailed)

	// Two hanging requests occupy both connections. A third request waits for a
	// connection until its deadline and is certainly not sent.
	standin.SetFaults(executor.Faults{Hang: true})
	hanging, stop := context.WithCancel(t.Context())
	failures := make(chan error, 2)
	for range cap(failures) {
		go func() {
			_, _, err := client.Attempt(hanging, ep, 1, req, maxAnswer)
			failures <- err
		}()
	}
	for standin.Record().MaxRequests < 2 {
		runtime.Gosched()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err = client.Attempt(ctx, ep, 1, req, maxAnswer)
	wantFailure(t, err, platform.CertainNotRun, api.ReasonDeadlinePassed)
	stop()
	for range cap(failures) {
		wantFailure(t, <-failures, platform.MayHaveRun, api.ReasonCallerGone)
	}
	if record := standin.Record(); record.MaxConnections != 2 || record.RunCount("r1") != 3 {
		t.Errorf("record %+v", record)
	}
}
