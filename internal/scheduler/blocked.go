package scheduler

import "math/bits"

// blockedIndex keeps the blocked shapes in cells by what they need, so that
// a VM that is freed finds those which may fit it without reading the rest.
type blockedIndex struct {
	cells  map[cellAt][]*shape
	rows   [topAccelerators + 1][levelCount]uint64 // bit m: the cell has shapes
	filled [topAccelerators + 1]uint64             // bit c: the row has shapes
}

// block enters s, unless it is there.
func (b *blockedIndex) block(s *shape) {
	if s.blocked {
		return
	}
	if b.cells == nil {
		b.cells = make(map[cellAt][]*shape)
	}
	at := cellOf(s.key.need)
	s.blocked = true
	s.blockedPos = len(b.cells[at])
	b.cells[at] = append(b.cells[at], s)
	b.rows[at.accelerators][at.milliCPU] |= 1 << at.memory
	b.filled[at.accelerators] |= 1 << at.milliCPU
}

// unblock takes s out, if it is there.
func (b *blockedIndex) unblock(s *shape) {
	if !s.blocked {
		return
	}
	at := cellOf(s.key.need)
	cell := b.cells[at]
	last := len(cell) - 1
	cell[s.blockedPos] = cell[last]
	cell[s.blockedPos].blockedPos = s.blockedPos
	cell[last] = nil
	s.blocked = false
	if last > 0 {
		b.cells[at] = cell[:last]
		return
	}
	delete(b.cells, at)
	b.rows[at.accelerators][at.milliCPU] &^= 1 << at.memory
	if b.rows[at.accelerators][at.milliCPU] == 0 {
		b.filled[at.accelerators] &^= 1 << at.milliCPU
	}
}

// fitting appends the shapes whose need fits free.
func (b *blockedIndex) fitting(found []*shape, v *vmState) []*shape {
	free := v.free()
	top := cellOf(free)
	for a := range top.accelerators + 1 {
		for rows := b.filled[a] & upTo(top.milliCPU); rows != 0; rows &= rows - 1 {
			c := uint8(bits.TrailingZeros64(rows))
			for cells := b.rows[a][c] & upTo(top.memory); cells != 0; cells &= cells - 1 {
				m := uint8(bits.TrailingZeros64(cells))
				for _, s := range b.cells[cellAt{accelerators: a, milliCPU: c, memory: m}] {
					if s.key.need.Fits(free) {
						found = append(found, s)
					}
				}
			}
		}
	}
	return found
}

// upTo returns a set of the levels up to top.
func upTo(top uint8) uint64 {
	return ^uint64(0) >> (levelCount - 1 - top)
}
