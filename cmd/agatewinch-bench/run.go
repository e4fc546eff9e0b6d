package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/bench"
)

type runOptions struct {
	targetsFile string
	scenario    string
	policies    []string
	size        string
	seed        uint64
	leaseTTL    time.Duration
	jsonOutput  bool
	jobsPrefix  string
}

func runCmd() *cobra.Command {
	var o runOptions
	cmd := &cobra.Command{Use: "run", Short: "Run one scenario against running clusters, one for each policy, at the same time", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.StringVar(&o.targetsFile, "targets", "build/bench/targets.yaml", "file with the clusters, as written by prepare")
	flags.StringVar(&o.scenario, "scenario", "haneul", "scenario: haneul, vatuwaqa, reclaim or liars")
	flags.StringSliceVar(&o.policies, "policy", []string{"fifo", "guaranteed"}, "policies to measure")
	flags.StringVar(&o.size, "size", "haneul", "name of the fleet size, recorded in the result")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the workload")
	flags.DurationVar(&o.leaseTTL, "lease", 6*time.Second, "lease TTL of the schedulers")
	flags.BoolVar(&o.jsonOutput, "json", false, "print JSON lines")
	flags.StringVar(&o.jobsPrefix, "jobs", "", "path prefix: also write the timeline of each job, and the ledger, as JSON lines")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context()) }
	return cmd
}

func (o runOptions) run(ctx context.Context) error {
	scenario, err := findScenario(o.scenario)
	if err != nil {
		return trace.Wrap(err)
	}
	targets, err := readTargets(o.targetsFile)
	if err != nil {
		return trace.Wrap(err)
	}
	lines := make([]bench.Line, len(o.policies))
	group, ctx := errgroup.WithContext(ctx)
	for i, policy := range o.policies {
		target, ok := targets[policy]
		if !ok {
			return trace.NotFound("no cluster for policy %q in %s", policy, o.targetsFile)
		}
		group.Go(func() error {
			line, err := o.measure(ctx, scenario, target)
			lines[i] = line
			return trace.Wrap(err)
		})
	}
	if err := group.Wait(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(o.print(lines))
}

func (o runOptions) print(lines []bench.Line) error {
	for _, line := range lines {
		if !o.jsonOutput {
			fmt.Printf("%s %s seed %d: completion p95 %.2f s, small completion p95 %.2f s, fragmentation %.2f, kept work ratio %.2f, counts %+v\n", line.Scenario, line.Policy,
				line.Seed, line.CompletionP95, line.SmallCompletionP95, line.Fragmentation, line.KeptWorkRatio, line.Counts)
			continue
		}
		if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func findScenario(name string) (bench.Scenario, error) {
	for _, s := range bench.Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return bench.Scenario{}, trace.NotFound("no scenario %q", name)
}

func readTargets(path string) (map[string]bench.Target, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var list []bench.Target
	if err := yaml.Unmarshal(data, &list); err != nil {
		return nil, trace.Wrap(err)
	}
	targets := map[string]bench.Target{}
	for _, t := range list {
		targets[t.Policy] = t
	}
	return targets, nil
}

// measure runs the workload of a scenario and computes its metrics. For the scenario
// vatuwaqa it first runs the workload without its flood, as the baseline for the kept-work
// ratio.
func (o runOptions) measure(ctx context.Context, s bench.Scenario, target bench.Target) (bench.Line, error) {
	prefix := s.Name + strconv.FormatUint(o.seed, 10) + "-"
	workload := bench.Build(s, o.seed, true)
	driver := bench.NewDriver(target, prefix)
	if err := driver.PrepareWorkers(ctx, workload.FailingWorkers); err != nil {
		return bench.Line{}, trace.Wrap(err)
	}
	var baseline []bench.Result
	if s.Name == "vatuwaqa" {
		baseline = bench.NewDriver(target, "base-"+prefix).Run(ctx, bench.Build(s, o.seed, false))
	}
	earlier, err := driver.Ledger(ctx, 0)
	if err != nil {
		return bench.Line{}, trace.Wrap(err)
	}
	results := driver.Run(ctx, workload)
	ledger, err := driver.Ledger(ctx, len(earlier))
	if err != nil {
		return bench.Line{}, trace.Wrap(err)
	}
	if o.jobsPrefix != "" {
		if err := writeLines(o.jobsPrefix+"-"+target.Policy+".jsonl", bench.JobTraces(results, ledger)); err != nil {
			return bench.Line{}, trace.Wrap(err)
		}
		if err := writeLines(o.jobsPrefix+"-"+target.Policy+"-ledger.jsonl", ledger); err != nil {
			return bench.Line{}, trace.Wrap(err)
		}
	}
	line := bench.Measure(workload, results, baseline, ledger, o.leaseTTL)
	line.Policy, line.Scenario, line.Seed, line.Size = target.Policy, s.Name, o.seed, o.size
	return line, nil
}

func writeLines[T any](path string, lines []T) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	enc := json.NewEncoder(file)
	for _, line := range lines {
		if err := enc.Encode(line); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(file.Close())
}
