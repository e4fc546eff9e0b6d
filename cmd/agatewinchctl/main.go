// Command agatewinchctl is the operators' and callers' command line.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
)

const callTimeout = 40 * time.Second

type app struct {
	gate string
	key  string
}

func (a *app) client() *api.Client {
	return &api.Client{Base: a.gate, Key: a.key, HTTP: &http.Client{Timeout: callTimeout}}
}

func main() {
	a := &app{}
	root := &cobra.Command{Use: "agatewinchctl", Short: "Operate agatewinch", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&a.gate, "gate", "http://127.0.0.1:7400", "URL of a gate")
	root.PersistentFlags().StringVar(&a.key, "key", os.Getenv("AGATEWINCH_KEY"), "API key (default: $AGATEWINCH_KEY)")
	root.AddCommand(a.applyCmd(), a.statusCmd(), a.submitCmd(), a.getCmd())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func (a *app) applyCmd() *cobra.Command {
	var dir string
	var dryRun bool
	cmd := &cobra.Command{Use: "apply -f DIR", Short: "Replace the configuration by the files of a directory, whole or not at all", Args: cobra.NoArgs}
	cmd.Flags().StringVarP(&dir, "file", "f", "", "directory with *.yaml files")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check only")
	_ = cmd.MarkFlagRequired("file")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		set, err := config.LoadDir(dir)
		if err != nil {
			return trace.Wrap(err)
		}
		var cur api.ConfigAnswer
		if err := a.client().Call(cmd.Context(), http.MethodGet, api.PathConfig, nil, &cur); err != nil {
			return trace.Wrap(err)
		}
		var answer api.ApplyAnswer
		req := api.ApplyRequest{Base: cur.Generation, Set: *set, DryRun: dryRun}
		if err := a.client().Call(cmd.Context(), http.MethodPut, api.PathConfig, req, &answer); err != nil {
			return trace.Wrap(err)
		}
		fmt.Println("generation", answer.Generation)
		return nil
	}
	return cmd
}

func (a *app) statusCmd() *cobra.Command {
	var output string
	cmd := &cobra.Command{Use: "status", Short: "Show the schedulers", Args: cobra.NoArgs}
	cmd.Flags().StringVarP(&output, "output", "o", "json", "json")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var answer api.StatusAnswer
		if err := a.client().Call(cmd.Context(), http.MethodGet, api.PathStatus, nil, &answer); err != nil {
			return trace.Wrap(err)
		}
		return printJSON(answer)
	}
	return cmd
}

func (a *app) submitCmd() *cobra.Command {
	var req api.SubmitRequest
	var shape core.Shape
	var payload string
	cmd := &cobra.Command{Use: "submit REQUEST_ID", Short: "Submit a job and wait for it", Args: cobra.ExactArgs(1)}
	flags := cmd.Flags()
	flags.StringVar(&req.Caller, "caller", "operator", "caller within the organisation")
	flags.StringVar(&req.Class, "class", "", "class of work")
	flags.IntVar(&shape.Cells, "cells", 1, "number of cells")
	flags.IntVar(&shape.CellSize, "cell-size", 1, "accelerators in a cell")
	flags.IntVar(&shape.CPU, "cpu", 1, "cores for each task")
	flags.Int64Var(&shape.MemoryBytes, "memory-bytes", 1<<30, "memory for each task")
	flags.Float64Var(&req.DeclaredRunSeconds, "run-seconds", 1, "declared run time")
	flags.Float64Var(&req.WaitSeconds, "wait", 30, "seconds to wait for the end")
	flags.BoolVar(&req.Idempotent, "idempotent", false, "the job may run twice")
	flags.StringVar(&payload, "payload", "", "JSON passed to every task")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		req.RequestID, req.Shape = args[0], shape
		if payload != "" {
			req.Payload = json.RawMessage(payload)
		}
		var answer api.JobAnswer
		if err := a.client().Call(cmd.Context(), http.MethodPost, api.PathJobs, req, &answer); err != nil {
			return trace.Wrap(err)
		}
		return printJSON(answer)
	}
	return cmd
}

func (a *app) getCmd() *cobra.Command {
	return &cobra.Command{Use: "get REQUEST_ID", Short: "Show a job", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		var answer api.JobAnswer
		if err := a.client().Call(cmd.Context(), http.MethodGet, api.PathJobs+"/"+url.PathEscape(args[0]), nil, &answer); err != nil {
			return trace.Wrap(err)
		}
		return printJSON(answer)
	}}
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(v))
}
