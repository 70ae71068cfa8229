// Command gooseberrylockd runs one daemon of the query tier.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock"
	"github.com/gooseberrylock/gooseberrylock/platform"
	"github.com/gooseberrylock/gooseberrylock/settings"
)

// shutdownTimeout is the maximum time for a graceful shutdown. It is longer than ten minutes, the
// longest time that a request may take.
const shutdownTimeout = 11 * time.Minute

func main() {
	var file string
	cmd := &cobra.Command{
		Use:   "gooseberrylockd --settings FILE",
		Short: "Run one daemon of the gooseberrylock query tier",
		Long: "Runs until SIGTERM or SIGINT, which start a graceful shutdown: the daemon hands its\n" +
			"shards over and lets running requests finish. A second signal stops it at once.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file in JSON with comments (required)")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(platformCommand())
	if err := cmd.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

// platformCommand returns the command that runs an entry VM on the users' platform.
func platformCommand() *cobra.Command {
	var file, traces string
	cmd := &cobra.Command{
		Use:   "platform [--settings FILE]",
		Short: "Run an entry VM on the users' platform",
		Long: "Runs with the platform's settings file until SIGTERM or SIGINT, which start a graceful\n" +
			"shutdown within the grace that the file states. SIGHUP reads the file again.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if file == "" {
				return fmt.Errorf("no settings file: set --settings or %s", platform.SettingsVariable)
			}
			return platform.Run(file, traces, os.Stdout)
		},
	}
	cmd.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable),
		"the platform's settings file; its default is in "+platform.SettingsVariable)
	cmd.Flags().StringVar(&traces, "traces", "", "export traces of one request in 100 over OTLP to this host:port")
	return cmd
}

// run runs a daemon with the settings in file until it has shut down. The first signal starts a
// graceful shutdown, and the second one stops the daemon at once.
func run(ctx context.Context, file string) error {
	// Signals are received from the beginning, so that one that arrives during the start also leads
	// to a graceful shutdown.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	d, err := gooseberrylock.New(gooseberrylock.Config{Settings: *s})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		go func() {
			<-signals
			cancel()
		}()
		shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancelShutdown()
		if err := d.Shutdown(shutdownCtx); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	return d.Run(ctx)
}
