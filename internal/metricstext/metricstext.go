// Package metricstext writes metrics in the Prometheus text format.
package metricstext

import (
	"io"
	"regexp"
	"sort"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// Write writes the counters, gauges and timers of a registry, sorted by name. It returns the first
// write error.
func Write(w io.Writer, r metrics.Registry) error {
	var families []*dto.MetricFamily
	r.Each(func(name string, v any) {
		if f := family(name, v); f != nil {
			families = append(families, f)
		}
	})
	sort.Slice(families, func(i, j int) bool { return families[i].GetName() < families[j].GetName() })
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return err
		}
	}
	return nil
}

var invalidNameChars = regexp.MustCompile(`[^a-z0-9]+`)

func metricName(name string) string {
	return "gooseberrylock_" + strings.Trim(invalidNameChars.ReplaceAllString(strings.ToLower(name), "_"), "_")
}

// quantiles are the quantiles that are written for each timer.
var quantiles = []float64{0.5, 0.99, 0.999}

func family(name string, v any) *dto.MetricFamily {
	n := metricName(name)
	switch m := v.(type) {
	case metrics.Counter:
		n += "_total"
		value := float64(m.Count())
		return newFamily(n, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: &value}})
	case metrics.Gauge:
		value := float64(m.Value())
		return newFamily(n, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: &value}})
	case metrics.Timer:
		return newFamily(n+"_seconds", dto.MetricType_SUMMARY, &dto.Metric{Summary: summary(m.Snapshot())})
	}
	return nil
}

func newFamily(name string, t dto.MetricType, m *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: &name, Type: &t, Metric: []*dto.Metric{m}}
}

func summary(t metrics.Timer) *dto.Summary {
	count := uint64(t.Count())
	sum := t.Mean() * float64(count) / float64(time.Second)
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, p := range t.Percentiles(quantiles) {
		q := quantiles[i]
		seconds := p / float64(time.Second)
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &q, Value: &seconds})
	}
	return s
}
