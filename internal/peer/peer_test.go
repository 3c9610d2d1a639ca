package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// Probe is the service under test. It counts its runs.
type Probe struct{ runs atomic.Int32 }

// Echo returns its argument.
func (p *Probe) Echo(text string, reply *string) error {
	p.runs.Add(1)
	*reply = text
	return nil
}

// Sleep answers after a while.
func (p *Probe) Sleep(d time.Duration, reply *string) error {
	p.runs.Add(1)
	time.Sleep(d)
	*reply = "slept"
	return nil
}

// Fail fails.
func (p *Probe) Fail(text string, _ *string) error { return errors.New(text) }

var testLimits = Limits{MaxRequest: 1000, MaxAnswer: 500, MaxCalls: 1, MaxConns: 2}

// rig is a client and a server joined by pipes.
type rig struct {
	probe  *Probe
	server *Server
	client *Client
}

func newRig() *rig {
	logrus.SetOutput(io.Discard)
	r := &rig{probe: &Probe{}, server: NewServer(testLimits, nil)}
	if err := r.server.Register("Probe", r.probe); err != nil {
		panic(err)
	}
	r.client = NewClient(testLimits, func(_ context.Context, addr string) (net.Conn, error) {
		if addr != "up" {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		r.server.ServeConn(far)
		return near, nil
	})
	return r
}

func (r *rig) call(ctx context.Context, addr, method string, args any) (reply string, err error) {
	err = r.client.Call(ctx, addr, "Probe."+method, args, &reply)
	return reply, err
}

func (r *rig) stop() { r.client.Close(); r.server.Close() }

// Every failure says truthfully whether the call can have run, and no call
// ever runs twice.
func TestCallErrors(t *testing.T) {
	long := strings.Repeat("x", 700)
	cases := []struct {
		name, addr, method string
		args               any
		disturb            func(*rig)
		want, also         error
		runs               int32
	}{
		{name: "answered", addr: "up", method: "Echo", args: "a", runs: 1},
		{name: "dial refused", addr: "down", method: "Echo", args: "a", want: ErrNotSent},
		{name: "no such method", addr: "up", method: "Nothing", args: "a", want: ErrNotSent},
		{name: "argument of the wrong type", addr: "up", method: "Echo", args: 7, want: ErrNotSent},
		{name: "request too large", addr: "up", method: "Echo", args: long + long, want: ErrNotSent, also: ErrTooLarge},
		{name: "answer too large", addr: "up", method: "Echo", args: long, want: ErrUncertain, also: ErrTooLarge, runs: 1},
		{name: "deadline", addr: "up", method: "Sleep", args: time.Minute, want: ErrUncertain, also: context.DeadlineExceeded, runs: 1},
		{name: "over before it began", addr: "up", method: "Echo", args: "a", want: ErrNotSent, also: context.DeadlineExceeded,
			disturb: func(*rig) { time.Sleep(5 * time.Second) }},
		{name: "connection cut", addr: "up", method: "Sleep", args: 2 * time.Second, want: ErrUncertain, runs: 1,
			disturb: func(r *rig) { time.AfterFunc(time.Second, func() { r.server.Close() }) }},
		{name: "too many calls", addr: "up", method: "Echo", args: "a", want: ErrNotSent, runs: 1,
			disturb: func(r *rig) {
				go r.call(context.Background(), "up", "Sleep", 10*time.Second)
				time.Sleep(time.Second)
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig()
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				defer cancel()
				if c.disturb != nil {
					c.disturb(r)
				}
				_, err := r.call(ctx, c.addr, c.method, c.args)
				if !errors.Is(err, c.want) || (c.also != nil && !errors.Is(err, c.also)) {
					t.Errorf("got %v, want %v and %v", err, c.want, c.also)
				}
				if runs := r.probe.runs.Load(); runs != c.runs {
					t.Errorf("ran %d times, want %d", runs, c.runs)
				}
				r.stop()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// A late answer reaches nobody else, and the connection is used again.
func TestLateAnswerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		late, err := r.call(ctx, "up", "Sleep", 2*time.Second)
		if !errors.Is(err, ErrUncertain) {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		echo, err := r.call(context.Background(), "up", "Echo", "b")
		if err != nil || echo != "b" || late != "" || r.client.Vars().Get(varDials).String() != "1" {
			t.Fatalf("%q %q %v", echo, late, err)
		}
		var remote *RemoteError
		if _, err = r.call(context.Background(), "up", "Fail", "no"); !errors.As(err, &remote) || remote.Text != "no" {
			t.Fatal(err)
		}
	})
}

// A stop waits for the call in flight and accepts no other.
func TestShutdownFinishesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		defer r.client.Close()
		time.AfterFunc(time.Second, func() { r.server.Shutdown(context.Background()) })
		reply, err := r.call(context.Background(), "up", "Sleep", 5*time.Second)
		if err != nil || reply != "slept" {
			t.Fatalf("%q, %v", reply, err)
		}
		if _, err := r.call(context.Background(), "up", "Echo", "a"); err == nil || r.probe.runs.Load() != 1 {
			t.Fatalf("a stopped server answered: %v", err)
		}
	})
}

// The same over TCP, with the listener.
func TestTCP(t *testing.T) {
	r := newRig()
	r.client = NewClient(testLimits, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error)
	go func() { served <- r.server.Serve(listener) }()
	reply, err := r.call(context.Background(), listener.Addr().String(), "Echo", "a")
	if err = errors.Join(err, r.server.Shutdown(context.Background()), <-served); err != nil || reply != "a" {
		t.Fatalf("%q, %v", reply, err)
	}
}

// Whatever arrives on the port, the server closes that connection and lives.
func FuzzServer(f *testing.F) {
	valid, err := encodeFrame(header{Seq: 1, Method: "Probe.Echo"}, "a", 1000)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{valid, append(valid, valid...), valid[:7], {0xff, 0xff, 0xff, 0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), {0, 0, 0, 1, 0x9f}} {
		f.Add(seed)
	}
	r := newRig()
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		r.server.ServeConn(far)
		go io.Copy(io.Discard, near)
		near.Write(data)
		near.Close()
		r.server.serving.Wait()
		if len(data) >= 4 && data[0] > 0 && r.server.Vars().Get(varGarbage) == nil {
			t.Fatal("garbage was not counted")
		}
		if reply, err := r.call(context.Background(), "up", "Echo", "a"); err != nil || reply != "a" {
			t.Fatalf("%q, %v", reply, err)
		}
		r.client.conns["up"].rpc.Close()
		r.server.serving.Wait()
	})
}
