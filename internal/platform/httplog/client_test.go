package httplog_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/platform/httplog"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

func newClient(t *testing.T, address string) *httplog.Client {
	t.Helper()
	c, err := httplog.NewClient(httplog.Config{BaseURL: "http://" + address})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func TestClientAgainstStandin(t *testing.T) {
	log := logserver.New(logserver.Config{MaxRecordBytes: 100, RetainRecords: 8})
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	c := newClient(t, server.Listener.Addr().String())
	ctx := t.Context()

	for i := range 3 {
		offset, err := c.Append(ctx, "dc/a", []byte{byte(i)})
		if err != nil || offset != platform.Offset(i) {
			t.Fatalf("append %d: %d, %v", i, offset, err)
		}
	}
	got, err := c.Read(ctx, "dc/a", 1, 10, 0)
	if err != nil || len(got.Records) != 2 || got.Next != 3 || got.Records[1].Data[0] != 2 {
		t.Fatalf("read %+v, %v", got, err)
	}

	_, err = c.Append(ctx, "dc/a", make([]byte, 101))
	wantErr(t, err, platform.ErrTooLarge)
	resp, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(`{"down":true}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	resp.Body.Close()
	_, err = c.Append(ctx, "dc/a", []byte("x"))
	wantErr(t, err, platform.ErrUnavailable)
	_, err = c.Read(ctx, "dc/a", 3, 10, 0)
	wantErr(t, err, platform.ErrUnavailable)

	log.SetFaults(logserver.Faults{LoseAnswers: 1})
	_, err = c.Append(ctx, "dc/a", []byte("lost"))
	wantErr(t, err, platform.ErrUncertain)
	if stats := log.Stats(); stats.Appends != 4 || stats.AppendCalls != 6 {
		t.Errorf("the log received the append with the lost answer again: %+v", stats)
	}

	log.Trim("dc/a", 2)
	_, err = c.Read(ctx, "dc/a", 1, 10, 0)
	var trimmed *platform.TrimmedError
	if !errors.As(err, &trimmed) || trimmed.First != 2 {
		t.Errorf("read of a trimmed offset: %v", err)
	}

	server.Close() // without a connection, the append has no effect
	_, err = newClient(t, server.Listener.Addr().String()).Append(ctx, "dc/a", []byte("x"))
	wantErr(t, err, platform.ErrUnavailable)
}

// TestAppendIsNotRetriedByTransport breaks a reused connection after the request has
// arrived. That is the case in which net/http retries requests.
func TestAppendIsNotRetriedByTransport(t *testing.T) {
	var calls atomic.Int32
	handler := func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.ReadAll(req.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, `{"offset":0}`)
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	defer server.Close()
	c := newClient(t, server.Listener.Addr().String())
	if _, err := c.Append(t.Context(), "s", []byte("first")); err != nil {
		t.Fatal(err)
	}
	_, err := c.Append(t.Context(), "s", []byte("second"))
	wantErr(t, err, platform.ErrUncertain)
	if n := calls.Load(); n != 2 {
		t.Errorf("the log received %d calls, want 2", n)
	}
}

func TestAmbiguousAnswersAreUncertain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	callerCancels := func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.ReadAll(req.Body)
		cancel()
		<-req.Context().Done()
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"503 without the refusal header", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"redirect", func(w http.ResponseWriter, req *http.Request) {
			http.Redirect(w, req, "/", http.StatusTemporaryRedirect)
		}},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }},
		{"too long", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) }},
		{"cut off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			_, _ = io.WriteString(w, "{")
		}},
		{"cancelled by the caller", callerCancels},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			_, err := newClient(t, server.Listener.Addr().String()).Append(ctx, "s", []byte("x"))
			wantErr(t, err, platform.ErrUncertain)
		})
	}
}
