package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/api/caller"
)

// requestFlags are the flags of search, read and submit.
type requestFlags struct {
	customer, route, shard, class, key string
	deadlineMs, snapshot               int64
	minCoverage                        float64
	limit                              int
	repeat                             bool
}

func (r *requestFlags) addCommonFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&r.customer, "customer", "", "customer (required)")
	f.StringVar(&r.route, "route", "", "route (required)")
	f.StringVar(&r.class, "class", "", "priority class; default from the template")
	f.Int64Var(&r.deadlineMs, "deadline-ms", 0, "time for the whole request in milliseconds; default from the template")
	_ = cmd.MarkFlagRequired("customer")
	_ = cmd.MarkFlagRequired("route")
}

func (r *requestFlags) addSearchFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.Int64Var(&r.snapshot, "snapshot", 0, "snapshot to answer from; default the newest")
	f.Float64Var(&r.minCoverage, "min-coverage", -1, "least share of shards, 0 to 1; default from the template")
	f.IntVar(&r.limit, "limit", 10, "most hits to return")
}

func (r *requestFlags) addShardFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&r.shard, "shard", "", "shard (required)")
	_ = cmd.MarkFlagRequired("shard")
}

func (r *requestFlags) searchRequest(query string) *caller.SearchRequest {
	req := &caller.SearchRequest{Query: query}
	if r.deadlineMs > 0 {
		req.DeadlineMs = caller.NewOptInt64(r.deadlineMs)
	}
	if r.minCoverage >= 0 {
		req.MinCoverage = caller.NewOptFloat64(r.minCoverage)
	}
	if r.class != "" {
		req.Class = caller.NewOptString(r.class)
	}
	if r.snapshot > 0 {
		req.Snapshot = caller.NewOptInt64(r.snapshot)
	}
	if r.limit > 0 {
		req.Limit = caller.NewOptInt(r.limit)
	}
	return req
}

func (a *app) searchCommand() *cobra.Command {
	var r requestFlags
	cmd := &cobra.Command{
		Use:   "search QUERY",
		Short: "Search all shards of a route",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.callerClient()
			if err != nil {
				return err
			}
			ans, err := c.Search(cmd.Context(), r.searchRequest(args[0]), caller.SearchParams{Customer: r.customer, Route: r.route})
			return a.reportAnswer(ans, err)
		},
	}
	r.addCommonFlags(cmd)
	r.addSearchFlags(cmd)
	return cmd
}

func (a *app) readCommand() *cobra.Command {
	var r requestFlags
	cmd := &cobra.Command{
		Use:   "read QUERY",
		Short: "Read from one shard",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.callerClient()
			if err != nil {
				return err
			}
			p := caller.ReadParams{Customer: r.customer, Route: r.route, Shard: r.shard}
			ans, err := c.Read(cmd.Context(), r.searchRequest(args[0]), p)
			return a.reportAnswer(ans, err)
		},
	}
	r.addCommonFlags(cmd)
	r.addSearchFlags(cmd)
	r.addShardFlag(cmd)
	return cmd
}

func (a *app) submitCommand() *cobra.Command {
	var r requestFlags
	cmd := &cobra.Command{
		Use:   "submit WORK",
		Short: "Submit work that must run at most once",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.callerClient()
			if err != nil {
				return err
			}
			req := &caller.SubmitRequest{Query: args[0]}
			if r.key != "" {
				req.Key = caller.NewOptString(r.key)
			}
			if r.repeat {
				req.Repeat = caller.NewOptBool(true)
			}
			if r.deadlineMs > 0 {
				req.DeadlineMs = caller.NewOptInt64(r.deadlineMs)
			}
			if r.class != "" {
				req.Class = caller.NewOptString(r.class)
			}
			p := caller.SubmitParams{Customer: r.customer, Route: r.route, Shard: r.shard}
			ans, err := c.Submit(cmd.Context(), req, p)
			return a.reportAnswer(ans, err)
		},
	}
	r.addCommonFlags(cmd)
	r.addShardFlag(cmd)
	cmd.Flags().StringVar(&r.key, "key", "", "idempotency key; a second submit with the same key is refused")
	cmd.Flags().BoolVar(&r.repeat, "repeat", false, "the work may have been submitted before; run it only on proof that it was not")
	return cmd
}

// reportAnswer prints the answer to a caller's request. A refusal, an error or a partial answer
// gives an error with an exit code.
func (a *app) reportAnswer(ans *caller.Answer, err error) error {
	if err != nil {
		return a.callerError(err)
	}
	if err := a.print(ans, func(w io.Writer) { printAnswer(w, ans) }); err != nil {
		return err
	}
	if !ans.Complete {
		return exitErrorf(ExitPartial, "the answer covers %d of %d shards", ans.Coverage.Answered, ans.Coverage.Wanted)
	}
	return nil
}

func printAnswer(w io.Writer, ans *caller.Answer) {
	state := "complete"
	if !ans.Complete {
		state = "partial"
	}
	fmt.Fprintf(w, "%s: %d of %d shards, version %s, snapshot %d, %d attempts for %d needed\n", state,
		ans.Coverage.Answered, ans.Coverage.Wanted, ans.Version, ans.Snapshot, ans.Attempts, ans.Needed)
	for _, m := range ans.Coverage.Missing {
		fmt.Fprintf(w, "  missing shard %s: %s %s\n", m.Shard, m.Reason, m.Peer.Or(""))
	}
	for _, h := range ans.Hits {
		fmt.Fprintf(w, "  %.4f %s\n", h.Score, h.Document)
	}
}

// callerError converts the error of a caller's request into one with an exit code, and prints a
// refusal as JSON if --output is json.
func (a *app) callerError(err error) error {
	var refused *caller.RefusedStatusCode
	if errors.As(err, &refused) {
		r := &refused.Response
		if a.output == "json" {
			if err := a.print(r, nil); err != nil {
				return err
			}
		}
		return exitErrorf(ExitRefused, "%s: %s (step %s, peer %s)", r.Code, r.Reason, r.Step, r.Peer.Or("-"))
	}
	if isDialError(err) {
		return exitErrorf(ExitUnavailable, "no daemon answers at %s: %v; name another one with --caller", a.caller, err)
	}
	return exitErrorf(ExitUnknown, "%v", err)
}
