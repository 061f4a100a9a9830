// Package runner sends the requests of a workload at their intended times and
// records what callers see.
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
	// maxInFlight bounds the requests in flight. At the bound the next request
	// is sent late; its latency still counts from its intended time.
	maxInFlight = 2048
	// retryDelay separates the attempts of a request.
	retryDelay = 50 * time.Millisecond
)

// Targets holds the daemon addresses of each region.
type Targets map[string][]string

// MissingTargetsError reports a region without daemons.
type MissingTargetsError struct {
	region string
}

// Region returns the region.
func (e *MissingTargetsError) Region() string { return e.region }

func (e *MissingTargetsError) Error() string {
	return fmt.Sprintf("no target address for region %q", e.region)
}

// Runner runs one workload once.
type Runner struct {
	workload        workload.File
	idPrefix        string
	targetsByRegion [][]*target
	// expectedBodies holds the expected answers of pattern routes.
	expectedBodies map[*workload.Route]expectedBody
	stamps         *stampCache
	results        *Results
	requestCount   atomic.Uint64
	records        *json.Encoder
	recordsMutex   sync.Mutex
}

// New returns a runner of a checked workload. The ID prefix keeps the request
// IDs of runs apart. Records receives one JSON line for each attempt; nil means
// none. It returns a *MissingTargetsError.
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

// Run sends requests until the workload's duration is over or ctx is done, and
// waits for those in flight.
func (r *Runner) Run(ctx context.Context) *Results {
	drawer := workload.NewGenerator(r.workload)
	interval := time.Duration(float64(time.Second) / r.workload.Rate)
	total := int(r.workload.DurationSeconds * r.workload.Rate)
	group := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for i := 0; i < total && ctx.Err() == nil; i++ {
		intended := start.Add(time.Duration(i) * interval)
		WaitUntil(intended)
		request := drawer.Next(intended.Sub(start))
		group.Go(func() { r.sendRequest(request, intended) })
	}
	r.results.duration = time.Since(start)
	group.Wait()
	return r.results
}

// sendRequest makes the attempts of one request and records its final result.
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
		t := r.chooseTarget(request, attempt)
		var sent bool
		last, sent = r.sendAttempt(request, t, attemptInfo{requestID: id, number: attempt, stamp: stamp, intendedTime: intended})
		r.writeRecord(last)
		if last.Outcome == "done" || last.Status == statusOlderEpoch {
			break
		}
		mayHaveRun = mayHaveRun || (sent && last.Outcome != "not-run")
	}
	r.results.addRequest(request, last, time.Since(intended))
}

// chooseTarget picks a random daemon, first among those that answered recently.
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

// oneWayDelay returns the added one-way delay from the caller to the target.
func (r *Runner) oneWayDelay(request workload.Request, t *target) time.Duration {
	region := request.RegionIndex()
	millis := r.workload.Regions[region].ClientDelayMillis
	if !slices.Contains(r.targetsByRegion[region], t) {
		millis += r.workload.RegionDelayMillis
	}
	return time.Duration(millis) * time.Millisecond
}

func (r *Runner) writeRecord(c record.Call) {
	if r.records == nil {
		return
	}
	r.recordsMutex.Lock()
	defer r.recordsMutex.Unlock()
	if err := r.records.Encode(c); err != nil {
		r.results.setError(err)
	}
}

// stampCache holds the newest stamp that the callers know for each shard and hot key.
type stampCache struct {
	mutex  sync.RWMutex
	newest map[stampKey]stampEntry
}

type stampKey struct {
	service string
	shard   uint32
	// hotKey is "" for the shard.
	hotKey string
}

type stampEntry struct {
	epoch uint64
	value string
}

func newStampCache() *stampCache { return &stampCache{newest: make(map[stampKey]stampEntry)} }

func (s *stampCache) newestStamp(request workload.Request) string {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	name := shardStampKey(request)
	hot := name
	hot.hotKey = request.Key()
	if known, ok := s.newest[hot]; ok {
		return known.value
	}
	return s.newest[name].value
}

// update keeps the stamp unless one of a higher epoch is known, since answers of
// an earlier owner may arrive late.
func (s *stampCache) update(request workload.Request, epoch uint64, text string) {
	if text == "" || request.Key() == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := shardStampKey(request)
	if dedupe.IsHotKeyStamp(text) {
		name.hotKey = request.Key()
	}
	if cmp.Compare(epoch, s.newest[name].epoch) >= 0 {
		s.newest[name] = stampEntry{epoch: epoch, value: text}
	}
}

func shardStampKey(request workload.Request) stampKey {
	return stampKey{service: request.Service().Name, shard: uint32(request.Shard())}
}
