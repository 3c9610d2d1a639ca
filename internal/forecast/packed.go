package forecast

// packed is an amount of capacity in one word, with the processors in the upper half and the
// memory in the lower one. Either may be negative. Sums and comparisons of buckets, of which a
// build does some 200,000, thereby take one operation instead of two.
//
// Amounts must be within 2,000,000 processors and 2,000,000 GB.
type packed int64

// lowerSign is the sign of the memory and upperSign that of the processors.
const (
	lowerSign = 1 << 31
	upperSign = -1 << 63
)

// maxPart bounds the parts of an amount, so that differences fit as well.
const maxPart = 1<<30 - 1

// pack packs an amount. Parts that are too large are taken for the largest that can be packed.
func (c Capacity) pack() packed {
	return packed(min(c.MilliCPU, maxPart)<<32 + min(c.MemoryMB, maxPart))
}

// unpack returns the amount.
func (p packed) unpack() Capacity {
	memory := int64(int32(p))
	return Capacity{MilliCPU: (int64(p) - memory) >> 32, MemoryMB: memory}
}

// holds reports whether the amount is at least o in both parts. A negative difference of the
// memory borrows from the processors, but its own sign is then set.
func (p packed) holds(o packed) bool { return (p-o)&(lowerSign|upperSign) == 0 }
