// Package cli implements the gooseberrylock command line.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/api/caller"
	"github.com/gooseberrylock/gooseberrylock/api/operator"
	"github.com/gooseberrylock/gooseberrylock/settings"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1 // an error that has no other code
	ExitUsage       = 2 // invalid arguments, or an invalid settings or template file
	ExitConflict    = 3 // the object has been changed by somebody else
	ExitUnavailable = 4 // the daemon or the store cannot be reached; nothing was changed
	ExitUnknown     = 5 // the outcome of the request is not known
	ExitPartial     = 6 // the answer does not cover all shards
	ExitRefused     = 7 // the request was refused
)

// Default values of flags.
const (
	defaultDaemon  = "http://127.0.0.1:7002"
	defaultCaller  = "http://127.0.0.1:7000"
	defaultTimeout = 20 * time.Second
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitErrorf returns a formatted error that ends the command with code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// app holds the output streams and the flags that all commands share.
type app struct {
	out, errOut io.Writer
	daemon      string // operator URL
	caller      string // caller URL
	token       string
	output      string // text or json
	timeout     time.Duration
	tls         settings.TLS
}

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	a := &app{out: out, errOut: errOut}
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "error:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitFailed
}

func (a *app) rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "gooseberrylock",
		Short: "Operate and try out the gooseberrylock query tier",
		Long: `Operate and try out the gooseberrylock query tier.

Exit codes: 0 done, 1 failed, 2 wrong arguments or a file that does not pass check,
3 conflict with another operator, 4 daemon or store not reachable (nothing changed),
5 outcome unknown, 6 partial answer, 7 request refused.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.output != "text" && a.output != "json" {
				return exitErrorf(ExitUsage, "--output %q is not text or json", a.output)
			}
			return nil
		},
	}
	f := cmd.PersistentFlags()
	f.StringVar(&a.daemon, "daemon", envOr("GOOSEBERRYLOCK_DAEMON", defaultDaemon), "operator URL of any daemon")
	f.StringVar(&a.caller, "caller", envOr("GOOSEBERRYLOCK_CALLER", defaultCaller), "caller URL of any daemon")
	f.StringVar(&a.token, "token", os.Getenv("GOOSEBERRYLOCK_TOKEN"), "bearer token for the operator address")
	f.StringVar(&a.output, "output", "text", "output format: text or json")
	f.StringVar(&a.tls.CA, "ca", os.Getenv("GOOSEBERRYLOCK_CA"), "PEM file of the CA that signed the daemons' certificates")
	f.StringVar(&a.tls.Cert, "cert", os.Getenv("GOOSEBERRYLOCK_CERT"), "PEM file of the certificate to present")
	f.StringVar(&a.tls.Key, "key", os.Getenv("GOOSEBERRYLOCK_KEY"), "PEM file of the key of that certificate")
	f.DurationVar(&a.timeout, "timeout", defaultTimeout, "longest time for one command")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &exitError{code: ExitUsage, err: err} })
	cmd.AddCommand(a.applyCommand(), a.getCommand(), a.diffCommand(), a.pauseCommand(), a.resumeCommand(),
		a.zoneCommand(), a.movesCommand(), a.statusCommand(), a.searchCommand(), a.readCommand(),
		a.submitCommand(), a.loadCommand(), a.replayCommand(), a.demoCommand(), a.checkCommand(), a.standinCommand(),
		a.explainCommand())
	return cmd
}

// envOr returns the environment variable name, or fallback if it is unset or empty.
func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// Token implements operator.SecuritySource.
func (a *app) Token(context.Context, operator.OperationName) (operator.Token, error) {
	if a.token == "" {
		return operator.Token{}, ogenerrors.ErrSkipClientSecurity
	}
	return operator.Token{Token: a.token}, nil
}

// httpClient returns a client that uses the CA and the client certificate given by flags, if any.
func (a *app) httpClient() (*http.Client, error) {
	cfg, err := a.tls.Load()
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = cfg
	return &http.Client{Timeout: a.timeout, Transport: transport}, nil
}

func (a *app) operatorClient() (*operator.Client, error) {
	client, err := a.httpClient()
	if err != nil {
		return nil, err
	}
	c, err := operator.NewClient(a.daemon, a, operator.WithClient(client))
	if err != nil {
		return nil, exitErrorf(ExitUsage, "--daemon %q: %v", a.daemon, err)
	}
	return c, nil
}

func (a *app) callerClient() (*caller.Client, error) {
	client, err := a.httpClient()
	if err != nil {
		return nil, err
	}
	c, err := caller.NewClient(a.caller, caller.WithClient(client))
	if err != nil {
		return nil, exitErrorf(ExitUsage, "--caller %q: %v", a.caller, err)
	}
	return c, nil
}

// operatorError converts the error of an operator request into one with an exit code. Its text
// tells the operator what to do next where that is known.
func (a *app) operatorError(err error) error {
	var status *operator.ErrorStatusCode
	if errors.As(err, &status) {
		return exitErrorf(ExitFailed, "daemon %s: %s", status.Response.Peer.Or(a.daemon), status.Response.Reason)
	}
	if isDialError(err) {
		return exitErrorf(ExitUnavailable, "no daemon answers at %s: %v; name another one with --daemon", a.daemon, err)
	}
	return exitErrorf(ExitUnknown, "%v; run the command again to see whether it took effect", err)
}

// isDialError reports whether err means that no connection could be opened, so that no request
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// print writes v as JSON if --output is json, and otherwise calls text to write it.
func (a *app) print(v any, text func(w io.Writer)) error {
	if a.output == "json" {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	text(a.out)
	return nil
}

// reportResult prints the result of an operator's command, with done as the text for a change
// that was made. It returns an error with the exit code if nothing was changed or the outcome is
// unknown.
func (a *app) reportResult(res *operator.CommandResult, done string) error {
	message := res.Message.Or("")
	err := a.print(res, func(w io.Writer) {
		switch res.Code {
		case operator.CommandResultCodeOk:
			fmt.Fprintf(w, "%s (version %d)\n", done, res.Version.Or(0))
		case operator.CommandResultCodeOverride:
			fmt.Fprintf(w, "%s as an override: in force now, written to the store when it is reachable again\n", done)
		}
		if message != "" && res.Code == operator.CommandResultCodeOk {
			fmt.Fprintln(w, message)
		}
	})
	if err != nil {
		return err
	}
	switch res.Code {
	case operator.CommandResultCodeConflict:
		return exitErrorf(ExitConflict, "conflict, nothing was changed: %s; look at it with `get` or `diff` and apply again", message)
	case operator.CommandResultCodeInvalid:
		return exitErrorf(ExitUsage, "invalid, nothing was changed: %s", message)
	case operator.CommandResultCodeStoreUnavailable:
		return exitErrorf(ExitUnavailable, "the store is not reachable, nothing was changed: %s; try again later", message)
	case operator.CommandResultCodeOutcomeUnknown:
		return exitErrorf(ExitUnknown, "outcome unknown: %s; read the object before trying again", message)
	}
	return nil
}

func joinOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
