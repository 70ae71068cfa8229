package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/api/store"
	"github.com/gooseberrylock/gooseberrylock/standin"
)

func (a *app) standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for an outside system on loopback"}
	cmd.AddCommand(a.standinStoreCommand(), a.standinSearcherCommand())
	return cmd
}

func (a *app) standinStoreCommand() *cobra.Command {
	var listen string
	var vms []string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run an object store in memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := parseVMs(vms)
			if err != nil {
				return err
			}
			return a.serveStandin(cmd.Context(), "store", listen, standin.NewStore(list).Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7100", "address on loopback")
	cmd.Flags().StringArrayVar(&vms, "vm", nil, "entry of the platform's list: NAME,ZONE,PEER-ADDRESS (repeatable)")
	return cmd
}

func parseVMs(list []string) ([]store.VM, error) {
	var vms []store.VM
	for _, v := range list {
		parts := strings.Split(v, ",")
		if len(parts) != 3 {
			return nil, exitErrorf(ExitUsage, "--vm %q is not NAME,ZONE,PEER-ADDRESS", v)
		}
		vms = append(vms, store.VM{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	return vms, nil
}

func (a *app) standinSearcherCommand() *cobra.Command {
	var listen string
	var printSubmits bool
	var snapshotEvery time.Duration
	cfg := standin.SearcherConfig{}
	cmd := &cobra.Command{
		Use:   "searcher",
		Short: "Run a backend server with made-up documents",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if printSubmits {
				// Each submit is printed when it runs, so that its line is not lost if the process is
				// killed later.
				cfg.OnSubmit = func(query string) { fmt.Fprintf(a.out, "submit %s\n", query) }
			}
			if snapshotEvery > 0 {
				cfg.FirstNewest = time.Now().UnixNano() / int64(snapshotEvery)
			}
			s := standin.NewSearcher(cfg)
			if snapshotEvery > 0 {
				go publishSnapshots(cmd.Context(), s, cfg.FirstNewest, snapshotEvery)
			}
			return a.serveStandin(cmd.Context(), "searcher", listen, s.Handler())
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7200", "address on loopback")
	f.IntVar(&cfg.Slots, "slots", 3, "attempts that run at once; more are shed")
	f.IntVar(&cfg.ColdSlots, "cold-slots", 1, "attempts that run at once in cold start; one more and it falls over")
	f.IntVar(&cfg.WarmAfter, "warm-after", 20, "attempts that end the cold start")
	f.DurationVar(&cfg.Median, "median", 8*time.Millisecond, "median service time")
	f.Float64Var(&cfg.Sigma, "sigma", 0.4, "standard deviation of the logarithm of the service time")
	f.Float64Var(&cfg.SlowShare, "slow-share", 0.01, "share of attempts that take ten times as long")
	f.Float64Var(&cfg.FailShare, "fail-share", 0, "share of attempts that fail")
	f.IntVar(&cfg.Hits, "hits", 5, "hits per attempt")
	f.BoolVar(&printSubmits, "print-submits", false, "print a line for each submit that is run")
	f.DurationVar(&snapshotEvery, "snapshot-every", 0, "time from one snapshot to the next, by the wall clock; 0 for one snapshot only")
	return cmd
}

// publishSnapshots publishes a snapshot at each multiple of period on the wall clock until ctx is
// done. A snapshot's number is the Unix time divided by period, so that a restarted searcher
// serves the same snapshots as the others.
func publishSnapshots(ctx context.Context, s *standin.Searcher, newest int64, period time.Duration) {
	for {
		newest++
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(time.Unix(0, newest*int64(period)))):
			s.Publish()
		}
	}
}

// serveStandin serves a stand-in until ctx is done. It rejects addresses that are not loopback.
func (a *app) serveStandin(ctx context.Context, name, listen string, h http.Handler) error {
	host, _, err := net.SplitHostPort(listen)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return exitErrorf(ExitUsage, "--listen %q is not a loopback address with a port", listen)
	}
	lis, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s ready at %s\n", name, lis.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
