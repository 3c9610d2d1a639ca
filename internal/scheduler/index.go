package scheduler

import (
	"math/bits"

	"github.com/skylarklock/skylarklock/api"
)

// The index keeps VMs in buckets by available capacity, so that a search reads
// bitmaps instead of VMs. Processor and memory levels grow by a quarter of an
// octave: a VM of a higher level than the need certainly fits it, a VM of the
// same level may fit it.
const (
	levelCount      = 64
	milliCPUUnit    = 125 // milli_cpu below which the level is 0
	memoryUnit      = 128 // MB below which the level is 0
	topAccelerators = 8   // VMs with more available accelerators share this level
)

// level returns the bucket level of an amount in whole units. It never
// decreases as units grow.
func level(units int64) int {
	if units <= 0 {
		return 0
	}
	length := bits.Len64(uint64(units))
	quarter := (units << 2 >> (length - 1)) & 3
	return min(1+4*(length-1)+int(quarter), levelCount-1)
}

// bucketKey identifies a bucket by its levels.
type bucketKey struct {
	accelerators uint8
	milliCPU     uint8
	memory       uint8
}

func bucketOf(r api.Resources) bucketKey {
	return bucketKey{
		accelerators: uint8(min(max(r.Accelerators, 0), topAccelerators)),
		milliCPU:     uint8(level(r.MilliCPU / milliCPUUnit)),
		memory:       uint8(level(r.MemoryMB / memoryUnit)),
	}
}

// row contains the buckets of one accelerator and processor level.
type row struct {
	filledMemory uint64 // bit m: buckets[m] has VMs
	buckets      [levelCount][]*vmState
}

// partition indexes the VMs of one data centre, either those with accelerators or
// those without.
type partition struct {
	rows      [topAccelerators + 1][levelCount]*row
	filledCPU [topAccelerators + 1]uint64 // bit c: rows[a][c] has VMs
	size      int
}

func (p *partition) insert(v *vmState) {
	bucketAt := bucketOf(v.available())
	r := p.rows[bucketAt.accelerators][bucketAt.milliCPU]
	if r == nil {
		r = &row{}
		p.rows[bucketAt.accelerators][bucketAt.milliCPU] = r
	}
	v.indexPartition = p
	v.bucketAt = bucketAt
	v.bucketPos = len(r.buckets[bucketAt.memory])
	r.buckets[bucketAt.memory] = append(r.buckets[bucketAt.memory], v)
	r.filledMemory |= 1 << bucketAt.memory
	p.filledCPU[bucketAt.accelerators] |= 1 << bucketAt.milliCPU
	p.size++
}

func (p *partition) remove(v *vmState) {
	r := p.rows[v.bucketAt.accelerators][v.bucketAt.milliCPU]
	bucket := r.buckets[v.bucketAt.memory]
	last := len(bucket) - 1
	bucket[v.bucketPos] = bucket[last]
	bucket[v.bucketPos].bucketPos = v.bucketPos
	bucket[last] = nil
	r.buckets[v.bucketAt.memory] = bucket[:last]
	if last == 0 {
		r.filledMemory &^= 1 << v.bucketAt.memory
	}
	if r.filledMemory == 0 {
		p.filledCPU[v.bucketAt.accelerators] &^= 1 << v.bucketAt.milliCPU
	}
	p.size--
	v.indexPartition = nil
}

// update moves v to the bucket of its available capacity.
func (p *partition) update(v *vmState) {
	if bucketOf(v.available()) == v.bucketAt {
		return
	}
	p.remove(v)
	p.insert(v)
}

// walk visits VMs that may fit need, the lowest levels first, until visit returns
// false. It visits at most perBucket VMs of a bucket, starting at offset start; a
// perBucket of zero means all. It reports whether visit never returned false.
func (p *partition) walk(need api.Resources, perBucket int, start uint32, visit func(*vmState) bool) bool {
	at := bucketOf(need)
	for a := at.accelerators; a <= topAccelerators; a++ {
		for cpuLevels := p.filledCPU[a] >> at.milliCPU << at.milliCPU; cpuLevels != 0; cpuLevels &= cpuLevels - 1 {
			r := p.rows[a][bits.TrailingZeros64(cpuLevels)]
			if !r.walk(at.memory, perBucket, start, visit) {
				return false
			}
		}
	}
	return true
}

func (r *row) walk(memory uint8, perBucket int, start uint32, visit func(*vmState) bool) bool {
	for filledMemory := r.filledMemory >> memory << memory; filledMemory != 0; filledMemory &= filledMemory - 1 {
		bucket := r.buckets[bits.TrailingZeros64(filledMemory)]
		count := len(bucket)
		if perBucket > 0 {
			count = min(count, perBucket)
		}
		at := int(start) % len(bucket)
		for range count {
			if !visit(bucket[at]) {
				return false
			}
			at++
			if at == len(bucket) {
				at = 0
			}
		}
	}
	return true
}

func highestBit(set uint64) int {
	return bits.Len64(set) - 1
}
