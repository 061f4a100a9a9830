package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"briarwell.dev/demo/harness"
	"briarwell.dev/platform/platformtest"
)

const (
	// keyedService is divided by key, freeService is not.
	keyedService   = "wardrobe"
	unkeyedService = "ledger"
	// firstNetwork and networks are the loopback networks 127.N.0.0/16 of runs: seeds
	// that differ by less run beside one another.
	firstNetwork = 60
	networkCount = 100
	// settleTimeout bounds the first deal of all keys and the recovery after the faults.
	settleTimeout = 25 * time.Second
	// holderCheckInterval is the time between two looks at who holds which keys, overlapBound
	// the time for which two upstreams may hold the same ones: none begins a request
	// then, which is checked at each run.
	holderCheckInterval = 50 * time.Millisecond
	maxHolderOverlap    = 500 * time.Millisecond
	// keySampleStep is the distance of the keys that are looked at.
	keySampleStep = 509
)

// Options are those of a run.
type Options struct {
	// Program is the path of the sidecar.
	Program string
	// Folder gets the logs; it must be empty or absent.
	Folder    string
	Seed      uint64
	Instances int
	// FaultPhase is the time with faults.
	FaultPhase time.Duration
	Out        io.Writer
}

// FindingsError reports broken promises.
type FindingsError struct {
	seed     uint64
	findings []string
}

// Findings returns the broken promises.
func (e *FindingsError) Findings() []string { return e.findings }

func (e *FindingsError) Error() string {
	return fmt.Sprintf("seed %d: %d findings, the first: %s", e.seed, len(e.findings), e.findings[0])
}

// Runner is one run.
type Runner struct {
	options         Options
	processes       *harness.ProcessSet
	store           *platformtest.Store
	instances       []*instance
	checker         *responseChecker
	manifestVersion int
}

func (s *Runner) networkNumber() int { return firstNetwork + int(s.options.Seed%networkCount) } //nolint:gosec // It is below 100.

// Run runs a seed. It returns a *FindingsError if a promise was broken.
func Run(ctx context.Context, options Options) (err error) {
	group, err := harness.NewProcessSet(options.Folder)
	if err != nil {
		return err
	}
	s := &Runner{options: options, processes: group, store: &platformtest.Store{}, checker: newResponseChecker(), manifestVersion: 1}
	s.store.WriteManifest(s.manifestVersion)
	storeAt := fmt.Sprintf("127.%d.1.1:9100", s.networkNumber())
	l, err := net.Listen("tcp", storeAt)
	if err != nil {
		return err
	}
	web := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() { _ = web.Serve(l) }() // It ends with the run.
	defer func() {
		err = errors.Join(err, web.Close(), group.Close())
		for _, in := range s.instances {
			err = errors.Join(err, in.close())
		}
	}()
	for i := range options.Instances {
		service := keyedService
		if i%3 == 2 {
			service = unkeyedService
		}
		in, err := s.newInstance(i, service, storeAt)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, in)
	}
	return s.runWithFaults(ctx)
}

func (s *Runner) runWithFaults(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	for _, in := range s.instances {
		background.Go(func() { in.sendHeartbeats(running) })
	}
	background.Go(func() { s.detectDoubleHolders(running) })
	stop := func() {
		cancel()
		background.Wait()
	}
	defer stop()
	if err := s.waitUntilKeysHeld(ctx); err != nil {
		return err
	}
	callers, leave := context.WithCancel(running)
	var load sync.WaitGroup
	for _, in := range s.instances {
		for range callersPerInstance {
			load.Go(func() { s.runCaller(callers, in) })
		}
	}
	s.injectFaults(ctx)
	if err := s.waitUntilKeysHeld(ctx); err != nil {
		s.checker.addFinding("after the faults: %v", err)
	}
	leave()
	load.Wait()
	s.checker.checkExecutions()
	p := s.checker
	_, _ = fmt.Fprintf(s.options.Out, "seed=%d served=%d refused=%d unknown=%d findings=%d\n", s.options.Seed, p.servedCount, p.refusedCount, p.unknownCount, len(p.findings))
	if len(p.findings) > 0 {
		return &FindingsError{seed: s.options.Seed, findings: p.findings}
	}
	return nil
}

// injectFaults carries out the plan; faults overlap.
func (s *Runner) injectFaults(ctx context.Context) {
	began := time.Now()
	var faults sync.WaitGroup
	for _, e := range NewPlan(s.options.Seed, len(s.instances), s.options.FaultPhase) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(e.Start))):
		}
		_, _ = fmt.Fprintf(s.options.Out, "event=fault %s\n", e)
		faults.Go(func() {
			if err := s.applyFault(e); err != nil {
				s.checker.addFinding("fault %s: %v", e, err)
			}
		})
	}
	faults.Wait()
}

