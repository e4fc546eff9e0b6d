// Command agatewinch-bench loads real processes and measures them, policies side by side.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "agatewinch-bench", Short: "Measure agatewinch under load", SilenceUsage: true}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
