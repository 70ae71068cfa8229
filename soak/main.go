// Command soak runs entry VMs as real processes on loopback, injects random faults into them, their
// store and their backend servers, and checks invariants on what callers and backend servers observe.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// options are the values of the command-line flags.
type options struct {
	seed     uint64
	duration time.Duration
	vms      int
	daemon   string
	dir      string
}

const (
	// recoveryTime is the time after the last fault at which requests must be served again.
	recoveryTime = 12 * time.Second
	// minServedShare is the share of requests that must be served after recoveryTime.
	minServedShare = 0.9
	startupTime    = 4 * time.Second
	progressEvery  = 10 * time.Second
)

func main() {
	var o options
	cmd := &cobra.Command{
		Use:          "soak",
		Short:        "Run entry VMs under random faults and check invariants",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.vms < 1 || o.vms > 50 || o.duration <= 0 {
				return errors.New("--vms must be 1 to 50, and --duration positive")
			}
			return run(cmd.Context(), o)
		},
	}
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the faults")
	cmd.Flags().DurationVar(&o.duration, "duration", time.Minute, "time with faults")
	cmd.Flags().IntVar(&o.vms, "vms", 4, "entry VMs")
	cmd.Flags().StringVar(&o.daemon, "daemon", "", "daemon to run instead of the one built from this module")
	cmd.Flags().StringVar(&o.dir, "out", "", "directory for logs and the report (default: a temporary one)")
	// A signal ends the run in an orderly way, so that no process is left behind.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := cmd.ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

// run runs one seed and writes the report. It fails if an invariant was violated.
func run(ctx context.Context, o options) error {
	if o.dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		o.dir = dir
	}
	if err := os.MkdirAll(o.dir, 0o755); err != nil {
		return err
	}
	if o.daemon == "" {
		path, err := buildDaemon(o.dir)
		if err != nil {
			return fmt.Errorf("build the daemon: %w", err)
		}
		o.daemon = path
	}
	obs, err := runSeed(ctx, o)
	if err != nil {
		return err
	}
	if err := writeReport(o, obs); err != nil {
		return err
	}
	if len(obs.violations) > 0 {
		return fmt.Errorf("seed %d: %d invariant violations, the first: %s (report and logs: %s)", o.seed, len(obs.violations), obs.violations[0], o.dir)
	}
	fmt.Printf("seed %d: no invariant violated in %d requests with %d faults (report: %s)\n", o.seed, len(obs.daemonByRequest), len(obs.faults), o.dir)
	return nil
}

// runSeed runs a deployment under the faults of one seed and returns what was observed.
func runSeed(ctx context.Context, o options) (*observations, error) {
	dep, err := newDeployment(o.seed, o.vms, o.daemon, o.dir)
	if err != nil {
		return nil, err
	}
	defer dep.close()
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	sleep(ctx, startupTime)
	var callers sync.WaitGroup
	for i, d := range dep.daemons {
		for n := range callersPerDaemon {
			c := dep.newCaller(d, i*callersPerDaemon+n, o.seed)
			callers.Go(func() { c.run(callCtx) })
		}
	}
	faultCtx, endFaults := context.WithTimeout(ctx, o.duration)
	defer endFaults()
	go dep.printProgress(callCtx)
	var injectors sync.WaitGroup
	injectors.Go(func() { dep.injectNotices(faultCtx, o.seed) })
	injectors.Go(func() { dep.injectRollouts(faultCtx, o.seed) })
	injectors.Go(func() { dep.injectDrills(faultCtx, o.seed) })
	injectors.Go(func() { dep.injectLongDrains(faultCtx, o.seed) })
	injectors.Go(func() { dep.injectSheds(faultCtx, o.seed) })
	dep.injectFaults(faultCtx)
	injectors.Wait()
	faultsEnded := time.Now()
	sleep(ctx, recoveryTime)
	settled := time.Now()
	sleep(ctx, startupTime)
	good, all := dep.observations.servedSince(settled)
	if float64(good) < minServedShare*float64(all) || all == 0 {
		dep.observations.addViolation("RECOVER", "%d of %d requests served %s after the last fault", good, all, settled.Sub(faultsEnded))
	}
	endCalls()
	callers.Wait()
	dep.checkExits()
	dep.observations.checkRetryBudget()
	return dep.observations, nil
}

// checkExits checks that no process ended without a signal or fault of the soak.
func (dep *deployment) checkExits() {
	for _, d := range dep.daemons {
		d.mu.Lock()
		for _, e := range d.exits {
			if !e.expected {
				dep.observations.addViolation("EXIT", "%s ended by itself at %s", d.name, e.at.Sub(dep.observations.startedAt))
			}
		}
		d.mu.Unlock()
	}
}

func (dep *deployment) printProgress(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, progressEvery)
		obs := dep.observations
		obs.mu.Lock()
		fmt.Printf("%s: %d requests, %d faults, %d invariant violations\n",
			time.Since(obs.startedAt).Round(time.Second), len(obs.daemonByRequest), len(obs.faults), len(obs.violations))
		obs.mu.Unlock()
	}
}
