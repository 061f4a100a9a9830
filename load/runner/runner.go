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
	// repeatDelay separates the attempts of a request.
	repeatDelay = 50 * time.Millisecond
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
	file     workload.File
	idPrefix string
	regions  [][]*target
	// downloads holds the expected answers of pattern routes.
	downloads map[*workload.Route]download
	stamps    *stamps
	results   *Results
	sequence  atomic.Uint64
	records   *json.Encoder
	lock      sync.Mutex
}

// New returns a runner of a checked workload. The ID prefix keeps the request
// IDs of runs apart. Records receives one JSON line for each attempt; nil means
// none. It returns a *MissingTargetsError.
func New(file workload.File, targets Targets, idPrefix string, records io.Writer) (*Runner, error) {
	r := &Runner{
		file: file, idPrefix: idPrefix, stamps: newStamps(), results: newResults(),
		downloads: make(map[*workload.Route]download),
	}
	for i := range file.Services {
		for j := range file.Services[i].Routes {
			route := &file.Services[i].Routes[j]
			r.downloads[route] = expectDownload(route)
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
		r.regions = append(r.regions, daemons)
	}
	return r, nil
}

// Run sends requests until the workload's duration is over or ctx is done, and
// waits for those in flight.
func (r *Runner) Run(ctx context.Context) *Results {
	drawer := workload.NewDrawer(r.file)
	interval := time.Duration(float64(time.Second) / r.file.Rate)
	total := int(r.file.DurationSeconds * r.file.Rate)
	group := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for i := 0; i < total && ctx.Err() == nil; i++ {
		intended := start.Add(time.Duration(i) * interval)
		WaitUntil(intended)
		request := drawer.Next(intended.Sub(start))
		group.Go(func() { r.send(request, intended) })
	}
	r.results.duration = time.Since(start)
	group.Wait()
	return r.results
}

// send makes the attempts of one request and records its final result.
func (r *Runner) send(request workload.Request, intended time.Time) {
	id := fmt.Sprintf("%s-%d", r.idPrefix, r.sequence.Add(1))
	stamp := r.stamps.get(request)
	mayHaveRun := false
	var last record.Call
	for attempt := 1; attempt <= request.Route().Repeats+1; attempt++ {
		if attempt > 1 {
			time.Sleep(repeatDelay)
		}
		if !mayHaveRun {
			stamp = r.stamps.get(request)
		}
		t := r.choose(request, attempt)
		var sent bool
		last, sent = r.attempt(request, t, call{id: id, number: attempt, stamp: stamp, intended: intended})
		r.write(last)
		if last.Outcome == "done" || last.Status == statusOlderEpoch {
			break
		}
		mayHaveRun = mayHaveRun || (sent && last.Outcome != "not-run")
	}
	r.results.add(request, last, time.Since(intended))
}

// choose picks a random daemon, first among those that answered recently.
func (r *Runner) choose(request workload.Request, attempt int) *target {
	region := request.Region()
	if request.Away() && len(r.regions) > 1 {
		region = (region + 1 + rand.IntN(len(r.regions)-1)) % len(r.regions)
	}
	now := time.Now()
	candidates := slices.DeleteFunc(slices.Clone(r.regions[region]), func(t *target) bool { return t.avoided(now) })
	if len(candidates) == 0 && attempt > 1 {
		candidates = r.regions[rand.IntN(len(r.regions))]
	}
	if len(candidates) == 0 {
		candidates = r.regions[region]
	}
	return candidates[rand.IntN(len(candidates))]
}

// delay returns the added one-way delay from the caller to the target.
func (r *Runner) delay(request workload.Request, t *target) time.Duration {
	region := request.Region()
	millis := r.file.Regions[region].ClientDelayMillis
	if !slices.Contains(r.regions[region], t) {
		millis += r.file.RegionDelayMillis
	}
	return time.Duration(millis) * time.Millisecond
}

func (r *Runner) write(c record.Call) {
	if r.records == nil {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if err := r.records.Encode(c); err != nil {
		r.results.fail(err)
	}
}

// stamps holds the newest stamp that the callers know for each shard and hot key.
type stamps struct {
	lock   sync.RWMutex
	newest map[shardName]stamp
}

type shardName struct {
	service string
	shard   uint32
	// hotKey is "" for the shard.
	hotKey string
}

type stamp struct {
	epoch uint64
	text  string
}

func newStamps() *stamps { return &stamps{newest: make(map[shardName]stamp)} }

func (s *stamps) get(request workload.Request) string {
	s.lock.RLock()
	defer s.lock.RUnlock()
	name := nameOf(request)
	hot := name
	hot.hotKey = request.Key()
	if known, ok := s.newest[hot]; ok {
		return known.text
	}
	return s.newest[name].text
}

// learn keeps the stamp unless one of a higher epoch is known, since answers of
// an earlier owner may arrive late.
func (s *stamps) learn(request workload.Request, epoch uint64, text string) {
	if text == "" || request.Key() == "" {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	name := nameOf(request)
	if dedupe.IsHotKeyStamp(text) {
		name.hotKey = request.Key()
	}
	if cmp.Compare(epoch, s.newest[name].epoch) >= 0 {
		s.newest[name] = stamp{epoch: epoch, text: text}
	}
}

func nameOf(request workload.Request) shardName {
	return shardName{service: request.Service().Name, shard: uint32(request.Shard())}
}
