package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
)

// maxApplyAttempts limits how often a configuration set is sent to the gate.
const maxApplyAttempts = 3

// loadConfigDir reads a directory of configuration files. Every error is a usage error.
func loadConfigDir(dir string) (*config.Set, error) {
	if dir == "" {
		return nil, usageError{trace.BadParameter("-f DIR is required")}
	}
	set, err := config.LoadDir(dir)
	if err != nil {
		return nil, usageError{err}
	}
	return set, nil
}

func addDirFlag(cmd *cobra.Command, dir *string) {
	cmd.Flags().StringVarP(dir, "file", "f", "", "directory with the *.yaml configuration files")
	_ = cmd.MarkFlagDirname("file")
}

func (a *app) currentConfig(ctx context.Context) (api.ConfigAnswer, error) {
	var answer api.ConfigAnswer
	err := a.call(ctx, http.MethodGet, api.PathConfig, nil, &answer)
	return answer, err
}

type applyFlags struct {
	dir           string
	dryRun, force bool
	base          int64
}

func (a *app) applyCmd() *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{
		Use: "apply -f DIR", Short: "Replace the whole configuration atomically with the files of a directory", Args: cobra.NoArgs,
		Long: "Replace the whole configuration atomically with the files of a directory.\n" +
			"Every error is listed with its file and line. When two operators apply at the same time, one succeeds;\n" +
			"the other gets an error with both generations and should check the difference before applying again.",
		Example: "  agatewinchctl apply -f config/ --dry-run\n  agatewinchctl apply -f config/\n  agatewinchctl apply -f config/ --base 17",
	}
	addDirFlag(cmd, &f.dir)
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "validate the files without applying them")
	cmd.Flags().Int64Var(&f.base, "base", -1, "generation that the files are based on (default: the one in force)")
	cmd.Flags().BoolVar(&f.force, "force", false, "apply the files when the log has lost the configuration")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return a.applyConfig(cmd.Context(), f) }
	return cmd
}

func (a *app) applyConfig(ctx context.Context, f applyFlags) error {
	set, err := loadConfigDir(f.dir)
	if err != nil {
		return err
	}
	req := api.ApplyRequest{Set: *set, DryRun: f.dryRun, Force: f.force}
	if f.base >= 0 {
		req.Base = generation(f.base)
	} else {
		cur, err := a.currentConfig(ctx)
		if err != nil {
			return err
		}
		req.Base = cur.Generation
	}
	answer, err := a.putConfig(ctx, req)
	if err != nil {
		return err
	}
	result := &table{header: []string{"RESULT", "BASE", "GENERATION"}}
	if f.dryRun {
		result.add("valid, not applied", req.Base, "-")
	} else {
		result.add("applied", req.Base, answer.Generation)
	}
	return a.print(answer, result)
}

// putConfig sends a configuration set. When the outcome is unknown, it retries with the
// same ID, which returns the first result if there is one.
func (a *app) putConfig(ctx context.Context, req api.ApplyRequest) (api.ApplyAnswer, error) {
	req.ID = config.NewID()
	return backoff.Retry(ctx, func() (api.ApplyAnswer, error) {
		var answer api.ApplyAnswer
		err := a.call(ctx, http.MethodPut, api.PathConfig, req, &answer)
		if err != nil && exitCode(err) != exitOutcomeUnknown {
			return answer, backoff.Permanent(err)
		}
		return answer, err
	}, backoff.WithMaxTries(maxApplyAttempts))
}

func (a *app) diffCmd() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "diff -f DIR", Short: "Show how the files of a directory differ from the configuration in force", Args: cobra.NoArgs,
		Long:    "Show how the files of a directory differ from the configuration in force.\nThe exit code is 10 when they differ and 0 when not.",
		Example: "  agatewinchctl diff -f config/ && echo in force",
	}
	addDirFlag(cmd, &dir)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		set, err := loadConfigDir(dir)
		if err != nil {
			return err
		}
		cur, err := a.currentConfig(cmd.Context())
		if err != nil {
			return err
		}
		return a.diffConfig(cur, set)
	}
	return cmd
}

func (a *app) diffConfig(cur api.ConfigAnswer, set *config.Set) error {
	before := &config.Set{}
	if cur.Set != nil {
		before = cur.Set
	}
	changes := config.Diff(before, set)
	t := &table{header: []string{"CHANGE", "ITEM", "IN FORCE", "FILES"}}
	for _, c := range changes {
		t.add(c.Kind, c.Item, orDash(c.Before), orDash(c.After))
	}
	if err := a.print(changes, t); err != nil {
		return err
	}
	if len(changes) > 0 {
		return errDifferent
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// printConfig writes the configuration in force in the format of the configuration files,
// or as JSON.
func (a *app) printConfig(cur api.ConfigAnswer) error {
	if a.output == formatJSON {
		return printJSON(a.out, cur)
	}
	if cur.Set == nil {
		_, err := fmt.Fprintln(a.out, "# no configuration is in force")
		return trace.Wrap(err)
	}
	if _, err := fmt.Fprintf(a.out, "# generation %d\n", cur.Generation); err != nil {
		return trace.Wrap(err)
	}
	enc := yaml.NewEncoder(a.out)
	enc.SetIndent(yamlIndent)
	return trace.Wrap(enc.Encode(cur.Set))
}
