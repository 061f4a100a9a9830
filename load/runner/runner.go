// Package runner sends the requests of a workload at their intended times and records the
// outcome and latency of each attempt.
package runner

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/core/dedupe"
	"briarwell.dev/load/workload"
)

const (
	// maxInFlight bounds the requests in flight. When it is reached, the next request is
	// sent late, but its latency still counts from its intended time.
	maxInFlight = 2048
	// retryDelay is the delay between two attempts of a request.
	retryDelay = 50 * time.Millisecond
)

// Targets maps the name of a region to the addresses of its daemons.
type Targets map[string][]string

// MissingTargetsError reports a region of the workload for which no daemon address was
// given.
type MissingTargetsError struct {
	region string
}

// Region returns the name of the region.
func (e *MissingTargetsError) Region() string { return e.region }

func (e *MissingTargetsError) Error() string {
	return fmt.Sprintf("no target address for region %q", e.region)
}

// Runner sends the requests of a workload. It is for a single run.
type Runner struct {
	workload workload.File
	idPrefix string
	// targetsByRegion holds the daemons of each region, in the order of the regions of the
	// workload.
	targetsByRegion [][]*target
	// expectedBodies holds the zero value for routes other than pattern routes.
	expectedBodies map[*workload.Route]expectedBody
	stamps         *stampCache
	results        *Results
	requestCount   atomic.Uint64
	// records is nil if attempts are not recorded.
	records      *json.Encoder
	recordsMutex sync.Mutex
}

// New returns a runner for a valid workload, as returned by workload.ReadFile. The parameter
// idPrefix distinguishes the request IDs of different runs. The writer records receives
// one JSON line for each attempt and may be nil. New returns a *MissingTargetsError if a
// region has no targets.
func New(file workload.File, targets Targets, idPrefix string, records io.Writer) (*Runner, error) {
	r := &Runner{
		workload: file, idPrefix: idPrefix, stamps: newStampCache(), results: newResults(),
		expectedBodies: make(map[*workload.Route]expectedBody),
	}
	for i := range file.Services {
		for j := range file.Services[i].Routes {
			route := &file.Services[i].Routes[j]
			r.expectedBodies[route] = newExpectedBody(route)
		}
	}
	if records != nil {
		r.records = json.NewEncoder(records)
	}
	for _, region := range file.Regions {
		if len(targets[region.Name]) == 0 {
			return nil, &MissingTargetsError{region: region.Name}
		}
		var daemons []*target
		for _, address := range targets[region.Name] {
			daemons = append(daemons, newTarget(address))
		}
		r.targetsByRegion = append(r.targetsByRegion, daemons)
	}
	return r, nil
}

// Run sends requests until the duration of the workload is over or ctx is done. It then
// waits for the requests in flight.
func (r *Runner) Run(ctx context.Context) *Results {
	generator := workload.NewGenerator(r.workload)
	interval := time.Duration(float64(time.Second) / r.workload.Rate)
	total := int(r.workload.DurationSeconds * r.workload.Rate)
	group := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for i := 0; i < total && ctx.Err() == nil; i++ {
		intended := start.Add(time.Duration(i) * interval)
		WaitUntil(intended)
		request := generator.Next(intended.Sub(start))
		group.Go(func() { r.sendRequest(request, intended) })
	}
	r.results.duration = time.Since(start)
	group.Wait()
	return r.results
}