// applyFault carries out one fault to its end.
func (s *Runner) applyFault(e Fault) error {
	in := s.instances[e.Instance]
	switch e.Kind {
	case Pause:
		err := in.signalSidecar(syscall.SIGSTOP)
		time.Sleep(e.Duration)
		return errors.Join(err, in.signalSidecar(syscall.SIGCONT))
	case Kill, Restart:
		// A paused process does not see the signal to stop before it continues.
		err := in.stopSidecar(e.Kind == Restart)
		time.Sleep(min(e.Duration, time.Second))
		return errors.Join(err, in.startSidecar())
	case KillAll:
		var err error
		for _, in := range s.instances {
			err = errors.Join(err, in.stopSidecar(false))
		}
		for _, in := range s.instances {
			err = errors.Join(err, in.startSidecar())
		}
		return err
	case Reload:
		return in.signalSidecar(syscall.SIGHUP)
	case UpstreamCrash:
		if in.currentUpstream() == nil {
			return nil
		}
		in.stopUpstream()
		time.Sleep(e.Duration)
		return in.startUpstream()
	case StoreLink, UpstreamLink, HeartbeatLink:
		proxy := map[FaultKind]*Proxy{StoreLink: in.storeProxy, UpstreamLink: in.upstreamProxy, HeartbeatLink: in.heartbeatProxy}[e.Kind]
		proxy.SetMode(e.Mode)
		time.Sleep(e.Duration)
		proxy.SetMode(Pass)
	case StoreOutage, LostResponses, HistoryLoss:
		s.store.SetFaults(newStoreFaults(e.Kind))
		time.Sleep(e.Duration)
		s.store.SetFaults(platformtest.StoreFaults{})
	case ManifestChange:
		s.manifestVersion++
		s.store.WriteManifest(s.manifestVersion, fmt.Sprintf("/new%d/", s.manifestVersion))
	default:
		return fmt.Errorf("fault %d is not known", e.Kind)
	}
	return nil
}

// lostResponseApplyDelay is the time after which a change without an answer takes effect.
const lostResponseApplyDelay = 2 * time.Second

func newStoreFaults(f FaultKind) platformtest.StoreFaults {
	return platformtest.StoreFaults{
		Status:        map[FaultKind]int{StoreOutage: http.StatusServiceUnavailable}[f],
		DropResponses: f == LostResponses, ApplyDelay: lostResponseApplyDelay, HistoryGone: f == HistoryLoss,
	}
}

// waitUntilKeysHeld waits until every sampled key is held.
func (s *Runner) waitUntilKeysHeld(ctx context.Context) error {
	for deadline := time.Now().Add(settleTimeout); ; time.Sleep(holderCheckInterval) {
		missing := 0
		for key := 0; key < keyCount; key += keySampleStep {
			if len(s.keyHolders(key)) == 0 {
				missing++
			}
		}
		if missing == 0 || ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d keys have no holder", missing)
		}
	}
}

// keyHolders returns the living upstreams that hold a key.
func (s *Runner) keyHolders(key int) []*platformtest.Upstream {
	var holders []*platformtest.Upstream
	for _, in := range s.instances {
		if u := in.currentUpstream(); u != nil && u.Keyed && u.HoldsKey(key) {
			holders = append(holders, u)
		}
	}
	return holders
}

// detectDoubleHolders looks for keys that two upstreams hold for long.
func (s *Runner) detectDoubleHolders(ctx context.Context) {
	since := make(map[int]time.Time)
	for ctx.Err() == nil {
		for key := 0; key < keyCount; key += keySampleStep {
			holders := s.keyHolders(key)
			if len(holders) < 2 {
				delete(since, key)
				continue
			}
			if _, known := since[key]; !known {
				since[key] = time.Now()
			}
			if time.Since(since[key]) > maxHolderOverlap {
				s.checker.addFinding("key %d is held by %s and %s", key, holders[0].ID, holders[1].ID)
				delete(since, key)
			}
		}
		time.Sleep(holderCheckInterval)
	}
}

// checkRequestStart checks a run as it begins.
func (s *Runner) checkRequestStart(in *instance, u *platformtest.Upstream, id, key string) {
	s.checker.recordExecution(id)
	number, err := strconv.Atoi(key)
	if !u.Keyed || err != nil || in.currentUpstream() != u {
		return
	}
	for _, other := range s.keyHolders(number) {
		if other != u {
			s.checker.addFinding("request %s for key %d began at %s while %s held it", id, number, u.ID, other.ID)
		}
	}
}

// isCompleteResponse tells whether a body is the whole answer to a request.
func isCompleteResponse(body, id string) bool {
	return strings.Contains(body, "/"+id+" ") && strings.HasSuffix(body, ": "+requestBody(id))
}
