// Package bench compares direct calls to an upstream with calls through one
// and two daemons.
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
	// maxInFlight bounds the requests in flight on a path.
	maxInFlight = 1024
	// callTimeout is the timeout of one call.
	callTimeout = 2 * time.Second
	// directDeadline is the deadline of direct orders after their send time.
	directDeadline = 2 * time.Second
	// warmUpTime is the time of a round that isn't measured.
	warmUpTime = time.Second
	// keyCount is the number of keys that the calls are spread over.
	keyCount = 64
	// maxProbedKeys bounds the search for keys of the local owner.
	maxProbedKeys = 100_000
)

// Settings describes a comparison. All keys are owned by the upstream at
// Upstream, whose daemon is Local.
type Settings struct {
	// Upstream, Local and Remote are addresses.
	Upstream string
	Local    string
	Remote   string
	// Owner is the name of the upstream's instance.
	Owner string
	// UpstreamPID, LocalPID and RemotePID are the processes whose CPU time counts.
	UpstreamPID int
	LocalPID    int
	RemotePID   int
	// Service is "organisation/service", Path follows the key.
	Service       string
	Path          string
	Rate          float64
	Rounds        int
	RoundDuration time.Duration
}

// ownedKey is a key with the ownership under which its orders are sent.
type ownedKey struct{ key, shard, epoch string }

// path is one of the compared ways to the upstream.
type path struct {
	name      string
	address   string
	urlPrefix string
	pids      []int
	client    *fasthttp.HostClient
}

// Result holds the measurements of one path. CPU values are in microseconds
// for each request, latencies in milliseconds; each has one value a round.
type Result struct {
	name      string
	cpuMicros []float64
	p50Millis []float64
	p99Millis []float64
	failures  int64
}

// Name returns the name of the path.
func (r Result) Name() string { return r.name }

// Failures returns the number of calls that got no done answer.
func (r Result) Failures() int64 { return r.failures }

// Run makes all rounds, in which the paths alternate.
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

// findOwnedKeys returns keys that the owner serves.
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
			return nil, fmt.Errorf("find keys of %s: %w", settings.Owner, err)
		}
		header := func(name string) string { return string(response.Header.Peek(name)) }
		if header(outcome.HeaderServedBy) == settings.Owner {
			keys = append(keys, ownedKey{key: key, shard: header(outcome.HeaderShard), epoch: header(outcome.HeaderEpoch)})
		}
		if len(keys) == keyCount {
			return keys, nil
		}
	}
	return nil, errors.New("found too few keys that " + settings.Owner + " owns")
}

// roundResult counts one path in one round.
type roundResult struct {
	latencies     *hdrhistogram.Histogram
	latencyMicros chan int64
	failures      int64
}

func (r *Result) measureRound(ctx context.Context, settings Settings, p path, keys []ownedKey) error {
	if _, err := sendCalls(ctx, settings, p, keys, warmUpTime); err != nil {
		return err
	}
	before, err := totalCPUTime(p.pids)
	if err != nil {
		return err
	}
	measured, err := sendCalls(ctx, settings, p, keys, settings.RoundDuration)
	if err != nil {
		return err
	}
	after, err := totalCPUTime(p.pids)
	if err != nil {
		return err
	}
	count := measured.latencies.TotalCount() + measured.failures
	r.cpuMicros = append(r.cpuMicros, float64((after-before).Microseconds())/float64(max(count, 1)))
	r.p50Millis = append(r.p50Millis, float64(measured.latencies.ValueAtQuantile(50))/1000)
	r.p99Millis = append(r.p99Millis, float64(measured.latencies.ValueAtQuantile(99))/1000)
	r.failures += measured.failures
	return nil
}

// sendCalls sends calls at their intended times and counts latencies from these.
func sendCalls(ctx context.Context, settings Settings, p path, keys []ownedKey, length time.Duration) (*roundResult, error) {
	total := int(length.Seconds() * settings.Rate)
	result := &roundResult{latencies: runner.NewHistogram(), latencyMicros: make(chan int64, total)}
	group := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for i := 0; i < total && ctx.Err() == nil; i++ {
		intended := start.Add(time.Duration(float64(i) / settings.Rate * float64(time.Second)))
		runner.WaitUntil(intended)
		key := keys[i%len(keys)]
		group.Go(func() {
			if !p.callSucceeds(settings, key) {
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

// callSucceeds tells whether the call got a done answer. Direct calls carry the headers
// that the daemon would have added.
func (p path) callSucceeds(settings Settings, key ownedKey) bool {
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

// Print writes the results, with each value as median (lowest to highest) over
// the rounds, and its ratio to the direct path in the same round.
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

func ratiosTo(values, base []float64) []float64 {
	result := make([]float64, len(values))
	for i := range values {
		if base[i] > 0 {
			result[i] = values[i] / base[i]
		}
	}
	return result
}

func formatRange(values []float64, format string) string {
	d := measure.NewDistribution(values)
	return fmt.Sprintf(format+" ("+format+" to "+format+")", d.Quantile(0.5), d.Quantile(0), d.Max())
}
