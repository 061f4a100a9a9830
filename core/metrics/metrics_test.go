package metrics_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/metrics"
)

// TestRender guards against series that lose their labels, or the counts of earlier
// reports.
func TestRender(t *testing.T) {
	is := is.New(t)
	collector := &metrics.Collector{}
	tags := map[string]string{"service": "lagos/bookings"}
	collector.ReportCounter("requests", tags, 2)
	collector.ReportCounter("requests", tags, 3)
	collector.ReportGauge("lease", nil, 1.5)
	collector.ReportHistogramDurationSamples("latency", nil, nil, 0, time.Second, 4)
	text := string(collector.Render())
	for _, line := range []string{
		`requests_total{service="lagos/bookings"} 5`,
		`lease 1.5`,
		`latency_seconds_bucket{le="1"} 4`,
		`latency_seconds_count 4`,
	} {
		is.True(strings.Contains(text, line+"\n"))
	}
}
