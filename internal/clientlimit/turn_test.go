package clientlimit

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against small requests that wait for the processor behind many large ones, and against large requests that
// hold up each other while they wait for something else.
func TestLargeRequestsAreDecodedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients = 40
		release := make(chan struct{})
		decoding := make(chan struct{}, clients)
		s := newServer(t, Limits{Connections: 2 * clients, RequestBytes: 1 << 30}, func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(r, testBodyLimit)
			if err != nil {
				t.Errorf("body: %v", err)
				return
			}
			_ = Decode(r, body, func() error {
				if len(body) > smallBodyBytes {
					decoding <- struct{}{}
					<-release
				}
				return nil
			})
			answerOK(w, r)
		})
		var large []*client
		for range clients {
			c := s.connect()
			go c.write(post(64<<10, 0))
			large = append(large, c)
		}
		synctest.Wait()
		if n := len(decoding); n != largeTurns() {
			t.Errorf("%d large requests are decoded at the same time, want %d", n, largeTurns())
		}
		small := s.connect()
		small.send(post(100, 0))
		small.wantStatus("a small request", http.StatusOK)
		close(release)
		for _, c := range large {
			c.wantStatus("a large request", http.StatusOK)
		}
		if n := len(s.limiter.turns); n != 0 {
			t.Errorf("%d turns are still held", n)
		}
	})
}

// An evicted request doesn't wait for its turn.
func TestEvictedRequestEndsWithoutATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 1, RequestBytes: 1 << 30}, answerBody)
		for range largeTurns() {
			s.limiter.turns <- struct{}{}
		}
		large := s.connect()
		go large.write(post(64<<10, 0))
		synctest.Wait()
		time.Sleep(time.Second)
		c := s.connect()
		c.send(get)
		c.wantStatus("a new connection", http.StatusOK)
		large.wantStatus("the evicted request", http.StatusServiceUnavailable)
	})
}
