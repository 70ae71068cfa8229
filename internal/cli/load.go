package cli

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/internal/load"
)

func (a *app) loadCommand() *cobra.Command {
	var cfg load.Config
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a given rate and report latency, coverage and extra load",
		Long: "Sends requests at a given rate, whether or not earlier ones have been answered. Latency\n" +
			"counts from the intended send time, so that a stall shows in full.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(cfg.Callers) == 0 {
				cfg.Callers = []string{a.caller}
			}
			if err := cfg.Validate(); err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			r, err := load.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return a.print(r, func(w io.Writer) { r.Text(w) })
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&cfg.Callers, "callers", nil, "caller URLs, comma-separated, used in turn; default --caller")
	f.StringVar(&cfg.Customer, "customer", "", "customer (required)")
	f.StringVar(&cfg.Route, "route", "", "route (required)")
	f.StringVar(&cfg.Shard, "shard", "", "read this shard instead of searching all")
	f.StringVar(&cfg.Class, "class", "", "priority class; default from the template")
	f.Float64Var(&cfg.Rate, "rate", 100, "requests a second")
	f.DurationVar(&cfg.Duration, "duration", 10*time.Second, "time for which requests are sent")
	f.DurationVar(&cfg.Deadline, "deadline", 0, "time for each request; default from the template")
	_ = cmd.MarkFlagRequired("customer")
	_ = cmd.MarkFlagRequired("route")
	return cmd
}
