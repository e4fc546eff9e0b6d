// Command agatewinchctl is the command-line client for operators and callers.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"agatewinch/internal/api"
	"agatewinch/internal/tlsconfig"
)

const (
	// callTimeout exceeds the longest time that a request waits for a job.
	callTimeout = (api.MaxWaitSeconds + 10) * time.Second
	defaultGate = "http://127.0.0.1:7400"
)

// app holds the global flags and the state of one command line.
type app struct {
	out io.Writer
	// argsAccepted is set once cobra has accepted the arguments. Errors before that are
	// usage errors.
	argsAccepted bool

	gate   string
	key    string
	output string
	tls    tlsconfig.Files
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs one command line and returns its exit code.
func execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	root := newRoot(a)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil && !a.argsAccepted {
		err = usageError{err}
	}
	if err != nil && !isAlreadyPrinted(err) {
		_, _ = fmt.Fprintln(errOut, "error:", trace.UserMessage(err))
	}
	return exitCode(err)
}

func newRoot(a *app) *cobra.Command {
	root := &cobra.Command{
		Use: "agatewinchctl", Short: "Operate agatewinch",
		Long: "Operate agatewinch through one of its gates.\n\n" + exitCodesHelp,
		Example: "  export AGATEWINCH_GATE=http://10.0.0.1:7400 AGATEWINCH_KEY=...\n" +
			"  agatewinchctl apply -f config/ --dry-run\n  agatewinchctl status",
		SilenceUsage: true, SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.gate, "gate", envOr("AGATEWINCH_GATE", defaultGate), "URL of a gate (default: $AGATEWINCH_GATE)")
	flags.StringVar(&a.key, "key", "", "API key (default: $AGATEWINCH_KEY)")
	flags.StringVarP(&a.output, "output", "o", formatTable, "table, json or yaml")
	flags.StringVar(&a.tls.CA, "ca", "", "file with the CA certificates that verify the gate's certificate")
	flags.StringVar(&a.tls.Cert, "cert", "", "file with a client certificate")
	flags.StringVar(&a.tls.Key, "cert-key", "", "file with the client certificate's key")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		a.argsAccepted = true
		return a.checkFlags()
	}
	root.AddCommand(a.applyCmd(), a.diffCmd(), a.getCmd(), a.listCmd(), a.statusCmd(), a.topCmd(),
		a.explainCmd(), a.cancelCmd(), a.drainCmd(), a.submitCmd(), a.traceCmd())
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func (a *app) checkFlags() error {
	if a.key == "" {
		a.key = os.Getenv("AGATEWINCH_KEY")
	}
	for _, f := range formats {
		if a.output == f {
			return nil
		}
	}
	return usageError{trace.BadParameter("-o %s: want table, json or yaml", a.output)}
}

// client returns a client for the gate. An invalid TLS file is a usage error.
func (a *app) client() (*api.Client, error) {
	certs, err := tlsconfig.New(a.tls, logr.Discard())
	if err != nil {
		return nil, usageError{err}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	certs.Secure(transport)
	return &api.Client{BaseURL: a.gate, Key: a.key, HTTP: &http.Client{Timeout: callTimeout, Transport: transport}}, nil
}

// call sends one request to the gate and decodes its response into out.
func (a *app) call(ctx context.Context, method, path string, in, out any) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	return client.Call(ctx, method, path, in, out)
}
