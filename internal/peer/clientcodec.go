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

// outgoing is the argument that a call hands to the codec. It is read again
// only after net/rpc has ended the call.
type outgoing struct {
	ctx     context.Context
	args    any
	written bool // a byte of the call may have left
}

// incoming takes an answer's body undecoded, so that an answer that comes
// after its call was given up touches nothing of the caller's.
type incoming struct {
	body []byte
}

// clientCodec is the rpc.ClientCodec of one connection. net/rpc writes under
// its own lock and reads from one goroutine.
type clientCodec struct {
	conn   net.Conn
	limits Limits
	vars   *expvar.Map
	reader *bufio.Reader
	body   []byte // of the answer whose header was read last

	traffic *traffic.Account

	broken atomic.Bool  // takes no further calls
	silent atomic.Int32 // calls timed out since the last answer
}

func newClientCodec(conn net.Conn, limits Limits, vars *expvar.Map) *clientCodec {
	return &clientCodec{
		conn:   conn,
		limits: limits,
		vars:   vars,
		reader: bufio.NewReaderSize(conn, readBuffer),
	}
}

// errBroken ends a call on a connection that failed before it was written.
var errBroken = errors.New("connection broken")

// WriteRequest implements rpc.ClientCodec. It fails without writing when the
// call is over already, is too large or the connection has broken.
func (c *clientCodec) WriteRequest(r *rpc.Request, v any) error {
	out := v.(*outgoing)
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

// write sends one frame by the call's deadline; a frame cut short breaks the
// connection.
func (c *clientCodec) write(out *outgoing, frame []byte) error {
	deadline, _ := out.ctx.Deadline()
	c.conn.SetWriteDeadline(deadline)
	out.written = true
	n, err := c.conn.Write(frame)
	c.vars.Add(varBytesOut, int64(n))
	if err != nil {
		c.fail()
	}
	return err
}

// fail takes the connection out of use at once.
func (c *clientCodec) fail() {
	c.broken.Store(true)
	c.conn.Close()
}

// ReadResponseHeader implements rpc.ClientCodec. It waits without a limit of
// its own; each call has its deadline, and silent connections are retired.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.await(); err != nil {
		c.fail()
		return err
	}
	f, err := readFrame(c.reader, c.limits.MaxAnswer)
	if err != nil {
		c.fail()
		return err
	}
	c.silent.Store(0)
	c.vars.Add(varBytesIn, f.size)
	c.traffic.AddAnswer(traffic.Kind(f.Method), 0, f.size)
	r.Seq = f.Seq
	r.ServiceMethod = f.Method
	r.Error = f.Error
	c.body = f.body
	return nil
}

// await waits for a frame's first byte and limits the time for its rest.
func (c *clientCodec) await() error {
	c.conn.SetReadDeadline(time.Time{})
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(c.limits.Frame))
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(v any) error {
	if in, ok := v.(*incoming); ok {
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
