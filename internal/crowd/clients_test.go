//go:build crowd && linux

package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
	"github.com/skylarklock/skylarklock/platform/standin"
)

// misbehaviour is what a client of a crowd does on a connection. It returns when it has sent all.
type misbehaviour func(ctx context.Context, c net.Conn)

// reconnectDelay is the time between the end of a connection and the client's next one.
const reconnectDelay = 20 * time.Millisecond

// crowd is a number of clients that keep misbehaving.
type crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// startCrowd starts clients of an address. Each opens its connection again whenever it is closed.
func startCrowd(t *testing.T, address string, clients int, play misbehaviour) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	t.Cleanup(c.stop)
	for range clients {
		c.clients.Go(func() {
			for ctx.Err() == nil {
				playOnce(ctx, address, play)
				time.Sleep(reconnectDelay)
			}
		})
	}
	return c
}

// stop closes the connections of all clients.
func (c *crowd) stop() {
	c.cancel()
	c.clients.Wait()
}

// playOnce opens a connection and keeps it open until the other side closes it.
func playOnce(ctx context.Context, address string, play misbehaviour) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	// A reset at the end leaves no connection in TIME_WAIT, which would use up the ports of the machine.
	_ = conn.(*net.TCPConn).SetLinger(0)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	play(ctx, conn)
}

// awaitClose reads until the connection is closed.
func awaitClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) } // ends with any error

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// submissionHeader returns the header of a submission with the given further fields.
func submissionHeader(fields string) string {
	return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n", rand.Uint64(), standin.Host, fields)
}

const wholeLength = "Content-Length: 262144\r\n" // of maxBodyBytes

// bodyWithoutEnd is a body of the greatest size whose last byte is missing.
var bodyWithoutEnd = []byte(standin.UnfinishedSubmission(maxBodyBytes - 1))

// Errors of writes mean that the server has closed the connection, which is then opened again.

func bodiesWithoutEnd(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, submissionHeader(wholeLength)); err != nil {
		return
	}
	_, _ = c.Write(bodyWithoutEnd)
	awaitClose(c)
}

func bodiesInPieces(ctx context.Context, c net.Conn) {
	const piece = 16 << 10
	if _, err := io.WriteString(c, submissionHeader(wholeLength)); err != nil {
		return
	}
	for rest := bodyWithoutEnd; len(rest) > 0; pause(ctx, 20*time.Millisecond) {
		n := min(piece, len(rest))
		if _, err := c.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
	awaitClose(c)
}

func oneLargeChunk(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, submissionHeader("Transfer-Encoding: chunked\r\n")+"40000\r\n"); err != nil {
		return
	}
	_, _ = c.Write(bodyWithoutEnd)
	awaitClose(c)
}

func smallChunks(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, submissionHeader("Transfer-Encoding: chunked\r\n")); err != nil {
		return
	}
	const perWrite = 2000
	chunks := strings.Repeat("1\r\nx\r\n", perWrite)
	for sent := 0; sent+perWrite < maxBodyBytes; sent += perWrite {
		if _, err := io.WriteString(c, chunks); err != nil {
			return
		}
	}
	awaitClose(c)
}

// bodiesOverLimit sends bodies that are larger than the limit.
func bodiesOverLimit(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, submissionHeader(fmt.Sprintf("Content-Length: %d\r\n", 2*maxBodyBytes))); err != nil {
		return
	}
	_, _ = c.Write(bodyWithoutEnd)
	awaitClose(c)
}

// unknownQueues sends bodies without an end to a queue that doesn't exist.
func unknownQueues(_ context.Context, c net.Conn) {
	header := strings.Replace(submissionHeader("Content-Length: 100000\r\n"), "/q/", "/none/", 1)
	if _, err := io.WriteString(c, header); err != nil {
		return
	}
	_, _ = c.Write(bodyWithoutEnd[:50000])
	awaitClose(c)
}

// unreadAnswers sends requests one after the other and reads no answer.
func unreadAnswers(_ context.Context, c net.Conn) {
	requests := strings.Repeat("GET /q/ HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n", 100)
	for {
		if _, err := io.WriteString(c, requests); err != nil {
			return
		}
	}
}

// headersWithoutEnd sends a header of about 15 KB that doesn't end.
func headersWithoutEnd(_ context.Context, c net.Conn) {
	header := submissionHeader("X-Filler: " + strings.Repeat("x", 15<<10) + "\r\n")
	if _, err := io.WriteString(c, strings.TrimSuffix(header, "\r\n")); err != nil {
		return
	}
	awaitClose(c)
}

// manyHeaderFields are as many fields as fit into a header.
var manyHeaderFields = func() string {
	var fields strings.Builder
	for i := 0; fields.Len() < 15<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}()

// manyFields sends many header fields and a body without an end.
func manyFields(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, submissionHeader(manyHeaderFields+wholeLength)+standin.UnfinishedSubmission(20)); err != nil {
		return
	}
	awaitClose(c)
}

// fieldsWithoutEnd sends many header fields and no end of the header.
func fieldsWithoutEnd(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, strings.TrimSuffix(submissionHeader(manyHeaderFields), "\r\n")); err != nil {
		return
	}
	awaitClose(c)
}

// idleConnections sends one request, reads its answer and keeps the connection.
func idleConnections(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, "GET /q/ HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n"); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	resp.Body.Close()
	awaitClose(c)
}

// unknownJobs asks for jobs that don't exist, one after the other.
func unknownJobs(_ context.Context, c net.Conn) {
	answers := bufio.NewReader(c)
	for {
		if _, err := fmt.Fprintf(c, "GET /q/%016x HTTP/1.1\r\nHost: %s\r\n\r\n", rand.Uint64(), standin.Host); err != nil {
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// silentConnections sends nothing.
func silentConnections(_ context.Context, c net.Conn) { awaitClose(c) }

// largestJob is a valid submission of the greatest size.
var largestJob = standin.LargeSubmission("1ms", work.MaxSteps, maxBodyBytes)

// wholeJobs sends valid jobs of the greatest size and reads the answers.
func wholeJobs(_ context.Context, c net.Conn) {
	answers := bufio.NewReader(c)
	for {
		if _, err := io.WriteString(c, submissionHeader(fmt.Sprintf("Content-Length: %d\r\n", len(largestJob)))+largestJob); err != nil {
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		resp.Body.Close()
	}
}

// manySteps is a whole submission of the greatest size with as many steps as fit.
var manySteps = standin.SubmissionOfEmptySteps(maxBodyBytes)

func wholeBodiesOfManySteps(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, submissionHeader(fmt.Sprintf("Content-Length: %d\r\n", len(manySteps)))+manySteps); err != nil {
		return
	}
	awaitClose(c)
}

// expectContinue announces a body of the greatest size and waits for the server to ask for it.
func expectContinue(_ context.Context, c net.Conn) {
	if _, err := io.WriteString(c, submissionHeader(wholeLength+"Expect: 100-continue\r\n")); err != nil {
		return
	}
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		return
	}
	_, _ = c.Write(bodyWithoutEnd)
	awaitClose(c)
}
