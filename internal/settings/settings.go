// Package settings reads a process's settings from a YAML file, with environment
// variables and flags over it, and checks them all at once.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.yaml.in/yaml/v3"

	"agatewinch/internal/tlsconfig"
)

// ExitInvalid is the exit code for settings that do not pass the checks.
const ExitInvalid = 2

// Host are the settings that every process on an entry host has.
type Host struct {
	// Host is the host's name in the platform's host list.
	Host string `yaml:"host" validate:"required"`
	// Region and Zone tell where the host stands.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Listen is the IP and port to serve on.
	Listen string `yaml:"listen" validate:"required,ip_port"`
	// Platform is the base URL of the platform's log and host list.
	Platform string `yaml:"platform" validate:"required,http_url"`
	// LogFormat is json or text.
	LogFormat string `yaml:"log_format" validate:"oneof=json text"`
	// ConfigSnapshotInterval is how often the configuration in force is appended to the
	// log again; it must be well under the log's retention.
	ConfigSnapshotInterval time.Duration `yaml:"config_snapshot_interval" validate:"min=0"`
	// PeerTLS is for connections between the system's own processes, both ways.
	PeerTLS tlsconfig.Files `yaml:"peer_tls"`
}

// Load fills out, a pointer to a settings struct with defaults in it, from the file
// named by the command's --settings flag, then from the environment, then from --set
// flags. The error lists every fault of all of them.
func Load(cmd *cobra.Command, out any) error {
	path, err := cmd.Flags().GetString("settings")
	if err != nil {
		return trace.Wrap(err)
	}
	var faults []error
	if path != "" {
		faults = append(faults, decodeFile(path, out)...)
	}
	faults = append(faults, decodeEnvironment(os.Environ(), out)...)
	faults = append(faults, decodeFlags(cmd.Flags(), out)...)
	faults = append(faults, check(out)...)
	return trace.NewAggregate(faults...)
}

func decodeFlags(flags *pflag.FlagSet, out any) []error {
	sets, err := flags.GetStringArray("set")
	if err != nil {
		return []error{err}
	}
	var faults []error
	for _, kv := range sets {
		faults = append(faults, decodeAssignment("--set "+kv, kv, out)...)
	}
	return faults
}

// AddFlags adds the flags that Load reads.
func AddFlags(cmd *cobra.Command) {
	cmd.Flags().String("settings", "", "YAML file with the settings")
	cmd.Flags().StringArray("set", nil, "one setting as name=value, over file and environment; a.b=value for one inside another")
	cmd.Flags().Bool("print-settings", false, "print the settings in force and exit")
}

// Main runs a daemon's command: it loads settings into out and calls run. Faulty
// settings are listed on standard error and end the process with ExitInvalid.
func Main(use, short string, out any, run func(cmd *cobra.Command) error) {
	cmd := &cobra.Command{Use: use, Short: short, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs}
	AddFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := Load(cmd, out); err != nil {
			fmt.Fprintln(os.Stderr, List(err))
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
