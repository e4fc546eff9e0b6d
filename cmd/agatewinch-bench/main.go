// Command agatewinch-bench loads real processes and measures them, policies side by side.
package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/bench"
)

func main() {
	root := &cobra.Command{Use: "agatewinch-bench", Short: "Measure agatewinch under load", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(prepareCmd(), runCmd())
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
	flags.StringVar(&dir, "dir", "build/bench", "where to write")
	flags.StringVar(&size, "size", "haneul", "fleet: haneul or vatuwaqa")
	flags.StringSliceVar(&policies, "policy", []string{"fifo", "guaranteed"}, "policies, a cluster for each")
	flags.IntVar(&firstPort, "first-port", 32000, "first port on loopback")
	cmd.RunE = func(*cobra.Command, []string) error {
		for _, s := range bench.Sizes() {
			if s.Name == size {
				return bench.Prepare(dir, s, policies, firstPort)
			}
		}
		return trace.NotFound("no size %q", size)
	}
	return cmd
}
