package telemetry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Counters is the set of counters, gauges and timings of one process. It is safe for use by several goroutines.
type Counters struct {
	registry metrics.Registry
}

// NewCounters returns an empty set.
func NewCounters() *Counters {
	return &Counters{registry: metrics.NewRegistry()}
}

// labelSeparator stands between family and label in registry names; families never contain it.
const labelSeparator = "|"

// Counter returns the counter of a family, for example "refusals", with one label, for example "reason" and
// "overloaded". Look a counter up once and keep it where it is used often.
func (c *Counters) Counter(family, label, value string) metrics.Counter {
	return metrics.GetOrRegisterCounter(family+labelSeparator+label+"="+value, c.registry)
}

// Total returns the counter of a family without labels.
func (c *Counters) Total(family string) metrics.Counter {
	return metrics.GetOrRegisterCounter(family, c.registry)
}

// Gauge returns the gauge of that name.
func (c *Counters) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, c.registry)
}

// ServeHTTP writes every value in the Prometheus text exposition format, version 0.0.4, sorted by name.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, line := range c.lines() {
		fmt.Fprintln(w, line)
	}
}

func (c *Counters) lines() []string {
	var lines []string
	c.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", exposedName(name, "_total"), m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", exposedName(name, ""), m.Value()))
		}
	})
	slices.Sort(lines)
	return lines
}

func exposedName(name, suffix string) string {
	family, label, found := strings.Cut(name, labelSeparator)
	if !found {
		return "heatherwall_" + family + suffix
	}
	key, value, _ := strings.Cut(label, "=")
	return fmt.Sprintf("heatherwall_%s%s{%s=%q}", family, suffix, key, value)
}
