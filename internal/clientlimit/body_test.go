package clientlimit

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

const testBodyLimit = 256 << 10 // bytes

// answerBody answers with 200 to a body that was read.
func answerBody(w http.ResponseWriter, r *http.Request) {
	_, err := ReadBody(r, testBodyLimit)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, ErrOverloaded):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrBodyTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// post returns a request with a body of the given size without its last missing bytes.
func post(size, missing int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size-missing)
}

// Guards against bodies that stop short of their end and together take the memory of the machine.
func TestLargestOldestBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 10, RequestBytes: 400 << 10}, answerBody)
		large, medium := s.connect(), s.connect()
		large.send(post(200<<10, 1))
		medium.send(post(60<<10, 1))
		time.Sleep(time.Second)
		third := s.connect()
		go third.write(post(200<<10, 0))
		third.wantStatus("a body that arrives", http.StatusOK)
		large.wantStatus("the largest body", http.StatusServiceUnavailable)
		medium.send("x")
		medium.wantStatus("the other body", http.StatusOK)
		if n := s.limiter.requestBytes; n != 0 {
			t.Errorf("%d bytes are still reserved", n)
		}
	})
}

// Guards against the processor time and garbage of clients that come again as soon as their request is dropped.
func TestPlaceOfADroppedRequestStaysTakenForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 2, RequestBytes: 100 << 10}, answerBody)
		first, second := s.connect(), s.connect()
		first.send(post(60<<10, 1))
		second.send(post(60<<10, 1))
		first.wantStatus("the larger request", http.StatusServiceUnavailable)
		start := time.Now()
		third := s.connect()
		go third.write(get)
		third.wantStatus("a new connection", http.StatusOK)
		if wait := time.Since(start); wait < minAge/2 || wait > 2*minAge {
			t.Errorf("a new connection was served after %v, want about %v", wait, minAge)
		}
	})
}

// A client doesn't get younger by sending the next part of its request.
func TestOldestRequestMakesRoomWhileItsBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 2, RequestBytes: 1 << 20}, answerBody)
		first, second := s.connect(), s.connect()
		first.send(post(100, 1))
		time.Sleep(time.Second)
		third := s.connect()
		third.send(get)
		third.wantStatus("a new connection", http.StatusOK)
		first.wantStatus("the oldest request", http.StatusServiceUnavailable)
		second.send(get)
		second.wantStatus("the younger connection", http.StatusOK)
	})
}

// Small bodies are read however much large ones hold.
func TestSmallBodiesNeedNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := newServer(t, Limits{Connections: 10, RequestBytes: 60 << 10}, func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength > smallBodyBytes {
				_, _ = ReadBody(r, testBodyLimit)
				<-release
			}
			answerBody(w, r)
		})
		large := s.connect()
		large.send(post(64<<10, 0))
		refused, small := s.connect(), s.connect()
		go refused.write(post(64<<10, 1))
		go small.write(post(smallBodyBytes-1, 0))
		small.wantStatus("a small body", http.StatusOK)
		close(release)
		large.wantStatus("the large body", http.StatusOK)
	})
}

// A request that is alone is read up to its limit, on however small a machine.
func TestLoneBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 10, RequestBytes: 1}, answerBody)
		for size, want := range map[int]int{0: 200, 1: 200, smallBodyBytes: 200, smallBodyBytes + 1: 200, testBodyLimit: 200, testBodyLimit + 1: 413} {
			c := s.connect()
			go c.write(post(size, 0))
			c.wantStatus(fmt.Sprintf("%d bytes", size), want)
			chunked := s.connect()
			go chunked.write(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)))
			if size > 0 {
				chunked.wantStatus(fmt.Sprintf("%d bytes in a chunk", size), want)
			}
		}
	})
}
