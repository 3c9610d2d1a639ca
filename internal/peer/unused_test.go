package peer

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against callers that are kept out by connections that nobody uses.
func TestUnusedConnectionsMakeRoomForCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConns = 3
		s := NewServer(Limits{MaxConns: maxConns}, nil)
		if err := s.Register("Echo", echo{}); err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		connect := func() net.Conn {
			client, server := net.Pipe()
			s.ServeConn(server)
			synctest.Wait()
			time.Sleep(time.Millisecond) // so that connections differ in age
			return client
		}
		caller := connect()
		defer caller.Close()
		callOnce(t, caller)
		for range 2 * maxConns {
			defer connect().Close()
			callOnce(t, caller) // in use, so that it isn't the one that is closed
		}
		newcomer := connect()
		defer newcomer.Close()
		callOnce(t, newcomer)
	})
}

// echo is a service with one method.
type echo struct{}

// Call returns its argument.
func (echo) Call(n int, reply *int) error {
	*reply = n
	return nil
}

// callOnce makes a call on a connection and checks its answer.
func callOnce(t *testing.T, c net.Conn) {
	t.Helper()
	const limit = 1 << 10
	request, err := encodeFrame(header{Seq: 1, Method: "Echo.Call"}, 7, limit)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(request); err != nil {
		t.Fatalf("call not sent: %v", err)
	}
	answer, err := readFrame(bufio.NewReader(c), limit)
	if err != nil || answer.Error != "" {
		t.Fatalf("call not answered: %v %s", err, answer.Error)
	}
}
