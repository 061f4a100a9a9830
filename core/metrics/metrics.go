// Package metrics collects tally metrics and renders them in the Prometheus text
// exposition format.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the interval at which tally reports values to the collector.
const reportInterval = time.Second

// prefix is the prefix of all metric names.
const prefix = "briarwell"

// series identifies a time series by its name and its sorted, rendered labels.
type series struct {
	name   string
	labels string
}

// Collector holds the current value of each metric. The zero value is ready to use. It
// is safe for concurrent use and implements tally.StatsReporter.
type Collector struct {
	mu     sync.Mutex
	values map[series]float64
	// buckets holds the number of samples by the upper bound of their bucket.
	buckets map[series]map[float64]int64
}

// New returns a scope, the collector that renders its metrics, and a closer that stops
// the reporting of values to the collector.
func New() (tally.Scope, *Collector, io.Closer) {
	collector := &Collector{}
	options := tally.ScopeOptions{
		Prefix:    prefix,
		Separator: "_",
		Reporter:  collector,
		// The internal metrics of tally would add series that nothing reads.
		OmitCardinalityMetrics: true,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return scope, collector, closer
}

// Capabilities implements tally.StatsReporter.
func (c *Collector) Capabilities() tally.Capabilities { return c }

// Reporting implements tally.Capabilities.
func (c *Collector) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (c *Collector) Tagging() bool { return true }

// Flush does nothing, because values are held until they are rendered.
func (c *Collector) Flush() {}

// ReportCounter adds the increase of a counter since the last report.
func (c *Collector) ReportCounter(name string, tags map[string]string, value int64) {
	c.addValue(series{name: name + "_total", labels: labelsOf(tags)}, float64(value))
}

// ReportGauge sets a gauge.
func (c *Collector) ReportGauge(name string, tags map[string]string, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ensureMaps()
	c.values[series{name: name, labels: labelsOf(tags)}] = value
}

// ReportTimer adds a duration to the count and the sum in seconds of a timer.
func (c *Collector) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	labels := labelsOf(tags)
	c.addValue(series{name: name + "_seconds_count", labels: labels}, 1)
	c.addValue(series{name: name + "_seconds_sum", labels: labels}, interval.Seconds())
}

// ReportHistogramValueSamples adds samples to a bucket with the given upper
// bound.
func (c *Collector) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	c.addBucket(series{name: name, labels: labelsOf(tags)}, upper, samples)
}

// ReportHistogramDurationSamples adds samples to a bucket with the given upper
// bound; the bound is rendered in seconds.
func (c *Collector) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	c.addBucket(series{name: name + "_seconds", labels: labelsOf(tags)}, upper.Seconds(), samples)
}

// ensureMaps allocates the maps of a zero collector. The caller holds c.mu.
func (c *Collector) ensureMaps() {
	if c.values == nil {
		c.values = map[series]float64{}
		c.buckets = map[series]map[float64]int64{}
	}
}

func (c *Collector) addValue(key series, value float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ensureMaps()
	c.values[key] += value
}

func (c *Collector) addBucket(key series, upper float64, samples int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ensureMaps()
	bucket := c.buckets[key]
	if bucket == nil {
		bucket = map[float64]int64{}
		c.buckets[key] = bucket
	}
	bucket[upper] += samples
}

// Render returns all series, one per line and sorted.
func (c *Collector) Render() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := make([]string, 0, len(c.values))
	for key, value := range c.values {
		lines = append(lines, fmt.Sprintf("%s%s %g", key.name, bracedLabels(key.labels), value))
	}
	for key, bucket := range c.buckets {
		lines = append(lines, bucketLines(key, bucket)...)
	}
	sort.Strings(lines)
	var out bytes.Buffer
	for _, line := range lines {
		out.WriteString(line)
		out.WriteByte('\n')
	}
	return out.Bytes()
}

// bucketLines renders the buckets of a histogram cumulatively, as the exposition format
// requires, and its count.
func bucketLines(key series, bucket map[float64]int64) []string {
	bounds := make([]float64, 0, len(bucket))
	for bound := range bucket {
		bounds = append(bounds, bound)
	}
	sort.Float64s(bounds)
	lines := make([]string, 0, len(bounds)+1)
	var cumulative int64
	for _, bound := range bounds {
		cumulative += bucket[bound]
		labels := joinLabels(key.labels, fmt.Sprintf("le=%q", fmt.Sprintf("%g", bound)))
		lines = append(lines, fmt.Sprintf("%s_bucket{%s} %d", key.name, labels, cumulative))
	}
	return append(lines, fmt.Sprintf("%s_count%s %d", key.name, bracedLabels(key.labels), cumulative))
}

// labelsOf renders tags as labels, sorted by name.
func labelsOf(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	pairs := make([]string, 0, len(tags))
	for name, value := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", name, value))
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}

func joinLabels(labels, label string) string {
	if labels == "" {
		return label
	}
	return labels + "," + label
}

// bracedLabels returns labels in braces, or "" if there are none.
func bracedLabels(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
