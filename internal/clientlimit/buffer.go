package clientlimit

import (
	"math/bits"
	"sync"
)

// bufferPools hold buffers for bodies by the binary logarithm of their size. Without them a crowd of large bodies
// leaves garbage faster than it is collected on a busy machine.
var bufferPools [maxPooledLog + 1]sync.Pool

// maxPooledLog is the binary logarithm of the size of the largest buffers that are kept, in bytes.
const maxPooledLog = 20

// newBuffer returns an empty buffer whose capacity is a power of two.
func newBuffer(capacity int64) []byte {
	log := bits.Len64(uint64(capacity - 1))
	if log <= maxPooledLog {
		if b, ok := bufferPools[log].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, 1<<log)
}

// freeBuffer keeps a buffer of newBuffer for reuse.
func freeBuffer(b []byte) {
	if log := bits.Len64(uint64(cap(b) - 1)); log <= maxPooledLog {
		bufferPools[log].Put(&b)
	}
}
