package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/api"
	"agatewinch/internal/core"
	"agatewinch/internal/metrics"
)

func generation(n int64) core.Generation { return core.Generation(n) }

func unreachableTable(addrs []string) []*table {
	if len(addrs) == 0 {
		return nil
	}
	t := &table{header: []string{"UNREACHABLE SCHEDULER"}}
	for _, addr := range addrs {
		t.add(addr)
	}
	return []*table{t}
}

func (a *app) statusCmd() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the schedulers and their workers", Args: cobra.NoArgs,
		Example: "  agatewinchctl status\n  agatewinchctl status -o json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var answer api.StatusAnswer
			if err := a.call(cmd.Context(), http.MethodGet, api.PathStatus, nil, &answer); err != nil {
				return err
			}
			workers := &table{header: []string{"WORKER", "RACK", "HEALTH", "TASKS"}}
			for _, s := range answer.Schedulers {
				for _, w := range s.Workers {
					workers.add(w.Worker, w.Rack, w.Health, w.Tasks)
				}
			}
			tables := []*table{schedulerTable(answer), workers}
			return a.print(answer, append(tables, unreachableTable(answer.Unreachable)...)...)
		},
	}
}

func schedulerTable(answer api.StatusAnswer) *table {
	t := &table{header: []string{"ZONE", "HOST", "ACTIVE", "TERM", "LOG", "GENERATION", "QUEUED", "RUNNING", "FREE", "LARGEST CELL"}}
	for _, s := range answer.Schedulers {
		log := "up"
		if !s.LogUp {
			log = "away"
		}
		t.add(s.Zone, s.Host, s.Active, s.Term, log, s.Generation, s.Load.Queued, s.Load.Running, s.Load.FreeAccelerators, s.Load.LargestFreeCell)
	}
	return t
}

func (a *app) drainCmd() *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use: "drain HOST", Short: "Stop placing new work on a worker's host, or allow it again", Args: cobra.ExactArgs(1),
		Example: "  agatewinchctl drain kr-a-r1-w1\n  agatewinchctl drain kr-a-r1-w1 --undo",
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "let the host accept work again")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		method := http.MethodPut
		if undo {
			method = http.MethodDelete
		}
		var answer api.DrainAnswer
		if err := a.call(cmd.Context(), method, api.PathDrains+"/"+url.PathEscape(args[0]), nil, &answer); err != nil {
			return err
		}
		t := &table{header: []string{"HOST", "DRAINING", "SCHEDULERS"}}
		t.add(answer.Host, answer.Draining, answer.Schedulers)
		return a.print(answer, append([]*table{t}, unreachableTable(answer.Unreachable)...)...)
	}
	return cmd
}

const defaultTopInterval = 2 * time.Second

// topView is the data of one refresh of top.
type topView struct {
	Status  api.StatusAnswer `json:"status"`
	Metrics metrics.Snapshot `json:"metrics"`
}

func (a *app) topCmd() *cobra.Command {
	var interval time.Duration
	var once bool
	cmd := &cobra.Command{
		Use: "top", Short: "Watch load, latencies and errors", Args: cobra.NoArgs,
		Long: "Watch the schedulers' load, the latencies of each organisation and class over the last one to two\n" +
			"minutes, and the number of the gate's error responses by kind since it started.",
		Example: "  agatewinchctl top\n  agatewinchctl top --once -o json",
	}
	cmd.Flags().DurationVar(&interval, "interval", defaultTopInterval, "time between refreshes")
	cmd.Flags().BoolVar(&once, "once", false, "print once and exit")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if interval <= 0 {
			return usageError{trace.BadParameter("--interval must be greater than 0")}
		}
		return a.top(cmd.Context(), interval, once)
	}
	return cmd
}

func (a *app) top(ctx context.Context, interval time.Duration, once bool) error {
	for {
		view, err := a.fetchTopView(ctx)
		if err != nil {
			return err
		}
		if err := a.print(view, schedulerTable(view.Status), latencyTable(view.Metrics), errorsTable(view.Metrics)); err != nil || once {
			return err
		}
		_, _ = fmt.Fprintln(a.out)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *app) fetchTopView(ctx context.Context) (topView, error) {
	var view topView
	if err := a.call(ctx, http.MethodGet, api.PathStatus, nil, &view.Status); err != nil {
		return view, err
	}
	var vars api.VarsAnswer
	err := a.call(ctx, http.MethodGet, api.PathVars, nil, &vars)
	view.Metrics = vars.Agatewinch
	for _, s := range view.Status.Schedulers {
		view.Metrics.Series = append(view.Metrics.Series, s.Metrics...)
	}
	return view, err
}

func latencyTable(m metrics.Snapshot) *table {
	t := &table{header: []string{"ORGANISATION", "CLASS", "SOURCE", "TIME", "COUNT", "P50 s", "P95 s", "P99 s", "MAX s"}}
	slices.SortStableFunc(m.Series, func(a, b metrics.Row) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Source, b.Source))
	})
	for _, row := range m.Series {
		r := row.Recent
		t.add(row.Organisation, row.Class, row.Source, row.Measure, r.Count, r.P50, r.P95, r.P99, r.Max)
	}
	return t
}

func errorsTable(m metrics.Snapshot) *table {
	t := &table{header: []string{"ERROR", "COUNT"}}
	for _, kind := range slices.Sorted(maps.Keys(m.Errors)) {
		t.add(kind, m.Errors[kind])
	}
	return t
}
