package admission_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestHedges guards against hedges and retries that their conditions or budgets forbid.
func TestHedges(t *testing.T) {
	const warmUp = 100 // requests, which add the tokens of three hedges
	runScenarios(t, []scenario{
		{"hedge after the percentile delay, first attempt cancelled", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			q := h.sendOne(nil)
			first := h.lastAttempt(q)
			h.advance(9 * ms)
			before := h.lastAttempt(q).Hedge
			h.advance(1 * ms)
			h.endLastAttempt(q, model.OutcomeOK)
			reply := h.firstReply(q)
			return fmt.Sprint(before, h.lastAttempt(q).Hedge, first.Server.ID != h.lastAttempt(q).Server.ID,
				slices.Equal(h.cancels, []model.AttemptID{first.Attempt}), reply.Attempts, " ", h.loads())
		}, "false true true true 2 1/3 0/3"},
		{"no hedge while requests are queued", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			h.sendMany(7, nil)
			h.advance(50 * ms)
			return fmt.Sprint(h.counts[admission.CountHedges])
		}, "0"},
		{"no hedge of a submit", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			h.sendOne(submit("a"))
			h.advance(50 * ms)
			return fmt.Sprint(h.counts[admission.CountHedges])
		}, "0"},
		{"no hedge without another replica", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			h.setZone(zoneA, true)
			h.sendOne(nil)
			h.advance(50 * ms)
			return fmt.Sprint(h.counts[admission.CountHedges])
		}, "0"},
		{"hedge fails, first attempt succeeds", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			q := h.sendOne(nil)
			first := h.lastAttempt(q).Attempt
			h.advance(20 * ms)
			h.endLastAttempt(q, model.OutcomeFailed)
			h.endAttempt(first, model.AttemptResult{Outcome: model.OutcomeOK})
			return h.outcome(q)
		}, "ok"},
		{"no retries without budget", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			for range 20 {
				q := h.sendOne(nil)
				h.advance(ms)
				h.endLastAttempt(q, model.OutcomeFailed)
				if h.outcome(q) == "0 replies" {
					h.endLastAttempt(q, model.OutcomeOK)
				}
			}
			return fmt.Sprint(h.counts[admission.CountRetries])
		}, "11"}, // a full budget of 10 tokens, and 0.1 from each of requests 2 to 11
		{"snapshot gone on one replica", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			q := h.sendOne(nil)
			h.endLastAttempt(q, model.OutcomeSnapshotGone)
			h.endLastAttempt(q, model.OutcomeOK)
			return h.outcome(q)
		}, "ok"},
		{"failure reported instead of a later shed", func(h *harness) string {
			h.serve(warmUp, 10*ms)
			q := h.sendOne(nil)
			h.endLastAttempt(q, model.OutcomeFailed)
			h.endLastAttempt(q, model.OutcomeShed)
			return h.outcome(q)
		}, "failed"},
		{"a retry after a failure and a shed takes a token", func(h *harness) string {
			h.setView(changeView(h.view, func(_ *model.View, c *model.VersionConfig) {
				c.Shards = slices.Clone(c.Shards)
				extra := model.BackendServer{ID: "s0000-2", Zone: zoneA}
				c.Shards[0].Replicas = append(slices.Clone(c.Shards[0].Replicas), extra)
			}))
			h.serve(warmUp, 10*ms)
			q := h.sendOne(nil)
			h.endLastAttempt(q, model.OutcomeFailed)
			h.endLastAttempt(q, model.OutcomeShed)
			h.endLastAttempt(q, model.OutcomeOK)
			return fmt.Sprint(h.outcome(q), " ", h.counts[admission.CountRetries], h.counts[admission.CountResends])
		}, "ok 2 0"},
		{"one resend to the other replica after a refused connection", func(h *harness) string {
			q := h.sendOne(nil)
			h.endLastAttempt(q, model.OutcomeRefusedConnection)
			h.endLastAttempt(q, model.OutcomeRefusedConnection)
			return fmt.Sprint(h.outcome(q), " ", h.firstReply(q).Attempts)
		}, "connection refused 2"},
	})
}
