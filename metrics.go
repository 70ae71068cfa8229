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

// reservoirSize and reservoirAlpha are the parameters of the timers' exponentially decaying samples.
// They weight a sample towards the last five minutes and give a 99.9% confidence level with a 5%
// margin of error, assuming a normal distribution.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// meters holds the metrics of a daemon.
type meters struct {
	registry          metrics.Registry
	controlReduce     metrics.Timer
	trafficReduce     metrics.Timer
	attempts          metrics.Timer
	hedges            metrics.Counter
	outcomes          [model.OutcomeCancelled + 1]metrics.Counter // number of ended attempts, by outcome code
	unknownOutcomes   metrics.Counter                             // number of ended attempts with an outcome code that this version does not define
	storeCalls        metrics.Counter
	unreadableObjects metrics.Counter
	answers           metrics.Counter
	partialAnswers    metrics.Counter
	neededAttempts    metrics.Counter
	sentAttempts      metrics.Counter
	leases            metrics.Gauge
	revision          metrics.Gauge
	ready             atomic.Bool
}

func newMeters() *meters {
	r := metrics.NewRegistry()
	m := &meters{
		registry:          r,
		controlReduce:     newTimer(r, "control.reduce"),
		trafficReduce:     newTimer(r, "traffic.reduce"),
		attempts:          newTimer(r, "attempt.latency"),
		hedges:            metrics.NewRegisteredCounter("attempt.hedges", r),
		storeCalls:        metrics.NewRegisteredCounter("store.calls", r),
		unreadableObjects: metrics.NewRegisteredCounter("store.objects.unreadable", r),
		answers:           metrics.NewRegisteredCounter("answers", r),
		partialAnswers:    metrics.NewRegisteredCounter("answers.partial", r),
		neededAttempts:    metrics.NewRegisteredCounter("answers.attempts.needed", r),
		sentAttempts:      metrics.NewRegisteredCounter("answers.attempts.sent", r),
		leases:            metrics.NewRegisteredGauge("ownership.leases", r),
		revision:          metrics.NewRegisteredGauge("config.revision", r),
		unknownOutcomes:   metrics.NewRegisteredCounter("attempt.outcome.unknown", r),
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
		panic(err) // possible only if the name is already registered
	}
	return t
}

func (m *meters) addCount(c effect.Count) {
	metrics.GetOrRegisterCounter(c.Name, m.registry).Inc(c.Add)
}

func (m *meters) recordAttempt(outcome model.OutcomeCode, hedge bool, latency time.Duration) {
	m.attempts.Update(latency)
	if hedge {
		m.hedges.Inc(1)
	}
	if int(outcome) >= len(m.outcomes) {
		m.unknownOutcomes.Inc(1)
		return
	}
	m.outcomes[outcome].Inc(1)
}

func (m *meters) recordRefusal(code model.RefusalCode) {
	metrics.GetOrRegisterCounter("refusals."+string(code), m.registry).Inc(1)
}

func (m *meters) recordAnswer(a *model.Answer) {
	m.answers.Inc(1)
	if !a.Coverage.Complete() {
		m.partialAnswers.Inc(1)
	}
	m.neededAttempts.Inc(int64(a.Needed))
	m.sentAttempts.Inc(int64(a.Attempts))
}

func (m *meters) recordView(v *model.View) {
	m.leases.Update(int64(len(v.Leases)))
	m.revision.Update(int64(v.Config.Revision))
	m.ready.Store(len(v.Config.Templates) > 0 && !v.Leaving)
}

// handler returns a handler that serves the metrics as JSON, or in the Prometheus text format if the
// query is format=prometheus.
func (m *meters) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("format") == "prometheus" {
			w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
			// Writing fails only if the scraper has closed the connection.
			_ = metricstext.Write(w, m.registry)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(m.registry, w)
	})
}
