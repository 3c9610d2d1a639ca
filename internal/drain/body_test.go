package drain

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// A request whose header was read before the drain is answered although its body
// arrives later. Between the two, the server sets a new read deadline, which must
// not be replaced by the expired one.
func TestBodyReadWhileDrainingIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		s := New(&http.Server{
			ReadHeaderTimeout: headerTimeout, ReadTimeout: 2 * headerTimeout, IdleTimeout: idleTimeout,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					t.Errorf("reading the body: %v", err)
				}
				answerAndClose(w, r)
			}),
		})
		go func() { _ = s.Serve(l) }()
		c := l.connect()
		send(c, "POST / HTTP/1.1\r\nHost: a\r\n")
		synctest.Wait()
		ended := drainFor(s, longWait)
		synctest.Wait()
		send(c, "Content-Length: 2\r\n\r\n")
		time.Sleep(time.Second)
		send(c, "ab")
		wantAnswer(t, c)
		if got := <-ended; got.err != nil {
			t.Errorf("drain: %v", got.err)
		}
	})
}
