package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/api"
	"agatewinch/internal/core"
)

const jobArgument = "\n\nJOB is a request ID with a caller's key, or ORGANISATION:REQUEST_ID with an operator's."

// jobPath returns the path of a job: a caller's own by its request ID, or any by
// organisation and request ID.
func jobPath(job string) string {
	org, request, ok := strings.Cut(job, ":")
	if !ok {
		return api.PathJobs + "/" + url.PathEscape(job)
	}
	return api.PathAllJobs + "/" + url.PathEscape(org) + "/" + url.PathEscape(request)
}

func (a *app) getCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use: "get", Short: "Show the configuration or a job",
		Example: "  agatewinchctl get config > all.yaml\n  agatewinchctl get job haneul:sheet-7 --wait 30",
	}
	config := &cobra.Command{
		Use: "config", Short: "Show the configuration in force, as files have it", Args: cobra.NoArgs,
		Example: "  agatewinchctl get config",
	}
	config.RunE = func(cmd *cobra.Command, _ []string) error {
		cur, err := a.currentConfig(cmd.Context())
		if err != nil {
			return err
		}
		return a.printConfig(cur)
	}
	var wait float64
	job := &cobra.Command{
		Use: "job JOB", Short: "Show a job, or wait for its end", Args: cobra.ExactArgs(1),
		Long: "Show a job, or wait for its end." + jobArgument, Example: "  agatewinchctl get job sheet-7 --wait 30",
	}
	job.Flags().Float64Var(&wait, "wait", 0, "seconds to wait for the end, at most 30")
	job.RunE = func(cmd *cobra.Command, args []string) error {
		return a.job(cmd.Context(), http.MethodGet, fmt.Sprintf("%s?wait_seconds=%g", jobPath(args[0]), wait), nil)
	}
	cmd.AddCommand(config, job)
	return cmd
}

// job sends a request that a job's state answers. A failed job ends the command with
// the exit code of its kind.
func (a *app) job(ctx context.Context, method, path string, in any) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	answer, err := client.Job(ctx, method, path, in)
	if err != nil {
		return err
	}
	t := &table{header: []string{"JOB", "STATE", "WORKERS", "ERROR"}}
	reason := "-"
	if answer.Error != nil {
		reason = string(answer.Error.Kind) + ": " + answer.Error.Message
	}
	t.add(answer.JobID, answer.State, dash(joinWorkers(answer.Workers)), reason)
	if err := a.print(answer, t); err != nil {
		return err
	}
	if answer.Error != nil {
		return jobError{answer.Error.Kind}
	}
	return nil
}

func joinWorkers(workers []core.WorkerID) string {
	var names []string
	for _, w := range workers {
		names = append(names, string(w))
	}
	return strings.Join(names, ",")
}

func (a *app) listCmd() *cobra.Command {
	var org string
	var all bool
	cmd := &cobra.Command{
		Use: "list", Short: "List live jobs", Args: cobra.NoArgs,
		Long:    "List the live jobs of the key's organisation; with an operator's key, of all organisations (--all) or of one.",
		Example: "  agatewinchctl list\n  agatewinchctl list --all\n  agatewinchctl list --organisation haneul -o json",
	}
	cmd.Flags().StringVar(&org, "organisation", "", "with an operator's key: only this organisation")
	cmd.Flags().BoolVar(&all, "all", false, "with an operator's key: all organisations")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		path := api.PathJobs
		if all || org != "" {
			path = api.PathAllJobs + "?organisation=" + url.QueryEscape(org)
		}
		return a.list(cmd.Context(), path)
	}
	return cmd
}

func (a *app) list(ctx context.Context, path string) error {
	var answer api.ListAnswer
	if err := a.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	t := &table{header: []string{"JOB", "CLASS", "CALLER", "STATE", "CELLS", "CELL SIZE"}}
	for _, j := range answer.Jobs {
		t.add(j.JobID, j.Class, j.Caller, j.State, j.Shape.Cells, j.Shape.CellSize)
	}
	return a.print(answer, append([]*table{t}, unreachableTable(answer.Unreachable)...)...)
}

func (a *app) explainCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use: "explain JOB", Short: "Tell why a job waits, and which resource is short where", Args: cobra.ExactArgs(1),
		Example: "  agatewinchctl explain haneul:sheet-7",
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !strings.Contains(args[0], ":") {
			return usageError{trace.BadParameter("%s: want ORGANISATION:REQUEST_ID", args[0])}
		}
		var answer core.Explanation
		if err := a.call(cmd.Context(), http.MethodGet, jobPath(args[0])+"/explanation", nil, &answer); err != nil {
			return err
		}
		t := &table{header: []string{"JOB", "STATE", "POSITION", "REASON"}}
		t.add(answer.Job, answer.State, answer.Position, dash(answer.Reason))
		short := &table{header: []string{"WHERE", "RESOURCE", "FREE", "NEEDED"}}
		for _, s := range answer.Shortages {
			short.add(s.Where, s.Resource, s.Free, s.Needed)
		}
		return a.print(answer, t, short)
	}
	return cmd
}

func (a *app) cancelCmd() *cobra.Command {
	return &cobra.Command{
		Use: "cancel JOB", Short: "Cancel a job", Long: "Cancel a job." + jobArgument, Args: cobra.ExactArgs(1),
		Example: "  agatewinchctl cancel haneul:sheet-7",
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.job(cmd.Context(), http.MethodDelete, jobPath(args[0]), nil)
		},
	}
}

func (a *app) submitCmd() *cobra.Command {
	var req api.SubmitRequest
	var payload string
	cmd := &cobra.Command{
		Use: "submit REQUEST_ID", Short: "Submit a job and wait for it", Args: cobra.ExactArgs(1),
		Example: "  agatewinchctl submit sheet-7 --class reconcile --cells 2 --cell-size 8 --cpu 8 --run-seconds 60 -o json",
	}
	flags := cmd.Flags()
	flags.StringVar(&req.Caller, "caller", "operator", "caller within the organisation")
	flags.StringVar(&req.Class, "class", "", "class of work")
	flags.IntVar(&req.Shape.Cells, "cells", 1, "number of cells")
	flags.IntVar(&req.Shape.CellSize, "cell-size", 1, "accelerators in a cell")
	flags.IntVar(&req.Shape.CPU, "cpu", 1, "cores for each task")
	flags.Int64Var(&req.Shape.MemoryBytes, "memory-bytes", 1<<30, "memory for each task")
	flags.Float64Var(&req.DeclaredRunSeconds, "run-seconds", 1, "declared run time")
	flags.Float64Var(&req.DeadlineSeconds, "deadline", 0, "seconds in which the job must start; 0 is no limit")
	flags.Float64Var(&req.WaitSeconds, "wait", api.MaxWaitSeconds, "seconds to wait for the end")
	flags.BoolVar(&req.Idempotent, "idempotent", false, "the job may run twice")
	flags.StringVar(&payload, "payload", "", "JSON passed to every task")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		req.RequestID = args[0]
		if payload != "" {
			req.Payload = json.RawMessage(payload)
		}
		return a.job(cmd.Context(), http.MethodPost, api.PathJobs, req)
	}
	return cmd
}
