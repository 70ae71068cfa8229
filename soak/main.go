// Command soak runs entry VMs as real processes on loopback, harms them and all around them
// from outside, and checks what callers and backend servers see against the promises.
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

// options are the flags.
type options struct {
	seed     uint64
	duration time.Duration
	vms      int
	daemon   string
	dir      string
}

const (
	// settleTime is how long after the last fault all must be served again.
	settleTime = 12 * time.Second
	// servedAtEnd is the part of the requests that must be served then.
	servedAtEnd   = 0.9
	startTime     = 4 * time.Second
	progressEvery = 10 * time.Second
)

func main() {
	var o options
	cmd := &cobra.Command{
		Use:          "soak",
		Short:        "Run entry VMs under random faults and check their promises",
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
	// A signal ends the soak in order, so that it leaves no process behind.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := cmd.ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

// run plays one seed.
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
	h, err := play(ctx, o)
	if err != nil {
		return err
	}
	if err := writeReport(o, h); err != nil {
		return err
	}
	if len(h.broken) > 0 {
		return fmt.Errorf("seed %d: %d promises broken, the first: %s (report and logs: %s)", o.seed, len(h.broken), h.broken[0], o.dir)
	}
	fmt.Printf("seed %d: no promise broken in %d requests with %d faults (report: %s)\n", o.seed, len(h.senders), len(h.faults), o.dir)
	return nil
}

func play(ctx context.Context, o options) (*history, error) {
	w, err := newWorld(o.seed, o.vms, o.daemon, o.dir)
	if err != nil {
		return nil, err
	}
	defer w.close()
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	sleep(ctx, startTime)
	var callers sync.WaitGroup
	for i, d := range w.daemons {
		for n := range callersADaemon {
			c := w.newCaller(d, i*callersADaemon+n, o.seed)
			callers.Go(func() { c.run(callCtx) })
		}
	}
	faultCtx, endFaults := context.WithTimeout(ctx, o.duration)
	defer endFaults()
	go w.progress(callCtx)
	w.playFaults(faultCtx)
	healed := time.Now()
	sleep(ctx, settleTime)
	settled := time.Now()
	sleep(ctx, startTime)
	good, all := w.history.served(settled)
	if float64(good) < servedAtEnd*float64(all) || all == 0 {
		w.history.breakPromise("RECOVER", "%d of %d requests served %s after the last fault", good, all, settled.Sub(healed))
	}
	endCalls()
	callers.Wait()
	w.checkEnds()
	w.history.checkBudget()
	return w.history, nil
}

// checkEnds checks that no process ended by itself.
func (w *world) checkEnds() {
	for _, d := range w.daemons {
		d.mu.Lock()
		for _, e := range d.ends {
			if !e.caused {
				w.history.breakPromise("EXIT", "%s ended by itself at %s", d.name, e.at.Sub(w.history.begun))
			}
		}
		d.mu.Unlock()
	}
}

func (w *world) progress(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, progressEvery)
		h := w.history
		h.mu.Lock()
		fmt.Printf("%s: %d requests, %d faults, %d promises broken\n",
			time.Since(h.begun).Round(time.Second), len(h.senders), len(h.faults), len(h.broken))
		h.mu.Unlock()
	}
}
