// Package cell allocates adjacent accelerators of one worker by the buddy method: a cell of
// n accelerators starts at a multiple of n rounded up to a power of two, so that two
// neighbouring cells form one block again when both are free. The method is that of the
// memory allocator of Knowlton (CACM 8(10), 1965), used for accelerators by HiveD
// (OSDI 2020). Bit i of a set stands for accelerator i.
package cell

import "math/bits"

// MaxWidth is the largest number of accelerators on a worker, one for each bit of a set.
const MaxWidth = 64

// Block returns the size of the buddy block for a cell of size accelerators: size rounded
// up to a power of two.
func Block(size int) int {
	if size <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(size-1))
}

// Mask returns the set of size accelerators from offset on.
func Mask(offset, size int) uint64 {
	if size >= MaxWidth {
		return ^uint64(0)
	}
	return (uint64(1)<<size - 1) << offset
}

// Count returns the number of accelerators in set.
func Count(set uint64) int { return bits.OnesCount64(set) }

// BestFit returns an aligned cell of size accelerators within free. Of several it takes
// the first in the smallest free block, so that large blocks stay whole. The second
// result is the size of that block; the third is false when there is no such cell.
func BestFit(free uint64, width, size int) (uint64, int, bool) {
	if size == 0 {
		return 0, 0, true
	}
	step := Block(size)
	best, bestBlock := uint64(0), MaxWidth+1
	for off := 0; off+size <= width; off += step {
		m := Mask(off, size)
		if free&m != m {
			continue
		}
		if b := enclosing(free, width, off, step); b < bestBlock {
			best, bestBlock = m, b
		}
	}
	return best, bestBlock, bestBlock <= MaxWidth
}

// enclosing returns the size of the largest aligned free block around offset, at least size.
func enclosing(free uint64, width, offset, size int) int {
	for next := size * 2; next <= width; next *= 2 {
		start := offset / next * next
		m := Mask(start, next)
		if start+next > width || free&m != m {
			return size
		}
		size = next
	}
	return size
}

// FirstFit returns the first aligned cell of size accelerators within free.
func FirstFit(free uint64, width, size int) (uint64, bool) {
	if size == 0 {
		return 0, true
	}
	for off := 0; off+size <= width; off += Block(size) {
		if m := Mask(off, size); free&m == m {
			return m, true
		}
	}
	return 0, false
}

// Largest returns the size of the largest free block: an aligned power of two, or the whole
// width.
func Largest(free uint64, width int) int {
	for size := width; size > 0; size-- {
		if size&(size-1) != 0 && size != width {
			continue
		}
		if _, ok := FirstFit(free, width, size); ok {
			return size
		}
	}
	return 0
}
