// Package settings loads a process's settings from a YAML file, environment variables and
// flags, later sources overriding earlier ones, and reports all invalid settings together.
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

// ExitInvalid is the exit code of a process whose settings are invalid.
const ExitInvalid = 2

// Host holds the settings that the gate and the scheduler of an entry host have in common.
type Host struct {
	// Host is the host's name in the platform's host list.
	Host string `yaml:"host" validate:"required"`
	// Region and Zone are the host's location.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// Listen is the IP address and port to listen on.
	Listen string `yaml:"listen" validate:"required,ip_port"`
	// Platform is the base URL of the platform's log and host list.
	Platform string `yaml:"platform" validate:"required,http_url"`
	// LogFormat is json or text.
	LogFormat string `yaml:"log_format" validate:"oneof=json text"`
	// ConfigSnapshotInterval is how often a snapshot of the configuration in force is
	// appended to the log. It must be well under the log's retention; zero means
	// config.DefaultSnapshotInterval.
	ConfigSnapshotInterval time.Duration `yaml:"config_snapshot_interval" validate:"min=0"`
	// PeerTLS is used for connections between the system's own processes, as client and as
	// server.
	PeerTLS tlsconfig.Files `yaml:"peer_tls"`
}

// Load fills out, a pointer to a settings struct that holds the defaults, from the file
// named by the command's --settings flag, then from the environment, then from --set
// flags, and checks the result. The error lists every fault of all sources.
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

// decodeFlags applies the --set flags.
func decodeFlags(flags *pflag.FlagSet, out any) []error {
	assignments, err := flags.GetStringArray("set")
	if err != nil {
		return []error{err}
	}
	var faults []error
	for _, kv := range assignments {
		faults = append(faults, decodeAssignment("--set "+kv, kv, out)...)
	}
	return faults
}

// AddFlags adds the flags that Load reads.
func AddFlags(cmd *cobra.Command) {
	cmd.Flags().String("settings", "", "YAML file with the settings")
	cmd.Flags().StringArray("set", nil, "set one setting as name=value, overriding file and environment; a.b=value for a nested setting")
	cmd.Flags().Bool("print-settings", false, "print the settings in force and exit")
}

// Main runs a process's command: it loads the settings into out and calls run, or prints the
// settings if --print-settings is given. If settings are invalid, it lists them on standard
// error and exits with ExitInvalid. After any other error it exits with 1.
func Main(use, short string, out any, run func(cmd *cobra.Command) error) {
	cmd := &cobra.Command{Use: use, Short: short, SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs}
	AddFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := Load(cmd, out); err != nil {
			fmt.Fprintln(os.Stderr, FormatErrors(err))
			os.Exit(ExitInvalid)
		}
		if printSettings, _ := cmd.Flags().GetBool("print-settings"); printSettings {
			return trace.Wrap(yaml.NewEncoder(os.Stdout).Encode(out))
		}
		return run(cmd)
	}
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}
