// Package bench compares the CPU time and latency of direct calls to an upstream with
// those of calls through one and two daemons.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"briarwell.dev/core/measure"
	"briarwell.dev/core/outcome"
	"briarwell.dev/load/runner"
)

const (
	// maxInFlight bounds the calls in flight on a path. When it is reached, the next call
	// is sent late, but its latency still counts from its intended time.
	maxInFlight = 1024
	callTimeout = 2 * time.Second
	// directDeadline is the time from the send time of a direct call to its deadline.
	directDeadline = 2 * time.Second
	// warmUpTime is the unmeasured time before each measurement.
	warmUpTime = time.Second
	// keyCount is the number of keys that the calls are spread over.
	keyCount = 64
	// maxProbedKeys bounds the number of keys that are requested to find keyCount keys of
	// the owner.
	maxProbedKeys = 100_000
)

// Settings holds the parameters of a comparison. All calls are for keys that the upstream
// at the address Upstream owns. Local is the daemon of that upstream, Remote is a daemon
// of another instance.
type Settings struct {
	// Upstream, Local and Remote are host:port addresses.
	Upstream string
	Local    string
	Remote   string
	// Owner is the name of the instance of the upstream.
	Owner string
	// UpstreamPID, LocalPID and RemotePID are the IDs of the processes whose CPU time is
	// measured.
	UpstreamPID int
	LocalPID    int
	RemotePID   int
	// Service has the form "organisation/service".
	Service string
	// Path is the part of the URL path after the key.
	Path string
	// Rate is the number of calls a second.
	Rate   float64
	Rounds int
	// RoundDuration is the measured time of each path in one round.
	RoundDuration time.Duration
}

// ownedKey is a key of the owner, with the shard and epoch that direct calls carry.
type ownedKey struct{ key, shard, epoch string }

// path is one of the compared paths to the upstream.
type path struct {
	name    string
	address string
	// urlPrefix precedes the key in the URL. It is "" for direct calls.
	urlPrefix string
	// pids are the processes on the path, whose CPU time is measured.
	pids   []int
	client *fasthttp.HostClient
}

// Result holds the measurements of one path, with one value per round. CPU times are in
// microseconds per call, latencies in milliseconds.
type Result struct {
	name      string
	cpuMicros []float64
	p50Millis []float64
	p99Millis []float64
	failures  int64
}

// Name returns the name of the path.
func (r Result) Name() string { return r.name }

// Failures returns the number of failed calls, over all rounds without the warm-up.
func (r Result) Failures() int64 { return r.failures }

// Run measures each path in every round, one after the other, and returns the results in
// the order direct, one daemon, two daemons. It returns an error if the owner has too few
// keys, the CPU time of a process can't be read, or ctx is done.
func Run(ctx context.Context, settings Settings) ([]Result, error) {
	paths := []path{
		{name: "direct", address: settings.Upstream, pids: []int{settings.UpstreamPID}},
		{name: "one daemon", address: settings.Local, urlPrefix: "/" + settings.Service, pids: []int{settings.UpstreamPID, settings.LocalPID}},
		{
			name: "two daemons", address: settings.Remote, urlPrefix: "/" + settings.Service,
			pids: []int{settings.UpstreamPID, settings.LocalPID, settings.RemotePID},
		},
	}
	results := make([]Result, len(paths))
	for i := range paths {
		paths[i].client = runner.NewClient(paths[i].address)
		results[i].name = paths[i].name
	}
	keys, err := findOwnedKeys(paths[1].client, settings)
	if err != nil {
		return nil, err
	}
	for range settings.Rounds {
		for i, p := range paths {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if err := results[i].measureRound(ctx, settings, p, keys); err != nil {
				return nil, err
			}
		}
	}
	return results, nil
}

// findOwnedKeys requests keys until keyCount of them were served by the owner.
func findOwnedKeys(client *fasthttp.HostClient, settings Settings) ([]ownedKey, error) {
	var keys []ownedKey
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	for i := range maxProbedKeys {
		key := fmt.Sprintf("b%06d", i)
		request.SetRequestURI("/" + settings.Service + "/" + key + settings.Path)
		request.Header.SetHost(settings.Local)
		if err := client.DoTimeout(request, response, callTimeout); err != nil {
			return nil, fmt.Errorf("find keys of owner %s: %w", settings.Owner, err)
		}
		header := func(name string) string { return string(response.Header.Peek(name)) }
		if header(outcome.HeaderServedBy) == settings.Owner {
			keys = append(keys, ownedKey{key: key, shard: header(outcome.HeaderShard), epoch: header(outcome.HeaderEpoch)})
		}
		if len(keys) == keyCount {
			return keys, nil
		}
	}
	return nil, errors.New("find keys of owner " + settings.Owner + ": it served too few of the requested keys")
}

