package ingress

import "github.com/rcrowley/go-metrics"

// Meters counts refusals by cause.
type Meters struct {
	refusals [causes]metrics.Counter
}

// NewMeters registers counters NAME.refused.CAUSE.
func NewMeters(r metrics.Registry, name string) *Meters {
	m := &Meters{}
	for _, c := range Causes() {
		m.refusals[c] = metrics.NewRegisteredCounter(name+".refused."+c.String(), r)
	}
	return m
}

// Observe counts a refusal.
func (m *Meters) Observe(r Refusal) { m.refusals[r.Cause].Inc(1) }

// RegisterUsage registers gauges NAME.connections and NAME.request_bytes for what the connections hold.
func (g *Guard) RegisterUsage(r metrics.Registry, name string) {
	metrics.NewRegisteredFunctionalGauge(name+".connections", r, func() int64 { return int64(g.Usage().Conns) })
	metrics.NewRegisteredFunctionalGauge(name+".request_bytes", r, func() int64 { return g.Usage().Bytes })
}
