package entry

import (
	"io"

	"github.com/rcrowley/go-metrics"

	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/internal/metricstext"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// reservoirSize and reservoirAlpha configure the exponentially decaying samples of timers: they
// favour the last minutes, with a confidence level of 99.9% and a margin of error of 5%.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Meters holds the metrics of an entry VM.
type Meters struct {
	registry      metrics.Registry
	counters      []metrics.Counter // indexed by dispatch.Counter
	storeCalls    metrics.Counter
	configVersion metrics.Gauge
	replicas      metrics.Gauge
	servingVMs    metrics.Gauge
	discarded     metrics.Gauge
	storeEra      metrics.Gauge
	eraChanges    metrics.Counter
}

// NewMeters returns a set of metrics, all at zero.
func NewMeters() *Meters {
	r := metrics.NewRegistry()
	m := &Meters{
		registry:      r,
		storeCalls:    metrics.NewRegisteredCounter("store.calls", r),
		configVersion: metrics.NewRegisteredGauge("config.version", r),
		replicas:      metrics.NewRegisteredGauge("backend_servers", r),
		servingVMs:    metrics.NewRegisteredGauge("vms", r),
		discarded:     metrics.NewRegisteredGauge("log.lines_discarded", r),
		storeEra:      metrics.NewRegisteredGauge("store.era", r),
		eraChanges:    metrics.NewRegisteredCounter("store.era_changes", r),
	}
	for _, c := range dispatch.Counters() {
		m.counters = append(m.counters, metrics.NewRegisteredCounter(c.String(), r))
	}
	return m
}

// Write writes all metrics to w in the text format of package metricstext.
func (m *Meters) Write(w io.Writer) error { return metricstext.Write(w, m.registry) }

// Registry returns the registry of the metrics, for those of other packages.
func (m *Meters) Registry() metrics.Registry { return m.registry }

func (m *Meters) increment(c dispatch.Counter) { m.counters[c].Inc(1) }

func (m *Meters) recordDuration(e dispatch.RecordDuration) {
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

// recordEra records the era of the store, and counts a change unless it is the first era that is known.
func (m *Meters) recordEra(era uint64) {
	before := m.storeEra.Value()
	if int64(era) == before {
		return
	}
	if before != 0 {
		m.eraChanges.Inc(1)
	}
	m.storeEra.Update(int64(era))
}

func (m *Meters) recordView(v *model.EntryView) {
	servers := 0
	for _, replicas := range v.Replicas {
		servers += len(replicas)
	}
	m.replicas.Update(int64(servers))
	m.servingVMs.Update(int64(v.ServingVMs))
	if v.Config != nil {
		m.configVersion.Update(int64(v.Config.Version))
	}
}