// sendRequest makes the attempts of one request and counts its final result. All attempts
// have the same request ID. The stamp is fixed once an attempt may have run, because the
// owner uses the stamp to detect a retry that an earlier owner may have run.
func (r *Runner) sendRequest(request workload.Request, intended time.Time) {
	id := fmt.Sprintf("%s-%d", r.idPrefix, r.requestCount.Add(1))
	stamp := r.stamps.newestStamp(request)
	mayHaveRun := false
	var last record.Call
	for attempt := 1; attempt <= request.Route().MaxRetries+1; attempt++ {
		if attempt > 1 {
			time.Sleep(retryDelay)
		}
		if !mayHaveRun {
			stamp = r.stamps.newestStamp(request)
		}
		daemon := r.chooseTarget(request, attempt)
		var sent bool
		last, sent = r.sendAttempt(request, daemon, attemptInfo{requestID: id, number: attempt, stamp: stamp, intendedTime: intended})
		r.writeRecord(last)
		if last.Outcome == "done" || last.Status == statusOlderEpoch {
			break
		}
		mayHaveRun = mayHaveRun || (sent && last.Outcome != "not-run")
	}
	r.results.addRequest(request, last, time.Since(intended))
}

// chooseTarget returns a random daemon of the region that the request goes to, but none
// that is avoided. If all daemons of that region are avoided, a first attempt goes to one
// of them nevertheless, and a retry to any daemon of a random region.
func (r *Runner) chooseTarget(request workload.Request, attempt int) *target {
	region := request.RegionIndex()
	if request.CrossRegion() && len(r.targetsByRegion) > 1 {
		region = (region + 1 + rand.IntN(len(r.targetsByRegion)-1)) % len(r.targetsByRegion)
	}
	now := time.Now()
	candidates := slices.DeleteFunc(slices.Clone(r.targetsByRegion[region]), func(t *target) bool { return t.isAvoided(now) })
	if len(candidates) == 0 && attempt > 1 {
		candidates = r.targetsByRegion[rand.IntN(len(r.targetsByRegion))]
	}
	if len(candidates) == 0 {
		candidates = r.targetsByRegion[region]
	}
	return candidates[rand.IntN(len(candidates))]
}

// oneWayDelay returns the simulated one-way network delay between the caller and the
// target.
func (r *Runner) oneWayDelay(request workload.Request, t *target) time.Duration {
	region := request.RegionIndex()
	millis := r.workload.Regions[region].ClientDelayMillis
	if !slices.Contains(r.targetsByRegion[region], t) {
		millis += r.workload.RegionDelayMillis
	}
	return time.Duration(millis) * time.Millisecond
}

func (r *Runner) writeRecord(call record.Call) {
	if r.records == nil {
		return
	}
	r.recordsMutex.Lock()
	defer r.recordsMutex.Unlock()
	if err := r.records.Encode(call); err != nil {
		r.results.setError(err)
	}
}

// stampCache holds the stamp with the highest epoch that callers have received for each
// shard and each hot key.
type stampCache struct {
	mutex  sync.RWMutex
	newest map[stampKey]stampEntry
}

type stampKey struct {
	service string
	shard   uint32
	// hotKey is "" for the stamp of the whole shard.
	hotKey string
}

type stampEntry struct {
	epoch uint64
	value string
}

func newStampCache() *stampCache { return &stampCache{newest: make(map[stampKey]stampEntry)} }

// newestStamp returns the stamp of the key if it is known as a hot key, else the stamp of
// its shard, or "" if none is known.
func (s *stampCache) newestStamp(request workload.Request) string {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	key := shardStampKey(request)
	hotStampKey := key
	hotStampKey.hotKey = request.Key()
	if known, ok := s.newest[hotStampKey]; ok {
		return known.value
	}
	return s.newest[key].value
}

// update stores a stamp unless one with a higher epoch is known: responses of an earlier
// owner may arrive late. It ignores an empty stamp and requests without a key.
func (s *stampCache) update(request workload.Request, epoch uint64, value string) {
	if value == "" || request.Key() == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := shardStampKey(request)
	if dedupe.IsHotKeyStamp(value) {
		key.hotKey = request.Key()
	}
	if cmp.Compare(epoch, s.newest[key].epoch) >= 0 {
		s.newest[key] = stampEntry{epoch: epoch, value: value}
	}
}

func shardStampKey(request workload.Request) stampKey {
	return stampKey{service: request.Service().Name, shard: uint32(request.Shard())}
}
