package reqkey

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/api"
)

// Digest returns a hash of everything that identifies a request: caller,
// service, method, path with query, idempotency and body. Other headers are
// left out, because proxies on the way change them.
func Digest(req *api.Request) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{req.Caller, req.Service, req.Method, req.Path} {
		writeLength(&h, len(part))
		_, _ = h.WriteString(part)
	}
	writeFlag(&h, req.Idempotent)
	writeLength(&h, len(req.Body))
	_, _ = h.Write(req.Body)
	return h.Sum64()
}

// writeLength hashes the length of the next part, so that adjacent parts are
// delimited.
func writeLength(h *xxhash.Digest, n int) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(n))
	_, _ = h.Write(buf[:])
}

func writeFlag(h *xxhash.Digest, set bool) {
	flag := [1]byte{}
	if set {
		flag[0] = 1
	}
	_, _ = h.Write(flag[:])
}