// roundResult holds the measurements of one path in one round.
type roundResult struct {
	latencies *hdrhistogram.Histogram
	// latencyMicros receives the latency of each call, or -1 for a failed call.
	latencyMicros chan int64
	failures      int64
}

// measureRound sends the calls of one round over a path, after a warm-up, and appends the
// measurements.
func (r *Result) measureRound(ctx context.Context, settings Settings, p path, keys []ownedKey) error {
	if _, err := sendCalls(ctx, settings, p, keys, warmUpTime); err != nil {
		return err
	}
	before, err := totalCPUTime(p.pids)
	if err != nil {
		return err
	}
	round, err := sendCalls(ctx, settings, p, keys, settings.RoundDuration)
	if err != nil {
		return err
	}
	after, err := totalCPUTime(p.pids)
	if err != nil {
		return err
	}
	count := round.latencies.TotalCount() + round.failures
	r.cpuMicros = append(r.cpuMicros, float64((after-before).Microseconds())/float64(max(count, 1)))
	r.p50Millis = append(r.p50Millis, float64(round.latencies.ValueAtQuantile(50))/1000)
	r.p99Millis = append(r.p99Millis, float64(round.latencies.ValueAtQuantile(99))/1000)
	r.failures += round.failures
	return nil
}

// sendCalls sends calls at their intended times and measures latencies from these times.
func sendCalls(ctx context.Context, settings Settings, p path, keys []ownedKey, duration time.Duration) (*roundResult, error) {
	total := int(duration.Seconds() * settings.Rate)
	result := &roundResult{latencies: runner.NewHistogram(), latencyMicros: make(chan int64, total)}
	group := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for i := 0; i < total && ctx.Err() == nil; i++ {
		intended := start.Add(time.Duration(float64(i) / settings.Rate * float64(time.Second)))
		runner.WaitUntil(intended)
		key := keys[i%len(keys)]
		group.Go(func() {
			if !p.sendCall(settings, key) {
				result.latencyMicros <- -1
				return
			}
			result.latencyMicros <- max(time.Since(intended).Microseconds(), 1)
		})
	}
	group.Wait()
	close(result.latencyMicros)
	for micros := range result.latencyMicros {
		if micros < 0 {
			result.failures++
			continue
		}
		if err := result.latencies.RecordValue(micros); err != nil {
			return nil, err
		}
	}
	return result, ctx.Err()
}

// sendCall sends one call and reports whether it succeeded: it got a status below 400
// and, through a daemon, the outcome done. Direct calls carry the headers that a daemon
// adds to the requests that it sends to an upstream.
func (p path) sendCall(settings Settings, key ownedKey) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(p.urlPrefix + "/" + key.key + settings.Path)
	request.Header.SetHost(p.address)
	if p.urlPrefix == "" {
		deadline := time.Now().Add(directDeadline).UnixMilli()
		request.Header.Set(outcome.HeaderKey, key.key)
		request.Header.Set(outcome.HeaderShard, key.shard)
		request.Header.Set(outcome.HeaderEpoch, key.epoch)
		request.Header.Set(outcome.HeaderDeadline, strconv.FormatInt(deadline, 10))
		request.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(directDeadline.Milliseconds(), 10))
	}
	if err := p.client.DoTimeout(request, response, callTimeout); err != nil {
		return false
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return false
	}
	return p.urlPrefix == "" || string(response.Header.Peek(outcome.HeaderOutcome)) == outcome.Done{}.String()
}

// Print writes the results that Run returned as a table. Each measured value is followed
// by its ratio to the direct path in the same round. Both are given as the median over
// the rounds, with the minimum and maximum in parentheses.
func Print(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "path\tCPU us/request\tratio\tp50 ms\tratio\tp99 ms\tratio\tfailures")
	direct := results[0]
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", r.name,
			formatRange(r.cpuMicros, "%.1f"), formatRange(ratiosTo(r.cpuMicros, direct.cpuMicros), "%.2f"),
			formatRange(r.p50Millis, "%.3f"), formatRange(ratiosTo(r.p50Millis, direct.p50Millis), "%.2f"),
			formatRange(r.p99Millis, "%.3f"), formatRange(ratiosTo(r.p99Millis, direct.p99Millis), "%.2f"), r.failures)
	}
	return table.Flush()
}

// ratiosTo returns the ratio of each value to the base of the same round, or 0 where the
// base is 0.
func ratiosTo(values, base []float64) []float64 {
	result := make([]float64, len(values))
	for i := range values {
		if base[i] > 0 {
			result[i] = values[i] / base[i]
		}
	}
	return result
}

// formatRange returns "median (minimum to maximum)", each in the given format.
func formatRange(values []float64, format string) string {
	d := measure.NewDistribution(values)
	return fmt.Sprintf(format+" ("+format+" to "+format+")", d.Quantile(0.5), d.Quantile(0), d.Max())
}
