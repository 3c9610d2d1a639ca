package scheduler

import "math/bits"

// blockedIndex keeps the blocked shapes in buckets by their needs, so that the
// shapes that may fit a freed VM are found without reading the others.
type blockedIndex struct {
	buckets      map[bucketKey][]*shape
	filledMemory [topAccelerators + 1][levelCount]uint64 // bit m: the bucket at memory level m has shapes
	filledCPU    [topAccelerators + 1]uint64             // bit c: filledMemory[a][c] is not zero
}

// block adds s unless it is already blocked.
func (b *blockedIndex) block(s *shape) {
	if s.blocked {
		return
	}
	if b.buckets == nil {
		b.buckets = make(map[bucketKey][]*shape)
	}
	at := bucketOf(s.key.need)
	s.blocked = true
	s.blockedPos = len(b.buckets[at])
	b.buckets[at] = append(b.buckets[at], s)
	b.filledMemory[at.accelerators][at.milliCPU] |= 1 << at.memory
	b.filledCPU[at.accelerators] |= 1 << at.milliCPU
}

// unblock removes s if it is blocked.
func (b *blockedIndex) unblock(s *shape) {
	if !s.blocked {
		return
	}
	at := bucketOf(s.key.need)
	bucket := b.buckets[at]
	last := len(bucket) - 1
	bucket[s.blockedPos] = bucket[last]
	bucket[s.blockedPos].blockedPos = s.blockedPos
	bucket[last] = nil
	s.blocked = false
	if last > 0 {
		b.buckets[at] = bucket[:last]
		return
	}
	delete(b.buckets, at)
	b.filledMemory[at.accelerators][at.milliCPU] &^= 1 << at.memory
	if b.filledMemory[at.accelerators][at.milliCPU] == 0 {
		b.filledCPU[at.accelerators] &^= 1 << at.milliCPU
	}
}

// fitting appends the blocked shapes whose need fits the free capacity of v.
func (b *blockedIndex) fitting(found []*shape, v *vmState) []*shape {
	free := v.free()
	top := bucketOf(free)
	for a := range top.accelerators + 1 {
		for cpuLevels := b.filledCPU[a] & levelsUpTo(top.milliCPU); cpuLevels != 0; cpuLevels &= cpuLevels - 1 {
			c := uint8(bits.TrailingZeros64(cpuLevels))
			for memoryLevels := b.filledMemory[a][c] & levelsUpTo(top.memory); memoryLevels != 0; memoryLevels &= memoryLevels - 1 {
				m := uint8(bits.TrailingZeros64(memoryLevels))
				for _, s := range b.buckets[bucketKey{accelerators: a, milliCPU: c, memory: m}] {
					if s.key.need.Fits(free) {
						found = append(found, s)
					}
				}
			}
		}
	}
	return found
}

// levelsUpTo returns the set of levels from 0 to top.
func levelsUpTo(top uint8) uint64 {
	return ^uint64(0) >> (levelCount - 1 - top)
}
