package front

import (
	"io"
	"testing"
	"time"
)

// Guards against bodies that stop short of their end and hold the memory of all bodies against other callers.
func TestStoppedBodiesKeepNobodyOut(t *testing.T) {
	server, _, address := startServer(t, Settings{MaxBodyBytes: 1000, MaxTotalBodyBytes: 4000, ReadBodyTimeout: time.Minute})
	for range 8 {
		stopped := dial(t, address)
		_, err := io.WriteString(stopped.conn, "POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		wantEqual(t, err, nil)
	}
	for server.bodyBytes.used.Load() < 3000 { // until most of them hold memory
		time.Sleep(time.Millisecond)
	}
	for _, size := range []int{1, 10, 999, 1000} {
		resp, _ := dial(t, address).roundTrip(post(size, string(make([]byte, size))))
		wantEqual(t, summarize(resp), "201 ran  retry= close=false")
	}
}

// Guards against connections of no use that keep other callers out.
func TestHeldConnectionsKeepNobodyOut(t *testing.T) {
	const limit = 4
	_, _, address := startServer(t, Settings{MaxConnections: limit, ReadBodyTimeout: time.Minute})
	for _, beginning := range []string{get("/"), "GET /", "POST /v1/services/svc/ HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", ""} {
		for range limit {
			_, err := io.WriteString(dial(t, address).conn, beginning)
			wantEqual(t, err, nil)
		}
		resp, _ := dial(t, address).roundTrip(post(2, "ab"))
		wantEqual(t, summarize(resp), "201 ran  retry= close=false")
	}
}
