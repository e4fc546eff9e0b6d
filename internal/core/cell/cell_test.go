package cell

import (
	"testing"

	"pgregory.net/rapid"

	_ "agatewinch/test/rapidseed"
)

// TestBestFitReturnsFreeCellOfRequestedSize checks that BestFit finds a cell exactly when FirstFit
// does, that the cell is free and of the right size, and that its block size is within bounds.
func TestBestFitReturnsFreeCellOfRequestedSize(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		width := rapid.SampledFrom([]int{4, 8, 16}).Draw(rt, "width")
		free := rapid.Uint64().Draw(rt, "free") & Mask(0, width)
		size := rapid.IntRange(1, width).Draw(rt, "size")
		m, block, ok := BestFit(free, width, size)
		_, first := FirstFit(free, width, size)
		if ok != first {
			rt.Fatalf("BestFit found a cell: %v; FirstFit: %v", ok, first)
		}
		if !ok {
			return
		}
		if free&m != m || Count(m) != size {
			rt.Fatalf("cell %b is not %d free accelerators of %b", m, size, free)
		}
		if block < size || block > max(Block(size), Largest(free, width)) {
			rt.Fatalf("block of %d for a cell of %d in %b is out of bounds", block, size, free)
		}
	})
}

// TestFreedCellsMergeIntoOneBlock allocates cells of random sizes and frees them all, which
// must leave one free block of the whole width.
func TestFreedCellsMergeIntoOneBlock(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const width = 8
		free := Mask(0, width)
		var taken []uint64
		for range rapid.IntRange(1, 10).Draw(rt, "n") {
			size := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "size")
			if m, _, ok := BestFit(free, width, size); ok {
				free &^= m
				taken = append(taken, m)
			}
		}
		for _, m := range taken {
			free |= m
		}
		if Largest(free, width) != width {
			rt.Fatalf("free accelerators %b do not form one block after all cells were freed", free)
		}
	})
}
