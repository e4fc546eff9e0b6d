package bench

import (
	"math/bits"
	"sort"
	"strings"
	"time"

	"agatewinch/internal/audit"
	"agatewinch/internal/core"
)

const acceleratorsPerWorker = 8

// cellChange is the start or the end of a task's use of a cell.
type cellChange struct {
	at      time.Duration
	worker  core.WorkerID
	cell    core.Cell
	acquire bool
}

// fragmentation returns two time-weighted means: of 1 − (accelerators of the largest placeable
// gang / free accelerators), and of the share of accelerators in use. They cover the time from the
// first start to the last change of a cell, but at most as long as the arrivals took. The largest
// gang that a zone can hold takes all of its entirely free workers.
func fragmentation(runs []*audit.Run, results []Result) (frag, used float64) {
	changes := cellChanges(runs)
	if len(changes) == 0 || len(results) == 0 {
		return 0, 0
	}
	last := results[len(results)-1].At
	fleet := newFleet()
	begin := changes[0].at
	var total time.Duration
	for i, c := range changes {
		if c.at > begin+last {
			break
		}
		fleet.apply(c)
		if i+1 == len(changes) {
			break
		}
		span := min(changes[i+1].at, begin+last) - c.at
		frag += fleet.fragmentation() * span.Seconds()
		used += fleet.inUse() * span.Seconds()
		total += span
	}
	if total == 0 {
		return 0, 0
	}
	return frag / total.Seconds(), used / total.Seconds()
}

func cellChanges(runs []*audit.Run) []cellChange {
	var all []cellChange
	for _, r := range runs {
		for _, t := range r.Tasks {
			all = append(all, cellChange{t.Start, t.Worker, t.Cell, true})
			if t.Stop > 0 {
				all = append(all, cellChange{t.Stop, t.Worker, t.Cell, false})
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// fleet holds the accelerators in use on each worker. All sizes have the same workers.
type fleet struct{ used map[core.WorkerID]core.Cell }

func newFleet() *fleet {
	f := &fleet{used: map[core.WorkerID]core.Cell{}}
	for _, r := range Sizes()[0].Set().Racks {
		for _, w := range r.Workers {
			f.used[core.WorkerID(w.Name)] = 0
		}
	}
	return f
}

func (f *fleet) apply(c cellChange) {
	if c.acquire {
		f.used[c.worker] |= c.cell
		return
	}
	f.used[c.worker] &^= c.cell
}

// inUse returns the share of accelerators in use.
func (f *fleet) inUse() float64 {
	n := 0
	for _, cell := range f.used {
		n += bits.OnesCount64(uint64(cell))
	}
	return float64(n) / float64(len(f.used)*acceleratorsPerWorker)
}

// fragmentation returns the mean fragmentation of the zones, weighted by their free
// accelerators.
func (f *fleet) fragmentation() float64 {
	free, whole := map[string]int{}, map[string]int{}
	for id, cell := range f.used {
		zone := string(id)[:strings.LastIndex(string(id), "-")]
		n := acceleratorsPerWorker - bits.OnesCount64(uint64(cell))
		free[zone] += n
		if n == acceleratorsPerWorker {
			whole[zone] += n
		}
	}
	sum, wholeSum := 0, 0
	for zone := range free {
		sum += free[zone]
		wholeSum += whole[zone]
	}
	if sum == 0 {
		return 0
	}
	return 1 - float64(wholeSum)/float64(sum)
}
