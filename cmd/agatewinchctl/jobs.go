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

const jobArgumentHelp = "\n\nJOB is a request ID with a caller's key, or ORGANISATION:REQUEST_ID with an operator's key."

// jobPath returns the API path of a job, given as REQUEST_ID for a job of the caller's own
// organisation or as ORGANISATION:REQUEST_ID for any job.
func jobPath(job string) string {
	org, request, ok := strings.Cut(job, ":")
	if !ok {
		return api.PathJobs + "/" + url.PathEscape(job)
	}
	return api.PathOrganisations + "/" + url.PathEscape(org) + "/" + url.PathEscape(request)
}

func (a *app) getCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use: "get", Short: "Show the configuration or a job",
		Example: "  agatewinchctl get config > all.yaml\n  agatewinchctl get job haneul:sheet-7 --wait 30",
	}
	config := &cobra.Command{
		Use: "config", Short: "Show the configuration in force in the format of its files", Args: cobra.NoArgs,
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
		Long: "Show a job, or wait for its end." + jobArgumentHelp, Example: "  agatewinchctl get job sheet-7 --wait 30",
	}
	job.Flags().Float64Var(&wait, "wait", 0, "seconds to wait for the end, at most 30")
	job.RunE = func(cmd *cobra.Command, args []string) error {
		return a.callJob(cmd.Context(), http.MethodGet, fmt.Sprintf("%s?wait_seconds=%g", jobPath(args[0]), wait), nil)
	}
	cmd.AddCommand(config, job)
	return cmd
}

// callJob sends a request whose response is the state of a job, and prints that state. For
// a failed job it returns a jobError, which sets the exit code by the kind of the failure.
func (a *app) callJob(ctx context.Context, method, path string, in any) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	answer, err := client.CallJob(ctx, method, path, in)
	if err != nil {
		return err
	}
	t := &table{header: []string{"JOB", "STATE", "WORKERS", "ERROR"}}
	reason := "-"
	if answer.Error != nil {
		reason = string(answer.Error.Kind) + ": " + answer.Error.Message
	}
	t.add(answer.JobID, answer.State, orDash(joinWorkers(answer.Workers)), reason)
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
		Long:    "List the live jobs of the key's organisation or, with an operator's key, of all organisations (--all) or one of them.",
		Example: "  agatewinchctl list\n  agatewinchctl list --all\n  agatewinchctl list --organisation haneul -o json",
	}
	cmd.Flags().StringVar(&org, "organisation", "", "with an operator's key: only this organisation")
	cmd.Flags().BoolVar(&all, "all", false, "with an operator's key: all organisations")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		path := api.PathJobs
		if all || org != "" {
			path = api.PathOrganisations + "?organisation=" + url.QueryEscape(org)
		}
		return a.listJobs(cmd.Context(), path)
	}
	return cmd
}

func (a *app) listJobs(ctx context.Context, path string) error {
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
		Use: "explain JOB", Short: "Explain why a job is waiting and where it lacks resources", Args: cobra.ExactArgs(1),
		Example: "  agatewinchctl explain haneul:sheet-7",
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !strings.Contains(args[0], ":") {
			return usageError{trace.BadParameter("job %q: want ORGANISATION:REQUEST_ID", args[0])}
		}
		var answer core.Explanation
		if err := a.call(cmd.Context(), http.MethodGet, jobPath(args[0])+"/explanation", nil, &answer); err != nil {
			return err
		}
		t := &table{header: []string{"JOB", "STATE", "POSITION", "REASON"}}
		t.add(answer.Job, answer.State, answer.Position, orDash(answer.Reason))
		shortages := &table{header: []string{"WHERE", "RESOURCE", "FREE", "NEEDED"}}
		for _, s := range answer.Shortages {
			shortages.add(s.Where, s.Resource, s.Free, s.Needed)
		}
		return a.print(answer, t, shortages)
	}
	return cmd
}

func (a *app) cancelCmd() *cobra.Command {
	return &cobra.Command{
		Use: "cancel JOB", Short: "Cancel a job", Long: "Cancel a job." + jobArgumentHelp, Args: cobra.ExactArgs(1),
		Example: "  agatewinchctl cancel haneul:sheet-7",
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.callJob(cmd.Context(), http.MethodDelete, jobPath(args[0]), nil)
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
	flags.IntVar(&req.Shape.CPU, "cpu", 1, "CPU cores for each task")
	flags.Int64Var(&req.Shape.MemoryBytes, "memory-bytes", 1<<30, "memory for each task, in bytes")
	flags.Float64Var(&req.DeclaredRunSeconds, "run-seconds", 1, "declared run time, in seconds")
	flags.Float64Var(&req.DeadlineSeconds, "deadline", 0, "seconds within which the job must start; 0 means no limit")
	flags.Float64Var(&req.WaitSeconds, "wait", api.MaxWaitSeconds, "seconds to wait for the end")
	flags.BoolVar(&req.Idempotent, "idempotent", false, "the job may safely run more than once")
	flags.StringVar(&payload, "payload", "", "JSON passed to every task")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		req.RequestID = args[0]
		if payload != "" {
			req.Payload = json.RawMessage(payload)
		}
		return a.callJob(cmd.Context(), http.MethodPost, api.PathJobs, req)
	}
	return cmd
}
