package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// lengthBytes is the size of the big-endian length before each frame.
const lengthBytes = 4

// header precedes the body in each frame.
type header struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Method string // "Service.Method"
	Error  string // in answers only; then there is no body
}

// encodeFrame returns the frame of h and body, at most limit bytes long
// without its length. It fails with ErrTooLarge or an encoder's error.
func encodeFrame(h header, body any, limit int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthBytes))
	enc := cbor.NewEncoder(&buf)
	if err := enc.Encode(h); err != nil {
		return nil, err
	}
	if body != nil {
		if err := enc.Encode(body); err != nil {
			return nil, err
		}
	}
	size := buf.Len() - lengthBytes
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, limit)
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// frame is one frame as read.
type frame struct {
	header
	body []byte
	size int64 // bytes on the connection
}

// readFrame reads one frame of at most limit bytes and splits it. Memory
// grows with the bytes that arrive, not with the length that is announced.
func readFrame(r *bufio.Reader, limit int) (frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return frame{}, err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > int64(limit) {
		return frame{}, fmt.Errorf("%w: %w: %d bytes announced", ErrMalformed, ErrTooLarge, size)
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, size); err != nil {
		return frame{}, err
	}
	f := frame{size: lengthBytes + size}
	body, err := cbor.UnmarshalFirst(buf.Bytes(), &f.header)
	if err != nil {
		return frame{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	f.body = body
	return f, nil
}

// decodeBody decodes body into v; nil discards it.
func decodeBody(body []byte, v any) error {
	if v == nil {
		return nil
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
