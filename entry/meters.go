package entry

import (
	"io"

	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/internal/metricstext"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// reservoirSize and reservoirAlpha give timers a sample of the last minutes with a 99.9%
// confidence of 5%.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Meters holds the metrics of an entry VM.
type Meters struct {
	registry   metrics.Registry
	counters   []metrics.Counter // by dispatch.Counter
	storeCalls metrics.Counter
	config     metrics.Gauge
	replicas   metrics.Gauge
	shares     metrics.Gauge
	discarded  metrics.Gauge
}

// NewMeters returns metrics that are all zero.
func NewMeters() *Meters {
	r := metrics.NewRegistry()
	m := &Meters{
		registry:   r,
		storeCalls: metrics.NewRegisteredCounter("store.calls", r),
		config:     metrics.NewRegisteredGauge("config.version", r),
		replicas:   metrics.NewRegisteredGauge("backend_servers", r),
		shares:     metrics.NewRegisteredGauge("vms", r),
		discarded:  metrics.NewRegisteredGauge("log.lines_discarded", r),
	}
	for _, c := range dispatch.Counters() {
		m.counters = append(m.counters, metrics.NewRegisteredCounter(c.String(), r))
	}
	return m
}

// Write writes all metrics as text.
func (m *Meters) Write(w io.Writer) error { return metricstext.Write(w, m.registry) }

func (m *Meters) count(c dispatch.Counter) { m.counters[c].Inc(1) }

func (m *Meters) timed(e dispatch.RecordDuration) {
	name := "query.latency." + e.Route
	if e.Attempt {
		name = "attempt.latency." + e.Route
	}
	m.timer(name).Update(e.Duration)
}

func (m *Meters) timer(name string) metrics.Timer {
	return m.registry.GetOrRegister(name, func() metrics.Timer {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
		return metrics.NewCustomTimer(h, metrics.NewMeter())
	}).(metrics.Timer)
}

func (m *Meters) view(v *model.EntryView) {
	n := 0
	for _, replicas := range v.Replicas {
		n += len(replicas)
	}
	m.replicas.Update(int64(n))
	m.shares.Update(int64(v.ServingVMs))
	if v.Config != nil {
		m.config.Update(int64(v.Config.Version))
	}
}
