package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/internal/demo"
)

const (
	defaultDemoDaemons = 4
	progressInterval   = 5 * time.Second
	// readyTimeout limits how long the demo retries to apply its template.
	readyTimeout = 30 * time.Second
)

func (a *app) demoCommand() *cobra.Command {
	var check bool
	var daemons int
	var logFile string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run stand-ins and several daemons in one process on loopback",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if daemons < 3 || daemons > 9 {
				return exitErrorf(ExitUsage, "--daemons %d is not from 3 to 9", daemons)
			}
			logs := io.Discard
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return exitErrorf(ExitUsage, "--log: %v", err)
				}
				defer f.Close()
				logs = f
			}
			d, err := demo.Start(cmd.Context(), demo.Config{Daemons: daemons, Log: logs})
			if err != nil {
				return err
			}
			if check {
				err = d.Check(cmd.Context(), a.out)
			} else {
				err = a.runDemo(cmd.Context(), d)
			}
			if closeErr := d.Close(); err == nil {
				err = closeErr
			}
			return err
		},
	}
	f := cmd.Flags()
	f.BoolVar(&check, "check", false, "run a fixed session and exit with 0 only if each step's outcome is as stated")
	f.IntVar(&daemons, "daemons", defaultDemoDaemons, "number of daemons, 3 to 9")
	f.StringVar(&logFile, "log", "", "file for the logs of the daemons; default none")
	return cmd
}

// runDemo applies the template, prints sample commands, and reports progress until ctx is done.
func (a *app) runDemo(ctx context.Context, d *demo.Demo) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := d.Apply(ctx)
		if err == nil {
			break
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, daemon := range d.Daemons {
		fmt.Fprintf(a.out, "daemon ready: callers http://%s operators http://%s\n", daemon.CallerAddress(), daemon.OperatorAddress())
	}
	fmt.Fprintf(a.out, "\ntry:\n  gooseberrylock search logo --customer %s --route %s --caller http://%s\n",
		demo.Customer, demo.Route, d.Daemons[0].CallerAddress())
	fmt.Fprintf(a.out, "  gooseberrylock status --daemon http://%s\n", d.Daemons[0].OperatorAddress())
	fmt.Fprintf(a.out, "  gooseberrylock zone out vestland-b --daemon http://%s\n\n", d.Daemons[1].OperatorAddress())
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			attempts := 0
			for _, s := range d.Searchers {
				attempts += s.Stats().Executed
			}
			fmt.Fprintf(a.out, "running for %s, %d attempts at the searchers, %d calls of the store\n",
				time.Since(start).Round(time.Second), attempts, d.Store.Calls())
		}
	}
}
