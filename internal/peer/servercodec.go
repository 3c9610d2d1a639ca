package peer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/internal/traffic"
)

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 4 << 10

// textAnswerTooLarge is the error text sent in place of an answer that exceeds the limit.
const textAnswerTooLarge = "peer: answer too large"

// serverCodec is the rpc.ServerCodec of one connection. net/rpc reads from one
// goroutine and serializes the writes of answers with a lock.
type serverCodec struct {
	server  *Server
	conn    net.Conn
	reader  *bufio.Reader
	body    []byte // body of the request whose header was read last
	refused bool   // that request is refused and its body is skipped

	mu           sync.Mutex
	idle         bool // waiting for the first byte of a frame
	idleSince    time.Time
	draining     bool
	releaseSlots map[uint64]func() // functions that release the call slots, by sequence number
}

func newServerCodec(s *Server, conn net.Conn) *serverCodec {
	return &serverCodec{
		server:       s,
		conn:         conn,
		reader:       bufio.NewReaderSize(conn, readBufferBytes),
		releaseSlots: make(map[uint64]func()),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	f, err := c.nextFrame()
	if err != nil {
		c.countMalformedFrame(err)
		return io.EOF // net/rpc logs any other error
	}
	c.server.vars.Add(varCalls, 1)
	c.server.vars.Add(varBytesIn, f.size)
	c.server.traffic.Add(traffic.Kind(f.Method), 0, f.size)
	r.Seq = f.Seq
	r.ServiceMethod = f.Method
	c.body = f.body
	return c.admitCall(r)
}

// countMalformedFrame counts and logs err if it means that the peer sent an invalid frame.
func (c *serverCodec) countMalformedFrame(err error) {
	if errors.Is(err, ErrMalformed) || errors.Is(err, io.ErrUnexpectedEOF) {
		c.server.vars.Add(varMalformedFrames, 1)
		c.server.log.WithError(err).WithField("remote", c.conn.RemoteAddr()).Warn("peer connection closed")
	}
}

// nextFrame waits for a frame and reads it.
func (c *serverCodec) nextFrame() (frame, error) {
	if err := c.awaitFrame(); err != nil {
		return frame{}, err
	}
	return readFrame(c.reader, c.server.limits.MaxRequest)
}

// awaitFrame waits for the first byte of a frame until the idle deadline, and then sets
// the deadline for the rest of the frame.
func (c *serverCodec) awaitFrame() error {
	c.mu.Lock()
	c.idle, c.idleSince = true, time.Now()
	c.conn.SetReadDeadline(c.idleDeadline())
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	// An error of SetReadDeadline recurs in the read of the bytes that are not buffered yet.
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.Frame))
	return err
}

// idleDeadline returns the time at which the connection is closed if it stays unused.
// A connection with calls in flight is not unused. c.mu is held.
func (c *serverCodec) idleDeadline() time.Time {
	if c.draining {
		return time.Now()
	}
	limits := c.server.limits
	if len(c.releaseSlots) > 0 {
		return time.Now().Add(limits.Idle + limits.Call)
	}
	return time.Now().Add(limits.Idle)
}

// unusedSince returns since when the connection waits for a call, and whether it does and no call is in flight.
func (c *serverCodec) unusedSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.idle && len(c.releaseSlots) == 0
}

// admitCall admits the call, or redirects it to a method that refuses it. It ends the
// connection if the peer reuses the sequence number of a call in flight.
func (c *serverCodec) admitCall(r *rpc.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, used := c.releaseSlots[r.Seq]; used {
		c.server.vars.Add(varMalformedFrames, 1)
		return io.EOF
	}
	release, refusal := func() {}, methodDraining
	if !c.draining {
		release, refusal = c.server.admit(r.ServiceMethod)
	} else {
		c.server.vars.Add(varDraining, 1)
	}
	c.refused = refusal != ""
	if c.refused {
		r.ServiceMethod = refusal
	}
	c.releaseSlots[r.Seq] = release
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(v any) error {
	body := c.body
	c.body = nil
	if c.refused {
		return nil
	}
	if err := decodeBody(body, v); err != nil {
		return fmt.Errorf("%s%w", refusalPrefix, err)
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error {
	c.releaseSlot(r.Seq)
	h := header{Seq: r.Seq, Method: r.ServiceMethod, Error: r.Error}
	if r.Error != "" {
		v = nil
	}
	limit := c.server.limits.MaxAnswer
	frame, err := encodeFrame(h, v, limit)
	if err != nil {
		h.Error = textAnswerTooLarge
		frame, err = encodeFrame(h, nil, limit)
	}
	if err != nil {
		return err
	}
	c.server.traffic.AddAnswer(traffic.Kind(r.ServiceMethod), int64(len(frame)), 0)
	return c.write(frame)
}

// write sends one frame. If the frame is sent only partly, the connection is closed.
func (c *serverCodec) write(frame []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(c.server.limits.Frame))
	n, err := c.conn.Write(frame)
	c.server.vars.Add(varBytesOut, int64(n))
	if err != nil {
		c.conn.Close()
	}
	return err
}

// releaseSlot releases the call slot of the call with the sequence number seq.
func (c *serverCodec) releaseSlot(seq uint64) {
	c.mu.Lock()
	release := c.releaseSlots[seq]
	delete(c.releaseSlots, seq)
	c.mu.Unlock()
	if release != nil {
		release()
	}
}

// drain makes the connection refuse further calls and ends the wait for the next one.
func (c *serverCodec) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idle {
		c.conn.SetReadDeadline(time.Now())
	}
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
