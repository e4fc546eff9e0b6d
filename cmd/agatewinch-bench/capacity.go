package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/capacity"
)

type capacityOptions struct {
	dir       string
	step      string
	firstPort int
	window    time.Duration
}

func capacityCmd() *cobra.Command {
	o := &capacityOptions{}
	cmd := &cobra.Command{Use: "capacity", Short: "Measure the cost of each role as a function of the size of the system"}
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.dir, "dir", "build/capacity", "directory of settings and results")
	flags.StringVar(&o.step, "step", "", "name of the measurement")
	flags.IntVar(&o.firstPort, "first-port", 14000, "first port on loopback")
	flags.DurationVar(&o.window, "window", 15*time.Second, "how long costs are measured")
	cmd.AddCommand(
		&cobra.Command{Use: "steps", Short: "List the measurements", Args: cobra.NoArgs, Run: func(*cobra.Command, []string) { printSteps() }},
		&cobra.Command{Use: "prepare", Short: "Write the settings of one measurement", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return o.prepare() }},
		&cobra.Command{Use: "sample", Short: "Measure running processes and print JSON lines", Args: cobra.NoArgs, RunE: o.sample},
		&cobra.Command{Use: "report", Short: "Print the tables and write the plots from points.jsonl", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return o.report() }},
	)
	return cmd
}

func printSteps() {
	for _, s := range capacity.Steps() {
		fmt.Println(s.Name)
	}
}

func (o *capacityOptions) newRun() (*capacity.Run, error) {
	step, ok := capacity.FindStep(o.step)
	if !ok {
		return nil, trace.NotFound("no measurement named %q", o.step)
	}
	return capacity.NewRun(filepath.Join(o.dir, o.step), step, o.firstPort, o.window), nil
}

func (o *capacityOptions) prepare() error {
	run, err := o.newRun()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(run.Write())
}

func (o *capacityOptions) sample(cmd *cobra.Command, _ []string) error {
	run, err := o.newRun()
	if err != nil {
		return trace.Wrap(err)
	}
	points, err := run.Measure(cmd.Context())
	if err != nil {
		return trace.Wrap(err)
	}
	for _, p := range points {
		if err := json.NewEncoder(os.Stdout).Encode(p); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (o *capacityOptions) report() error {
	data, err := os.ReadFile(filepath.Join(o.dir, "points.jsonl"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	points, err := capacity.ReadPoints(bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Print(capacity.Markdown(points))
	var page bytes.Buffer
	if err := capacity.WritePlots(&page, points); err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(o.dir, "report.html"), page.Bytes(), 0o644))
}
