package gooseberrylock

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/internal/metricstext"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// reservoirSize and reservoirAlpha give timers a sample of the last minutes with a 99.9%
// confidence of 5%.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// meters holds the metrics of a daemon.
type meters struct {
	registry      metrics.Registry
	controlReduce metrics.Timer
	trafficReduce metrics.Timer
	attempts      metrics.Timer
	hedges        metrics.Counter
	outcomes      [model.OutcomeCancelled + 1]metrics.Counter // of attempts
	otherOutcomes metrics.Counter                             // that this version does not know
	storeCalls    metrics.Counter
	unreadable    metrics.Counter
	answers       metrics.Counter
	partial       metrics.Counter
	needed        metrics.Counter
	sent          metrics.Counter
	leases        metrics.Gauge
	revision      metrics.Gauge
	ready         atomic.Bool
}

func newMeters() *meters {
	r := metrics.NewRegistry()
	m := &meters{
		registry:      r,
		controlReduce: newTimer(r, "control.reduce"),
		trafficReduce: newTimer(r, "traffic.reduce"),
		attempts:      newTimer(r, "attempt.latency"),
		hedges:        metrics.NewRegisteredCounter("attempt.hedges", r),
		storeCalls:    metrics.NewRegisteredCounter("store.calls", r),
		unreadable:    metrics.NewRegisteredCounter("store.objects.unreadable", r),
		answers:       metrics.NewRegisteredCounter("answers", r),
		partial:       metrics.NewRegisteredCounter("answers.partial", r),
		needed:        metrics.NewRegisteredCounter("answers.attempts.needed", r),
		sent:          metrics.NewRegisteredCounter("answers.attempts.sent", r),
		leases:        metrics.NewRegisteredGauge("ownership.leases", r),
		revision:      metrics.NewRegisteredGauge("config.revision", r),
		otherOutcomes: metrics.NewRegisteredCounter("attempt.outcome.unknown", r),
	}
	for i := range m.outcomes {
		m.outcomes[i] = metrics.NewRegisteredCounter("attempt.outcome."+model.OutcomeCode(i).String(), r)
	}
	return m
}

func newTimer(r metrics.Registry, name string) metrics.Timer {
	h := metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	t := metrics.NewCustomTimer(h, metrics.NewMeter())
	if err := r.Register(name, t); err != nil {
		panic(err) // only a doubled name can cause this
	}
	return t
}

func (m *meters) count(c effect.Count) {
	metrics.GetOrRegisterCounter(c.Name, m.registry).Inc(c.Add)
}

func (m *meters) attempt(outcome model.OutcomeCode, hedge bool, took time.Duration) {
	m.attempts.Update(took)
	if hedge {
		m.hedges.Inc(1)
	}
	if int(outcome) >= len(m.outcomes) {
		m.otherOutcomes.Inc(1)
		return
	}
	m.outcomes[outcome].Inc(1)
}

func (m *meters) refused(code model.RefusalCode) {
	metrics.GetOrRegisterCounter("refusals."+string(code), m.registry).Inc(1)
}

func (m *meters) answered(a *model.Answer) {
	m.answers.Inc(1)
	if !a.Coverage.Complete() {
		m.partial.Inc(1)
	}
	m.needed.Inc(int64(a.Needed))
	m.sent.Inc(int64(a.Attempts))
}

func (m *meters) view(v *model.View) {
	m.leases.Update(int64(len(v.Leases)))
	m.revision.Update(int64(v.Config.Revision))
	m.ready.Store(len(v.Config.Templates) > 0 && !v.Leaving)
}

// handler serves the metrics as JSON, or with ?format=prometheus in the text format that
// scrapers read.
func (m *meters) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("format") == "prometheus" {
			w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
			// A scraper that has left needs no answer.
			_ = metricstext.Write(w, m.registry)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(m.registry, w)
	})
}
