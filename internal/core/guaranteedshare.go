package core

import "agatewinch/internal/core/cell"

// workerResources is a quantity of processor cores, memory and slots of one worker.
type workerResources struct {
	cpu    int
	memory int64
	slots  int
}

func (a *workerResources) add(b workerResources) {
	a.cpu += b.cpu
	a.memory += b.memory
	a.slots += b.slots
}

// proportionalShare returns the part of the worker's processor cores, memory and slots that goes
// with n of its accelerators, with at least one slot unless n is zero.
func (w *worker) proportionalShare(n int) workerResources {
	if n == 0 || w.def.Accelerators == 0 {
		return workerResources{}
	}
	all := w.def.Accelerators
	return workerResources{
		cpu:    w.def.CPU * n / all,
		memory: w.def.MemoryBytes * int64(n) / int64(all),
		slots:  max(w.def.Slots*n/all, 1),
	}
}

// excessOverShare returns what a task of organisation o uses beyond the proportional share of those
// of its accelerators that are guaranteed to o.
func (w *worker) excessOverShare(o *org, s Shape, cells uint64) workerResources {
	own := w.proportionalShare(cell.Count(cells & o.bound[w.def.ID]))
	return workerResources{
		cpu:    max(s.CPU-own.cpu, 0),
		memory: max(s.MemoryBytes-own.memory, 0),
		slots:  max(1-own.slots, 0),
	}
}

// leavesGuaranteedShares reports whether non-preemptible tasks of shape s on these cells
// leave every organisation the share of the worker that goes with its guaranteed cells.
func (w *worker) leavesGuaranteedShares(o *org, s Shape, cells ...uint64) bool {
	guaranteed := w.proportionalShare(cell.Count(w.bound))
	sum := w.nonPreemptibleExcess
	for _, m := range cells {
		sum.add(w.excessOverShare(o, s, m))
	}
	return sum.cpu <= w.def.CPU-guaranteed.cpu &&
		sum.memory <= w.def.MemoryBytes-guaranteed.memory &&
		sum.slots <= w.def.Slots-guaranteed.slots
}

// reclaimable returns the accelerators of w that organisations other than o may
// reclaim. Jobs that cannot be preempted are not placed there.
func (w *worker) reclaimable(o *org) uint64 { return w.bound &^ o.bound[w.def.ID] }
