package scheduler

import (
	"math/bits"

	"github.com/skylarklock/skylarklock/api"
)

// The index keeps VMs in buckets of spare capacity, so that a search reads
// bitmaps instead of VMs. Processor and memory levels grow by a quarter of
// an octave: a VM of a higher level than the need certainly fits it, one of
// the same level may.
const (
	levelCount      = 64
	milliCPUUnit    = 125 // milli_cpu below which a VM counts as level 0
	memoryUnit      = 128 // MB, likewise
	topAccelerators = 8   // VMs with more spare accelerators share a level
)

// level returns the bucket level of an amount in whole units; it never
// falls as units grow.
func level(units int64) int {
	if units <= 0 {
		return 0
	}
	length := bits.Len64(uint64(units))
	quarter := (units << 2 >> (length - 1)) & 3
	return min(1+4*(length-1)+int(quarter), levelCount-1)
}

// cellAt is the place of a VM in a partition.
type cellAt struct {
	accelerators uint8
	milliCPU     uint8
	memory       uint8
}

func cellOf(r api.Resources) cellAt {
	return cellAt{
		accelerators: uint8(min(max(r.Accelerators, 0), topAccelerators)),
		milliCPU:     uint8(level(r.MilliCPU / milliCPUUnit)),
		memory:       uint8(level(r.MemoryMB / memoryUnit)),
	}
}

// row is the buckets of one processor level.
type row struct {
	filled  uint64 // bit m: buckets[m] has VMs
	buckets [levelCount][]*vmState
}

// partition is the index of one data centre's VMs, either those with
// accelerators or those without.
type partition struct {
	rows   [topAccelerators + 1][levelCount]*row
	filled [topAccelerators + 1]uint64 // bit c: rows[a][c] has VMs
	size   int
}

func (p *partition) insert(v *vmState) {
	at := cellOf(v.spare())
	r := p.rows[at.accelerators][at.milliCPU]
	if r == nil {
		r = &row{}
		p.rows[at.accelerators][at.milliCPU] = r
	}
	v.part = p
	v.at = at
	v.pos = len(r.buckets[at.memory])
	r.buckets[at.memory] = append(r.buckets[at.memory], v)
	r.filled |= 1 << at.memory
	p.filled[at.accelerators] |= 1 << at.milliCPU
	p.size++
}

func (p *partition) remove(v *vmState) {
	r := p.rows[v.at.accelerators][v.at.milliCPU]
	bucket := r.buckets[v.at.memory]
	last := len(bucket) - 1
	bucket[v.pos] = bucket[last]
	bucket[v.pos].pos = v.pos
	bucket[last] = nil
	r.buckets[v.at.memory] = bucket[:last]
	if last == 0 {
		r.filled &^= 1 << v.at.memory
	}
	if r.filled == 0 {
		p.filled[v.at.accelerators] &^= 1 << v.at.milliCPU
	}
	p.size--
	v.part = nil
}

// update moves v to the bucket of its spare capacity.
func (p *partition) update(v *vmState) {
	if cellOf(v.spare()) == v.at {
		return
	}
	p.remove(v)
	p.insert(v)
}

// walk visits VMs that may hold need, the tightest levels first, until visit
// returns false. It looks at no more than perBucket VMs of a bucket, from
// the offset start; zero means all. It reports whether it ran to the end.
func (p *partition) walk(need api.Resources, perBucket int, start uint32, visit func(*vmState) bool) bool {
	at := cellOf(need)
	for a := at.accelerators; a <= topAccelerators; a++ {
		for rows := p.filled[a] >> at.milliCPU << at.milliCPU; rows != 0; rows &= rows - 1 {
			r := p.rows[a][bits.TrailingZeros64(rows)]
			if !r.walk(at.memory, perBucket, start, visit) {
				return false
			}
		}
	}
	return true
}

func (r *row) walk(memory uint8, perBucket int, start uint32, visit func(*vmState) bool) bool {
	for filled := r.filled >> memory << memory; filled != 0; filled &= filled - 1 {
		bucket := r.buckets[bits.TrailingZeros64(filled)]
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
