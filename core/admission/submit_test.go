package admission_test

import (
	"fmt"
	"testing"

	"github.com/gooseberrylock/gooseberrylock/core/admission"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// TestSubmits guards against a submit that runs twice, and against a reply that reports a submit
// as not run although it may have run.
func TestSubmits(t *testing.T) {
	ends := func(outcome, second model.OutcomeCode) func(h *harness) string {
		return func(h *harness) string {
			q := h.sendOne(submit("a"))
			h.endLastAttempt(q, outcome)
			if h.outcome(q) == "0 replies" {
				h.endLastAttempt(q, second)
			}
			return h.outcomes(q, h.sendOne(repeat("a")))
		}
	}
	runScenarios(t, []scenario{
		{"timeout is not sent again", ends(model.OutcomeTimeout, 0), "timeout, duplicate"},
		{"lost is not sent again", ends(model.OutcomeLost, 0), "lost, duplicate"},
		{"failed is not sent again", ends(model.OutcomeFailed, 0), "failed, duplicate"},
		{"refused, then lost", ends(model.OutcomeRefusedConnection, model.OutcomeLost), "lost, duplicate"},
		{"submit shed twice may be repeated", ends(model.OutcomeShed, model.OutcomeShed), "shed, 0 replies"},
		{"duplicate at the server", ends(model.OutcomeDuplicate, 0), "duplicate, duplicate"},
		{"duplicate of a running submit", func(h *harness) string {
			q := h.sendOne(submit("a"))
			return h.outcomes(q, h.sendOne(submit("a")))
		}, "0 replies, duplicate"},
		{"duplicated message", func(h *harness) string {
			s := h.newSearch(0)
			submit("a")(&s)
			h.send(s, s)
			h.send(s)
			return fmt.Sprint(len(h.started), " ", h.outcome(s.Query))
		}, "1 0 replies"},
		{"duplicated message without idempotency key", func(h *harness) string {
			s := h.newSearch(0)
			submit("")(&s)
			h.send(s)
			h.endLastAttempt(s.Query, model.OutcomeOK)
			h.send(s)
			return fmt.Sprint(len(h.started))
		}, "1"},
		{"recorded by the previous owner", func(h *harness) string {
			h.setLease(model.Lease{Until: model.Never, Term: 2, Clean: true, Submits: []model.SeenSubmit{
				{Dedupe: "ran", Seen: h.now}, {Dedupe: "refused", Seen: h.now, NotRun: true},
			}})
			return h.outcomes(h.sendOne(submit("ran")), h.sendOne(repeat("refused")))
		}, "duplicate, 0 replies"},
		{"run by this owner, refused by the previous owner", func(h *harness) string {
			h.endLastAttempt(h.sendOne(submit("a")), model.OutcomeOK)
			h.setLease(model.Lease{Until: model.Never, Term: 2, Clean: true, Submits: []model.SeenSubmit{
				{Dedupe: "a", Seen: h.now, NotRun: true},
			}})
			return h.outcome(h.sendOne(repeat("a")))
		}, "duplicate"},
		{"repeat of an unknown key", func(h *harness) string {
			early := h.sendOne(repeat("a"))
			h.advance(admission.SubmitRetention)
			return h.outcomes(early, h.sendOne(repeat("a")))
		}, "lost, 0 replies"},
		{"removed after ten minutes", func(h *harness) string {
			h.endLastAttempt(h.sendOne(submit("a")), model.OutcomeOK)
			h.advance(admission.SubmitRetention - ms)
			early := h.sendOne(submit("a"))
			h.advance(ms)
			return h.outcomes(early, h.sendOne(submit("a")))
		}, "duplicate, 0 replies"},
		{"queued during a pause", func(h *harness) string {
			h.sendMany(6, nil)
			q := h.sendOne(submit("a"))
			h.now = h.now.Add(admission.PauseThreshold + ms)
			h.advance(0)
			return h.outcomes(q, h.sendOne(repeat("a")))
		}, "expired, 0 replies"},
		{"queued on a worker without traffic", func(h *harness) string {
			h.sendMany(6, nil)
			q := h.sendOne(submit("a"))
			h.advance(admission.PauseThreshold + 100*ms)
			return h.outcome(q)
		}, "0 replies"},
		{"cancel while queued", func(h *harness) string {
			h.sendMany(6, nil)
			q := h.sendOne(submit("a"))
			h.cancel(q)
			return h.outcomes(q, h.sendOne(repeat("a")))
		}, "0 replies, 0 replies"},
		{"cancel while running", func(h *harness) string {
			q := h.sendOne(submit("a"))
			h.cancel(q)
			h.endLastAttempt(q, model.OutcomeOK)
			return fmt.Sprint(h.outcome(q), " ", len(h.cancels))
		}, "ok 0"},
	})
}
