package core

import "agatewinch/internal/core/cell"

// amount is processors, memory and slots of one worker.
type amount struct {
	cpu    int
	memory int64
	slots  int
}

func (a *amount) add(b amount) {
	a.cpu += b.cpu
	a.memory += b.memory
	a.slots += b.slots
}

// shareOf is the part of the worker's processors, memory and slots that goes with n of
// its accelerators.
func (w *worker) shareOf(n int) amount {
	if n == 0 || w.def.Accelerators == 0 {
		return amount{}
	}
	all := w.def.Accelerators
	return amount{
		cpu:    w.def.CPU * n / all,
		memory: w.def.MemoryBytes * int64(n) / int64(all),
		slots:  max(w.def.Slots*n/all, 1),
	}
}

// excess is what a task of org o takes beyond the share of o's own guaranteed cells
// that it sits on.
func (w *worker) excess(o *org, s Shape, cells uint64) amount {
	own := w.shareOf(cell.Count(cells & o.bound[w.def.ID]))
	return amount{
		cpu:    max(s.CPU-own.cpu, 0),
		memory: max(s.MemoryBytes-own.memory, 0),
		slots:  max(1-own.slots, 0),
	}
}

// protects reports whether tasks of shape s on these cells, which cannot be stopped,
// leave every organisation the share of the worker that goes with its guaranteed cells.
func (w *worker) protects(o *org, s Shape, cells ...uint64) bool {
	kept := w.shareOf(cell.Count(w.bound))
	sum := w.hard
	for _, m := range cells {
		sum.add(w.excess(o, s, m))
	}
	return sum.cpu <= w.def.CPU-kept.cpu &&
		sum.memory <= w.def.MemoryBytes-kept.memory &&
		sum.slots <= w.def.Slots-kept.slots
}

// reclaimable returns the accelerators of w that organisations other than o may
// reclaim. Nothing that cannot be stopped is placed there.
func (w *worker) reclaimable(o *org) uint64 { return w.bound &^ o.bound[w.def.ID] }
