package load

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// listenWithoutQueue returns a listener of which the queue of connections is full until they are
// accepted. Linux then drops the first packet of a further connection, and the client repeats it
// after a second.
func listenWithoutQueue(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil { // FileListener sets the usual length
		t.Fatal(err)
	}
	for range 3 { // one more than fit
		go func() {
			if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
				t.Cleanup(func() { c.Close() })
			}
		}()
	}
	return l
}

// Guards against requests that are given up because a connection takes more than a second, although
// their timeout is longer and no other entry VM is tried.
func TestSlowConnectionDoesNotAbortRequest(t *testing.T) {
	l := listenWithoutQueue(t)
	time.Sleep(200 * time.Millisecond) // the queue is full
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
	defer server.Close()
	time.AfterFunc(1500*time.Millisecond, func() { _ = server.Serve(l) })
	runner, err := NewRunner(Config{
		Entries: []string{l.Addr().String()}, MaxOpen: 1, Duration: time.Second, IDPrefix: "r",
		Streams: []Stream{{Service: "s", Rate: 1000, Timeout: 20 * time.Second}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runner.OnSample = func(s Sample) {
		cancel()
		if s.Err != nil {
			t.Errorf("request %s: %v", s.ID, s.Err)
		}
		if s.Latency < time.Second {
			t.Errorf("request %s took %v: its connection didn't wait", s.ID, s.Latency)
		}
	}
	runner.Run(ctx)
}
