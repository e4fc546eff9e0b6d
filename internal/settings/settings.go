// Package settings reads a process's settings from a YAML file, with environment
// variables and flags over it, and checks them all at once.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.yaml.in/yaml/v3"
)

// ExitInvalid is the exit code for settings that do not pass the checks.
const ExitInvalid = 2

const envPrefix = "AGATEWINCH_"

// Host are the settings that every process on an entry host has.
type Host struct {
	// Host is the host's name in the platform's host list.
	Host string `yaml:"host" validate:"required"`
	// Region and Zone tell where the host stands.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Listen is the IP and port to serve on.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Platform is the base URL of the platform's log and host list.
	Platform string `yaml:"platform" validate:"required,http_url"`
	// LogFormat is json or text.
	LogFormat string `yaml:"log_format" validate:"oneof=json text"`
}

// Load fills out, a pointer to a settings struct with defaults in it, from the file
// named by the command's --settings flag, then from the environment, then from flags.
// The error lists every fault.
func Load(cmd *cobra.Command, out any) error {
	path, err := cmd.Flags().GetString("settings")
	if err != nil {
		return trace.Wrap(err)
	}
	if path != "" {
		if err := decodeFile(path, out); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := decodeOverrides(cmd.Flags(), out); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(check(out))
}

func decodeFile(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(decode(data, out), "%s", path)
}

func decode(data []byte, out any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return trace.BadParameter("%v", err)
	}
	return nil
}

// decodeOverrides applies AGATEWINCH_NAME=value from the environment and then
// --set name=value flags, each a YAML scalar.
func decodeOverrides(flags *pflag.FlagSet, out any) error {
	var lines []string
	for _, kv := range os.Environ() {
		if rest, ok := strings.CutPrefix(kv, envPrefix); ok {
			name, value, _ := strings.Cut(rest, "=")
			lines = append(lines, strings.ToLower(name)+": "+value)
		}
	}
	sets, err := flags.GetStringArray("set")
	if err != nil {
		return trace.Wrap(err)
	}
	for _, kv := range sets {
		name, value, ok := strings.Cut(kv, "=")
		if !ok {
			return trace.BadParameter("--set %q: want name=value", kv)
		}
		lines = append(lines, name+": "+value)
	}
	for _, line := range lines {
		if err := decode([]byte(line), out); err != nil {
			return trace.Wrap(err, "%s", line)
		}
	}
	return nil
}

func check(out any) error {
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(out)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return trace.Wrap(err)
	}
	var all []error
	for _, f := range faults {
		all = append(all, fmt.Errorf("setting %s: fails %s %s", f.Namespace(), f.Tag(), f.Param()))
	}
	return trace.NewAggregate(all...)
}

// AddFlags adds the flags that Load reads.
func AddFlags(cmd *cobra.Command) {
	cmd.Flags().String("settings", "", "YAML file with the settings")
	cmd.Flags().StringArray("set", nil, "one setting as name=value, over file and environment")
	cmd.Flags().Bool("print-settings", false, "print the settings in force and exit")
}

// Main runs a daemon's command: it loads settings into out and calls run. Faulty
// settings are listed on standard error and end the process with ExitInvalid.
func Main(use, short string, out any, run func(cmd *cobra.Command) error) {
	cmd := &cobra.Command{Use: use, Short: short, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs}
	AddFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := Load(cmd, out); err != nil {
			fmt.Fprintln(os.Stderr, trace.UserMessage(err))
			os.Exit(ExitInvalid)
		}
		if show, _ := cmd.Flags().GetBool("print-settings"); show {
			return trace.Wrap(yaml.NewEncoder(os.Stdout).Encode(out))
		}
		return run(cmd)
	}
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}
