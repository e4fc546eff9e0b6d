package estimate

import (
	"cmp"
	"slices"
)

// Learned summarizes what is known of the run times of a kind of any size.
type Learned struct {
	Org, Queue, Image string
	// Runs is the number of runs that count now.
	Runs int64
	// Median and High are the median and the nine-tenths quantile of the ratio of run time to declared time.
	Median, High float64
}

// Learned returns the organisations, queues and images of which enough is known, in their order.
func (m *Model) Learned() []Learned {
	var all []Learned
	for k, d := range m.distributions {
		if k.Org != "" && k.Size == anySize && !k.undeclared && d.knows(0.9) {
			all = append(all, Learned{k.Org, k.Queue, k.Image, d.count(), d.quantile(0.5, m.scratch), d.quantile(0.9, m.scratch)})
		}
	}
	slices.SortFunc(all, func(a, b Learned) int {
		return cmp.Or(cmp.Compare(a.Org, b.Org), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image))
	})
	return all
}
