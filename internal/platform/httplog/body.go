package httplog

import (
	"bytes"
	"io"
)

// body hides the type of its reader from net/http, which would otherwise set
// Request.GetBody and with it gain the means to send the request again.
type body struct {
	io.Reader
}

func newBody(data []byte) io.ReadCloser {
	return &body{Reader: bytes.NewReader(data)}
}

// Close implements io.Closer.
func (*body) Close() error { return nil }
