package httplog

import (
	"bytes"
	"io"
)

// body hides the type of its reader from net/http. For a known type, net/http would set
// Request.GetBody, which lets the transport resend the request.
type body struct {
	io.Reader
}

func newBody(data []byte) io.ReadCloser {
	return &body{Reader: bytes.NewReader(data)}
}

// Close implements io.Closer.
func (*body) Close() error { return nil }
