package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// lengthBytes is the size of the big-endian length that precedes each frame.
const lengthBytes = 4

// header precedes the body in each frame.
type header struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Method string // "Service.Method"
	Error  string // only in answers; an answer with an error has no body
}

// encodeFrame returns the frame with h and body, preceded by its length. The frame may
// have at most limit bytes without the length. It fails with ErrTooLarge or an error
// of the encoder.
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

// frame is one frame that was read.
type frame struct {
	header
	body []byte
	size int64 // including the length
}

// readFrame reads one frame of at most limit bytes and splits it into header and body.
// It allocates memory as bytes arrive and not by the announced length.
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

// decodeBody decodes body into v. If v is nil, the body is discarded.
func decodeBody(body []byte, v any) error {
	if v == nil {
		return nil
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
