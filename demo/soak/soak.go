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
	keyedService = "wardrobe"
	freeService  = "ledger"
	// firstNetwork and networks are the loopback networks 127.N.0.0/16 of runs: seeds
	// that differ by less run beside one another.
	firstNetwork = 60
	networks     = 100
	// settleTime bounds the first deal of all keys and the recovery after the faults.
	settleTime = 25 * time.Second
	// lookEvery is the time between two looks at who holds which keys, overlapBound
	// the time for which two upstreams may hold the same ones: none begins a request
	// then, which is checked at each run.
	lookEvery    = 50 * time.Millisecond
	overlapBound = 500 * time.Millisecond
	// sampleStep is the distance of the keys that are looked at.
	sampleStep = 509
)

// Options are those of a run.
type Options struct {
	// Program is the path of the sidecar.
	Program string
	// Folder gets the logs; it must be empty or absent.
	Folder    string
	Seed      uint64
	Instances int
	// Length is the time with faults.
	Length time.Duration
	Out    io.Writer
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

// Soak is one run.
type Soak struct {
	options   Options
	group     *harness.Group
	store     *platformtest.Store
	instances []*instance
	promises  *promises
	version   int
}

func (s *Soak) network() int { return firstNetwork + int(s.options.Seed%networks) } //nolint:gosec // It is below 100.

// Run runs a seed. It returns a *FindingsError if a promise was broken.
func Run(ctx context.Context, options Options) (err error) {
	group, err := harness.NewGroup(options.Folder)
	if err != nil {
		return err
	}
	s := &Soak{options: options, group: group, store: &platformtest.Store{}, promises: newPromises(), version: 1}
	s.store.WriteManifest(s.version)
	storeAt := fmt.Sprintf("127.%d.1.1:9100", s.network())
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
			service = freeService
		}
		in, err := s.newInstance(i, service, storeAt)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, in)
	}
	return s.run(ctx)
}

func (s *Soak) run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	for _, in := range s.instances {
		background.Go(func() { in.report(running) })
	}
	background.Go(func() { s.watch(running) })
	stop := func() {
		cancel()
		background.Wait()
	}
	defer stop()
	if err := s.settle(ctx); err != nil {
		return err
	}
	callers, leave := context.WithCancel(running)
	var load sync.WaitGroup
	for _, in := range s.instances {
		for range callersPerInstance {
			load.Go(func() { s.call(callers, in) })
		}
	}
	s.inject(ctx)
	if err := s.settle(ctx); err != nil {
		s.promises.found("after the faults: %v", err)
	}
	leave()
	load.Wait()
	s.promises.judge()
	p := s.promises
	_, _ = fmt.Fprintf(s.options.Out, "seed=%d served=%d refused=%d unknown=%d findings=%d\n", s.options.Seed, p.served, p.refused, p.unknown, len(p.findings))
	if len(p.findings) > 0 {
		return &FindingsError{seed: s.options.Seed, findings: p.findings}
	}
	return nil
}

// inject carries out the plan; faults overlap.
func (s *Soak) inject(ctx context.Context) {
	began := time.Now()
	var faults sync.WaitGroup
	for _, e := range NewPlan(s.options.Seed, len(s.instances), s.options.Length) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(e.At))):
		}
		_, _ = fmt.Fprintf(s.options.Out, "event=fault %s\n", e)
		faults.Go(func() {
			if err := s.apply(e); err != nil {
				s.promises.found("fault %s: %v", e, err)
			}
		})
	}
	faults.Wait()
}

// apply carries out one fault to its end.
func (s *Soak) apply(e Event) error {
	in := s.instances[e.Instance]
	switch e.Fault {
	case Pause:
		err := in.signal(syscall.SIGSTOP)
		time.Sleep(e.Length)
		return errors.Join(err, in.signal(syscall.SIGCONT))
	case Kill, Restart:
		// A paused process does not see the signal to stop before it continues.
		err := in.end(e.Fault == Restart)
		time.Sleep(min(e.Length, time.Second))
		return errors.Join(err, in.start())
	case KillAll:
		var err error
		for _, in := range s.instances {
			err = errors.Join(err, in.end(false))
		}
		for _, in := range s.instances {
			err = errors.Join(err, in.start())
		}
		return err
	case Reload:
		return in.signal(syscall.SIGHUP)
	case Crash:
		if in.life() == nil {
			return nil
		}
		in.crash()
		time.Sleep(e.Length)
		return in.startUpstream()
	case StoreLink, UpstreamLink, ReportLink:
		proxy := map[Fault]*Proxy{StoreLink: in.store, UpstreamLink: in.calls, ReportLink: in.reports}[e.Fault]
		proxy.Set(e.Mode)
		time.Sleep(e.Length)
		proxy.Set(Pass)
	case Outage, LostAnswers, History:
		s.store.SetFaults(storeFaults(e.Fault))
		time.Sleep(e.Length)
		s.store.SetFaults(platformtest.StoreFaults{})
	case Manifest:
		s.version++
		s.store.WriteManifest(s.version, fmt.Sprintf("/new%d/", s.version))
	default:
		return fmt.Errorf("fault %d is not known", e.Fault)
	}
	return nil
}

// lateWrite is the time after which a change without an answer takes effect.
const lateWrite = 2 * time.Second

func storeFaults(f Fault) platformtest.StoreFaults {
	return platformtest.StoreFaults{
		Status:        map[Fault]int{Outage: http.StatusServiceUnavailable}[f],
		DropResponses: f == LostAnswers, ApplyDelay: lateWrite, HistoryGone: f == History,
	}
}

// settle waits until every sampled key is held.
func (s *Soak) settle(ctx context.Context) error {
	for deadline := time.Now().Add(settleTime); ; time.Sleep(lookEvery) {
		missing := 0
		for key := 0; key < keys; key += sampleStep {
			if len(s.holders(key)) == 0 {
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

// holders returns the living upstreams that hold a key.
func (s *Soak) holders(key int) []*platformtest.Upstream {
	var holders []*platformtest.Upstream
	for _, in := range s.instances {
		if u := in.life(); u != nil && u.Keyed && u.HoldsKey(key) {
			holders = append(holders, u)
		}
	}
	return holders
}

// watch looks for keys that two upstreams hold for long.
func (s *Soak) watch(ctx context.Context) {
	since := make(map[int]time.Time)
	for ctx.Err() == nil {
		for key := 0; key < keys; key += sampleStep {
			holders := s.holders(key)
			if len(holders) < 2 {
				delete(since, key)
				continue
			}
			if _, known := since[key]; !known {
				since[key] = time.Now()
			}
			if time.Since(since[key]) > overlapBound {
				s.promises.found("key %d is held by %s and %s", key, holders[0].ID, holders[1].ID)
				delete(since, key)
			}
		}
		time.Sleep(lookEvery)
	}
}

// began checks a run as it begins.
func (s *Soak) began(in *instance, u *platformtest.Upstream, id, key string) {
	s.promises.ran(id)
	number, err := strconv.Atoi(key)
	if !u.Keyed || err != nil || in.life() != u {
		return
	}
	for _, other := range s.holders(number) {
		if other != u {
			s.promises.found("request %s for key %d began at %s while %s held it", id, number, u.ID, other.ID)
		}
	}
}

// whole tells whether a body is the whole answer to a request.
func whole(body, id string) bool {
	return strings.Contains(body, "/"+id+" ") && strings.HasSuffix(body, ": "+bodyOf(id))
}
