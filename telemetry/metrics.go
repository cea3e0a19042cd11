package telemetry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Metrics is the set of counters, gauges and histograms of one process. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns an empty set.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry()}
}

// labelSeparator separates the family and the labels in registry names. Families and labels must not contain it.
const labelSeparator = "|"

// Counter returns the counter of a family with one label, for example "refusals", "reason", "overloaded". Code that uses a
// counter often should look it up once and keep it.
func (c *Metrics) Counter(family, label, value string) metrics.Counter {
	return metrics.GetOrRegisterCounter(family+labelSeparator+label+"="+value, c.registry)
}

// UnlabeledCounter returns the counter of a family without labels.
func (c *Metrics) UnlabeledCounter(family string) metrics.Counter {
	return metrics.GetOrRegisterCounter(family, c.registry)
}

// Gauge returns the gauge with a name.
func (c *Metrics) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, c.registry)
}

// histogramSamples and histogramDecayAlpha are the parameters of the exponentially decaying reservoir of a histogram: 128
// samples that favour the last five minutes, the usual choice for service times.
const (
	histogramSamples    = 128
	histogramDecayAlpha = 0.015
)

// Histogram returns the histogram of a family with two labels. The values are in the unit in which the family's name ends.
func (c *Metrics) Histogram(family, label1, value1, label2, value2 string) metrics.Histogram {
	name := family + labelSeparator + label1 + "=" + value1 + labelSeparator + label2 + "=" + value2
	if h, ok := c.registry.Get(name).(metrics.Histogram); ok {
		return h
	}
	return metrics.GetOrRegisterHistogram(name, c.registry, metrics.NewExpDecaySample(histogramSamples, histogramDecayAlpha))
}

// ServeHTTP writes every value in the Prometheus text exposition format, version 0.0.4, sorted by name.
func (c *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, line := range c.exposition() {
		fmt.Fprintln(w, line)
	}
}

// exposition returns the lines of the exposition format, sorted.
func (c *Metrics) exposition() []string {
	var lines []string
	c.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", exposedName(name, "_total"), m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", exposedName(name, ""), m.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, m.Snapshot())...)
		}
	})
	slices.Sort(lines)
	return lines
}

// quantiles are the quantiles that are exposed for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// histogramLines returns the lines of a histogram in the form of a Prometheus summary.
func histogramLines(name string, h metrics.Histogram) []string {
	values := h.Percentiles(quantiles)
	var lines []string
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s %g", exposedName(name+labelSeparator+fmt.Sprintf("quantile=%g", q), ""), values[i]))
	}
	lines = append(lines, fmt.Sprintf("%s %d", exposedName(name, "_count"), h.Count()))
	return append(lines, fmt.Sprintf("%s %d", exposedName(name, "_sum"), h.Sum()))
}

// exposedName converts a registry name, a family with any number of labels, to the exposition format.
func exposedName(name, suffix string) string {
	parts := strings.Split(name, labelSeparator)
	exposed := "heatherwall_" + parts[0] + suffix
	if len(parts) == 1 {
		return exposed
	}
	labels := make([]string, len(parts)-1)
	for i, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		labels[i] = fmt.Sprintf("%s=%q", key, value)
	}
	return exposed + "{" + strings.Join(labels, ",") + "}"
}
