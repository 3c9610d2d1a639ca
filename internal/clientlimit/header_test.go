package clientlimit

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// headerFields returns a number of short header fields.
func headerFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "A%d:\r\n", i)
	}
	return b.String()
}

// Guards against headers of many fields, which take far more memory than their bytes.
func TestManyHeaderFieldsCountForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fields = 1000
		s := newServer(t, Limits{Connections: 10, RequestBytes: 3 * fields * headerFieldBytes / 2}, answerOK)
		first := s.connect()
		first.send("GET / HTTP/1.1\r\nHost: h\r\n" + headerFields(fields))
		time.Sleep(time.Second)
		second := s.connect()
		second.send("GET / HTTP/1.1\r\nHost: h\r\n" + headerFields(fields) + "\r\n")
		second.wantStatus("a request with as many fields", http.StatusOK)
		first.wantClosed("the request that held most for the longest")
		if n := s.limiter.requestBytes; n != 0 {
			t.Errorf("%d bytes are still reserved", n)
		}
	})
}

func TestHeaderFieldsAreCounted(t *testing.T) {
	const body = "\n\n\n{\n}\n"
	request := "POST / HTTP/1.1\r\n" + headerFields(freeHeaderFields+9) + "\r\n" + body
	for size := 1; size <= len(request); size++ {
		var count headerCount
		reserved := 0
		for rest := request; len(rest) > 0; {
			n := min(size, len(rest))
			reserved += count.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if want := 11; reserved != want { // with the request line and the empty line
			t.Fatalf("in pieces of %d bytes: %d lines counted beyond %d, want %d", size, reserved, freeHeaderFields, want)
		}
	}
}
