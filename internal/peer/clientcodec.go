package peer

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/skylarklock/skylarklock/internal/traffic"
)

// outgoingCall is the argument that a call passes to the codec. The caller reads it
// again only after net/rpc has ended the call.
type outgoingCall struct {
	ctx     context.Context
	args    any
	written atomic.Bool // a byte of the call may have been sent
}

// incomingAnswer receives the body of an answer undecoded, so that an answer that
// arrives after its call has returned does not modify the caller's data.
type incomingAnswer struct {
	body []byte
}

// clientCodec is the rpc.ClientCodec of one connection. net/rpc serializes the writes
// with a lock and reads from one goroutine.
type clientCodec struct {
	conn   net.Conn
	limits Limits
	vars   *expvar.Map
	reader *bufio.Reader
	body   []byte // body of the answer whose header was read last

	traffic *traffic.Account

	broken              atomic.Bool  // the connection must not be used for further calls
	consecutiveTimeouts atomic.Int32 // number of calls that have timed out since the last answer
}

func newClientCodec(conn net.Conn, limits Limits, vars *expvar.Map) *clientCodec {
	return &clientCodec{
		conn:   conn,
		limits: limits,
		vars:   vars,
		reader: bufio.NewReaderSize(conn, readBufferBytes),
	}
}

// errBroken is the error of a call that was not written because its connection had
// failed.
var errBroken = errors.New("connection broken")

// WriteRequest implements rpc.ClientCodec. It fails without writing if the context of
// the call has ended, the call is too large or the connection is broken.
func (c *clientCodec) WriteRequest(r *rpc.Request, v any) error {
	out := v.(*outgoingCall)
	if err := out.ctx.Err(); err != nil {
		return err
	}
	if c.broken.Load() {
		return errBroken
	}
	frame, err := encodeFrame(header{Seq: r.Seq, Method: r.ServiceMethod}, out.args, c.limits.MaxRequest)
	if err != nil {
		return err
	}
	c.traffic.Add(traffic.Kind(r.ServiceMethod), int64(len(frame)), 0)
	return c.write(out, frame)
}

// write sends one frame before the deadline of the call. If the frame is sent only
// partly, the connection is closed.
func (c *clientCodec) write(out *outgoingCall, frame []byte) error {
	deadline, _ := out.ctx.Deadline()
	c.conn.SetWriteDeadline(deadline)
	out.written.Store(true) // before the write, which may fail while net/rpc ends the call
	n, err := c.conn.Write(frame)
	c.vars.Add(varBytesOut, int64(n))
	if err != nil {
		out.written.Store(n > 0)
		c.closeBroken()
	}
	return err
}

// closeBroken marks the connection as broken and closes it.
func (c *clientCodec) closeBroken() {
	c.broken.Store(true)
	c.conn.Close()
}

// ReadResponseHeader implements rpc.ClientCodec. It waits without a time limit, since
// each call has its own deadline and the client retires connections on which calls
// time out.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.awaitFrame(); err != nil {
		c.closeBroken()
		return err
	}
	f, err := readFrame(c.reader, c.limits.MaxAnswer)
	if err != nil {
		c.closeBroken()
		return err
	}
	c.consecutiveTimeouts.Store(0)
	c.vars.Add(varBytesIn, f.size)
	c.traffic.AddAnswer(traffic.Kind(f.Method), 0, f.size)
	r.Seq = f.Seq
	r.ServiceMethod = f.Method
	r.Error = f.Error
	c.body = f.body
	return nil
}

// awaitFrame waits for the first byte of a frame and sets the deadline for the rest.
func (c *clientCodec) awaitFrame() error {
	c.conn.SetReadDeadline(time.Time{})
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	// An error of SetReadDeadline recurs in the read of the bytes that are not buffered yet. A whole answer
	// may be buffered when the peer has closed the connection after it.
	c.conn.SetReadDeadline(time.Now().Add(c.limits.Frame))
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(v any) error {
	if in, ok := v.(*incomingAnswer); ok {
		in.body = c.body
	}
	c.body = nil
	return nil
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.broken.Store(true)
	return c.conn.Close()
}
