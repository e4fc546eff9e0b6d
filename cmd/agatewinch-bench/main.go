// Command agatewinch-bench puts load on real processes and measures them. Scheduling
// policies are compared side by side, each on a cluster of its own.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/bench"
)

func main() {
	root := &cobra.Command{Use: "agatewinch-bench", Short: "Measure agatewinch under load", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(prepareCmd(), runCmd(), reportCmd(), capacityCmd())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func prepareCmd() *cobra.Command {
	var dir, size string
	var policies []string
	var firstPort int
	cmd := &cobra.Command{Use: "prepare", Short: "Write the settings of one cluster for each policy", Args: cobra.NoArgs}
	flags := cmd.Flags()
	flags.StringVar(&dir, "dir", "build/bench", "output directory")
	flags.StringVar(&size, "size", "haneul", "fleet size: haneul or vatuwaqa")
	flags.StringSliceVar(&policies, "policy", []string{"fifo", "guaranteed"}, "policies to prepare, each with a cluster of its own")
	flags.IntVar(&firstPort, "first-port", 12000, "first port on loopback")
	cmd.RunE = func(*cobra.Command, []string) error {
		for _, s := range bench.Sizes() {
			if s.Name == size {
				return bench.Prepare(dir, s, policies, firstPort)
			}
		}
		return trace.NotFound("no fleet size %q", size)
	}
	return cmd
}

func reportCmd() *cobra.Command {
	var in, out string
	cmd := &cobra.Command{Use: "report", Short: "Write an HTML page with tables and plots from JSON lines", Args: cobra.NoArgs}
	cmd.Flags().StringVar(&in, "in", "build/bench/results.jsonl", "file with results as JSON lines")
	cmd.Flags().StringVar(&out, "out", "build/bench/report.html", "HTML file to write")
	cmd.RunE = func(*cobra.Command, []string) error {
		data, err := os.ReadFile(in)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		lines, err := bench.ReadLines(bytes.NewReader(data))
		if err != nil {
			return trace.Wrap(err)
		}
		var page bytes.Buffer
		if err := bench.WriteReport(&page, lines); err != nil {
			return trace.Wrap(err)
		}
		return trace.ConvertSystemError(os.WriteFile(out, page.Bytes(), 0o644))
	}
	return cmd
}
