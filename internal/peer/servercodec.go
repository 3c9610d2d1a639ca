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

// readBuffer is the read buffer of a connection, in bytes.
const readBuffer = 4 << 10

// textAnswerTooLarge replaces an answer over the limit.
const textAnswerTooLarge = "peer: answer too large"

// serverCodec is the rpc.ServerCodec of one connection. net/rpc reads from
// one goroutine and writes answers under its own lock.
type serverCodec struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	body   []byte // of the request whose header was read last
	refuse bool   // that request is refused, its body is skipped

	mu       sync.Mutex
	idle     bool // waiting for a frame's first byte
	draining bool
	running  map[uint64]func() // gives back the call slot, by sequence
}

func newServerCodec(s *Server, conn net.Conn) *serverCodec {
	return &serverCodec{
		server:  s,
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBuffer),
		running: make(map[uint64]func()),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	f, err := c.next()
	if err != nil {
		c.countGarbage(err)
		return io.EOF // net/rpc prints any other error on its own
	}
	c.server.vars.Add(varCalls, 1)
	c.server.vars.Add(varBytesIn, f.size)
	c.server.traffic.Add(traffic.Kind(f.Method), 0, f.size)
	r.Seq = f.Seq
	r.ServiceMethod = f.Method
	c.body = f.body
	return c.start(r)
}

// countGarbage counts err when it means that the peer sent no valid frame.
func (c *serverCodec) countGarbage(err error) {
	if errors.Is(err, ErrMalformed) || errors.Is(err, io.ErrUnexpectedEOF) {
		c.server.vars.Add(varGarbage, 1)
		c.server.log.WithError(err).WithField("remote", c.conn.RemoteAddr()).Warn("peer connection closed")
	}
}

// next waits for a frame and reads it.
func (c *serverCodec) next() (frame, error) {
	if err := c.await(); err != nil {
		return frame{}, err
	}
	return readFrame(c.reader, c.server.limits.MaxRequest)
}

// await waits for a frame's first byte, up to the idle limit, and then sets
// the limit for the rest of the frame.
func (c *serverCodec) await() error {
	c.mu.Lock()
	c.idle = true
	c.conn.SetReadDeadline(c.idleDeadline())
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	// An error here shows again in the read of what is not buffered yet.
	c.conn.SetReadDeadline(time.Now().Add(c.server.limits.Frame))
	return err
}

// idleDeadline is when an unused connection is closed; c.mu is held. A
// connection with calls in flight isn't unused.
func (c *serverCodec) idleDeadline() time.Time {
	if c.draining {
		return time.Now()
	}
	limits := c.server.limits
	if len(c.running) > 0 {
		return time.Now().Add(limits.Idle + limits.Call)
	}
	return time.Now().Add(limits.Idle)
}

// start admits the call, or diverts it to the method that refuses it. A
// sequence number in use is a fault of the peer that ends the connection.
func (c *serverCodec) start(r *rpc.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, used := c.running[r.Seq]; used {
		c.server.vars.Add(varGarbage, 1)
		return io.EOF
	}
	release, refusal := func() {}, methodDraining
	if !c.draining {
		release, refusal = c.server.admit(r.ServiceMethod)
	} else {
		c.server.vars.Add(varDraining, 1)
	}
	c.refuse = refusal != ""
	if c.refuse {
		r.ServiceMethod = refusal
	}
	c.running[r.Seq] = release
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(v any) error {
	body := c.body
	c.body = nil
	if c.refuse {
		return nil
	}
	if err := decodeBody(body, v); err != nil {
		return fmt.Errorf("%s%w", refusalPrefix, err)
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, v any) error {
	c.finish(r.Seq)
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

// write sends one frame; a frame cut short ends the connection.
func (c *serverCodec) write(frame []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(c.server.limits.Frame))
	n, err := c.conn.Write(frame)
	c.server.vars.Add(varBytesOut, int64(n))
	if err != nil {
		c.conn.Close()
	}
	return err
}

// finish gives back the call slot of seq.
func (c *serverCodec) finish(seq uint64) {
	c.mu.Lock()
	release := c.running[seq]
	delete(c.running, seq)
	c.mu.Unlock()
	if release != nil {
		release()
	}
}

// drain refuses further calls and ends the wait for the next one.
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
