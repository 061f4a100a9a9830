// Package metrics collects tally metrics and renders them as text in the
// Prometheus exposition format.
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

// reportInterval is how often tally hands its values to the collector.
const reportInterval = time.Second

// prefix starts the name of each metric.
const prefix = "briarwell"

// series identifies one time series: a name and its sorted labels.
type series struct {
	name   string
	labels string
}

// Collector keeps the latest value of each metric. The zero value works. It is
// safe for concurrent use and implements tally.StatsReporter.
type Collector struct {
	mu      sync.Mutex
	values  map[series]float64
	buckets map[series]map[float64]int64
}

// New returns a scope whose values the returned collector renders. Closing the
// closer stops the reporting.
func New() (tally.Scope, *Collector, io.Closer) {
	collector := &Collector{}
	options := tally.ScopeOptions{
		Prefix:    prefix,
		Separator: "_",
		Reporter:  collector,
		// Internal metrics of tally would only add series that nobody reads.
		OmitCardinalityMetrics: true,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return scope, collector, closer
}

// Capabilities reports that values and tags are supported.
func (c *Collector) Capabilities() tally.Capabilities { return c }

// Reporting returns true.
func (c *Collector) Reporting() bool { return true }

// Tagging returns true.
func (c *Collector) Tagging() bool { return true }

// Flush does nothing: values are kept until they are rendered.
func (c *Collector) Flush() {}

// ReportCounter adds a counter's increase.
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

// ReportTimer adds a duration to a count and a sum in seconds.
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

// Render returns all series, one a line, in a stable order.
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

// bucketLines renders cumulative buckets, as the exposition format requires.
func bucketLines(key series, bucket map[float64]int64) []string {
	bounds := make([]float64, 0, len(bucket))
	for bound := range bucket {
		bounds = append(bounds, bound)
	}
	sort.Float64s(bounds)
	lines := make([]string, 0, len(bounds)+1)
	var sum int64
	for _, bound := range bounds {
		sum += bucket[bound]
		labels := joinLabels(key.labels, fmt.Sprintf("le=%q", fmt.Sprintf("%g", bound)))
		lines = append(lines, fmt.Sprintf("%s_bucket{%s} %d", key.name, labels, sum))
	}
	return append(lines, fmt.Sprintf("%s_count%s %d", key.name, bracedLabels(key.labels), sum))
}

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

func joinLabels(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func bracedLabels(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
