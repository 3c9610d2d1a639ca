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

// Sleep answers after d.
func (p *Probe) Sleep(d time.Duration, reply *string) error {
	p.runs.Add(1)
	time.Sleep(d)
	*reply = "slept"
	return nil
}

// Fail returns text as its error.
func (p *Probe) Fail(text string, _ *string) error { return errors.New(text) }

var testLimits = Limits{MaxRequest: 1000, MaxAnswer: 500, MaxCalls: 1, MaxConns: 2}

// fixture is a client and a server that are connected by pipes.
type fixture struct {
	probe  *Probe
	server *Server
	client *Client
}

func newFixture() *fixture {
	logrus.SetOutput(io.Discard)
	fx := &fixture{probe: &Probe{}, server: NewServer(testLimits, nil)}
	if err := fx.server.Register("Probe", fx.probe); err != nil {
		panic(err)
	}
	fx.client = NewClient(testLimits, func(_ context.Context, addr string) (net.Conn, error) {
		if addr != "up" {
			return nil, errors.New("connection refused")
		}
		clientEnd, serverEnd := net.Pipe()
		fx.server.ServeConn(serverEnd)
		return clientEnd, nil
	})
	return fx
}

func (fx *fixture) call(ctx context.Context, addr, method string, args any) (reply string, err error) {
	err = fx.client.Call(ctx, addr, "Probe."+method, args, &reply)
	return reply, err
}

func (fx *fixture) stop() { fx.client.Close(); fx.server.Close() }

// The error of a failed call states correctly whether the call can have run. No call
// runs twice.
func TestCallErrors(t *testing.T) {
	long := strings.Repeat("x", 700)
	cases := []struct {
		name, addr, method string
		args               any
		disrupt            func(*fixture)
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
		{name: "deadline passed before the call", addr: "up", method: "Echo", args: "a", want: ErrNotSent, also: context.DeadlineExceeded,
			disrupt: func(*fixture) { time.Sleep(5 * time.Second) }},
		{name: "connection cut", addr: "up", method: "Sleep", args: 2 * time.Second, want: ErrUncertain, runs: 1,
			disrupt: func(fx *fixture) { time.AfterFunc(time.Second, func() { fx.server.Close() }) }},
		{name: "too many calls", addr: "up", method: "Echo", args: "a", want: ErrNotSent, runs: 1,
			disrupt: func(fx *fixture) {
				go fx.call(context.Background(), "up", "Sleep", 10*time.Second)
				time.Sleep(time.Second)
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture()
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				defer cancel()
				if c.disrupt != nil {
					c.disrupt(fx)
				}
				_, err := fx.call(ctx, c.addr, c.method, c.args)
				if !errors.Is(err, c.want) || (c.also != nil && !errors.Is(err, c.also)) {
					t.Errorf("got %v, want %v and %v", err, c.want, c.also)
				}
				if runs := fx.probe.runs.Load(); runs != c.runs {
					t.Errorf("ran %d times, want %d", runs, c.runs)
				}
				fx.stop()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// An answer that arrives after its call has timed out is not delivered to another call,
// and the connection is reused.
func TestLateAnswerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		defer fx.stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		late, err := fx.call(ctx, "up", "Sleep", 2*time.Second)
		if !errors.Is(err, ErrUncertain) {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		echo, err := fx.call(context.Background(), "up", "Echo", "b")
		if err != nil || echo != "b" || late != "" || fx.client.Vars().Get(varDials).String() != "1" {
			t.Fatalf("%q %q %v", echo, late, err)
		}
		var remote *RemoteError
		if _, err = fx.call(context.Background(), "up", "Fail", "no"); !errors.As(err, &remote) || remote.Text != "no" {
			t.Fatal(err)
		}
	})
}

// Shutdown waits for the call in flight and accepts no other call.
func TestShutdownFinishesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		defer fx.client.Close()
		time.AfterFunc(time.Second, func() { fx.server.Shutdown(context.Background()) })
		reply, err := fx.call(context.Background(), "up", "Sleep", 5*time.Second)
		if err != nil || reply != "slept" {
			t.Fatalf("%q, %v", reply, err)
		}
		if _, err := fx.call(context.Background(), "up", "Echo", "a"); err == nil || fx.probe.runs.Load() != 1 {
			t.Fatalf("a stopped server ran another call: %v", err)
		}
	})
}

// Calls work over TCP with a listener.
func TestTCP(t *testing.T) {
	fx := newFixture()
	fx.client = NewClient(testLimits, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error)
	go func() { served <- fx.server.Serve(listener) }()
	reply, err := fx.call(context.Background(), listener.Addr().String(), "Echo", "a")
	if err = errors.Join(err, fx.server.Shutdown(context.Background()), <-served); err != nil || reply != "a" {
		t.Fatalf("%q, %v", reply, err)
	}
}

// FuzzServer checks that the server survives arbitrary bytes on a connection: it ends that
// connection, counts malformed frames and serves other connections.
func FuzzServer(f *testing.F) {
	valid, err := encodeFrame(header{Seq: 1, Method: "Probe.Echo"}, "a", 1000)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{valid, append(valid, valid...), valid[:7], {0xff, 0xff, 0xff, 0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), {0, 0, 0, 1, 0x9f}} {
		f.Add(seed)
	}
	fx := newFixture()
	f.Fuzz(func(t *testing.T, data []byte) {
		clientEnd, serverEnd := net.Pipe()
		fx.server.ServeConn(serverEnd)
		go io.Copy(io.Discard, clientEnd)
		clientEnd.Write(data)
		clientEnd.Close()
		fx.server.serving.Wait()
		if len(data) >= 4 && data[0] > 0 && fx.server.Vars().Get(varMalformedFrames) == nil {
			t.Fatal("the malformed frame was not counted")
		}
		if reply, err := fx.call(context.Background(), "up", "Echo", "a"); err != nil || reply != "a" {
			t.Fatalf("%q, %v", reply, err)
		}
		fx.client.conns["up"].rpc.Close()
		fx.server.serving.Wait()
	})
}
