package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/api/operator"
)

func (a *app) movesCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "moves",
		Short: "Report version moves; start or take one back",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			list, err := c.ListMoves(cmd.Context())
			if err != nil {
				return a.operatorError(err)
			}
			return a.print(list, func(w io.Writer) { printMoves(w, list) })
		},
	}
	cmd.AddCommand(a.startMoveCommand(), a.takeBackCommand())
	return cmd
}

func printMoves(w io.Writer, list *operator.MoveList) {
	for _, m := range list.Moves {
		withheld := ""
		if m.Withheld {
			withheld = ", withheld"
		}
		fmt.Fprintf(w, "%s: %s %s %s -> %s, share %g%%, deadline %s%s\n", m.Name, m.Phase, m.Customer,
			m.From, m.To, 100*m.Share, m.Deadline.Format(time.RFC3339), withheld)
		if reason := m.Reason.Or(""); reason != "" {
			fmt.Fprintf(w, "  reason: %s\n", reason)
		}
		for _, e := range m.RoutesEvidence {
			fmt.Fprintf(w, "  %s: %d new, %d old, %d pairs; failed new/old only %d/%d; slow new/old only %d/%d\n",
				e.Route, e.NewRequests, e.OldRequests, e.Pairs, e.FailedNewWorse, e.FailedOldWorse,
				e.SlowNewWorse, e.SlowOldWorse)
		}
	}
}

func (a *app) startMoveCommand() *cobra.Command {
	var spec operator.MoveSpec
	var deadline string
	cmd := &cobra.Command{
		Use:   "start NAME",
		Short: "Start to move traffic to a new version",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if spec.Deadline, err = parseDeadline(deadline, time.Now()); err != nil {
				return err
			}
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			res, err := c.StartMove(cmd.Context(), &spec, operator.StartMoveParams{Move: args[0]})
			if err != nil {
				return a.operatorError(err)
			}
			return a.reportResult(res, "started move "+args[0])
		},
	}
	f := cmd.Flags()
	f.StringVar(&spec.Customer, "customer", "", "customer (required)")
	f.StringSliceVar(&spec.Routes, "routes", nil, "routes, comma-separated (required)")
	f.StringVar(&spec.From, "from", "", "version that serves now (required)")
	f.StringVar(&spec.To, "to", "", "version to move to (required)")
	f.StringVar(&deadline, "deadline", "", "time by which the move is finished or taken back: RFC 3339, or a duration from now such as 2h (required)")
	for _, name := range []string{"customer", "routes", "from", "to", "deadline"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// parseDeadline parses an RFC 3339 time, or a duration that counts from now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, exitErrorf(ExitUsage, "--deadline %q is neither a time such as 2026-12-24T18:00:00Z nor a duration such as 2h", text)
	}
	return t, nil
}

func (a *app) takeBackCommand() *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "take-back NAME",
		Short: "Take a running move back",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			p := operator.TakeBackMoveParams{Move: args[0]}
			if reason != "" {
				p.Reason = operator.NewOptString(reason)
			}
			res, err := c.TakeBackMove(cmd.Context(), p)
			if err != nil {
				return a.operatorError(err)
			}
			return a.reportResult(res, "took back move "+args[0])
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "reason shown in reports")
	return cmd
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show what a daemon sees of the deployment",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			s, err := c.GetStatus(cmd.Context())
			if err != nil {
				return a.operatorError(err)
			}
			return a.print(s, func(w io.Writer) { printStatus(w, s) })
		},
	}
}

func printStatus(w io.Writer, s *operator.Status) {
	store := "reachable"
	if !s.StoreUp {
		store = "not reachable"
	}
	fmt.Fprintf(w, "VM %s in zone %s, boot %s\n", s.VM, s.Zone, s.Boot)
	fmt.Fprintf(w, "configuration version %d, store %s, roster revision %d\n", s.Revision, store, s.RosterRevision)
	automation := "running"
	if s.Paused {
		automation = "paused"
		if until, ok := s.PausedUntil.Get(); ok {
			automation += " until " + until.Format(time.RFC3339)
		}
	}
	fmt.Fprintf(w, "automation %s; zones out: %s; overrides: %s\n", automation, joinOrNone(s.ZonesOut), joinOrNone(s.Overrides))
	fmt.Fprintf(w, "owns %d of %d shards; draining: %t\n", s.OwnedShards, s.WantedShards, s.Draining)
	for _, m := range s.Members {
		fmt.Fprintf(w, "  %-16s zone %-16s alive %-5t voter %-5t configuration %d\n", m.VM, m.Zone, m.Alive, m.Voter, m.Revision)
	}
}
