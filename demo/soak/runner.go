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
	// keyedService has keys with one holder each, unkeyedService has no keys.
	keyedService   = "wardrobe"
	unkeyedService = "ledger"
	// A run uses the loopback network 127.N.0.0/16, where N is firstNetwork plus the
	// seed modulo networkCount. Runs whose seeds differ by less than networkCount can
	// run concurrently.
	firstNetwork = 60
	networkCount = 100
	// settleTimeout bounds the initial assignment of all keys, and the recovery after
	// the faults.
	settleTimeout = 25 * time.Second
	// holderCheckInterval is the pause between two checks of the holders of all sampled
	// keys.
	holderCheckInterval = 50 * time.Millisecond
	// keySampleStep is the distance between two sampled keys.
	keySampleStep = 509
)

// Options configures a run.
type Options struct {
	// Program is the path of the sidecar program.
	Program string
	// Folder is the folder for logs and settings; it must be empty or absent.
	Folder string
	Seed   uint64
	// Instances is the number of instances.
	Instances int
	// FaultPhase is the duration of the phase in which faults start.
	FaultPhase time.Duration
	// Without selects series of faults that are left out.
	Without Without
	// Out receives the faults and the summary of the run.
	Out io.Writer
}

// FindingsError reports violated guarantees.
type FindingsError struct {
	seed     uint64
	findings []string
}

// Findings returns one text for each violation; callers must not change them.
func (e *FindingsError) Findings() []string { return e.findings }

func (e *FindingsError) Error() string {
	return fmt.Sprintf("seed %d: %d findings, the first: %s", e.seed, len(e.findings), e.findings[0])
}

// Runner runs the sidecars, upstreams, callers and faults of one seed.
type Runner struct {
	options   Options
	processes *harness.ProcessSet
	store     *platformtest.Store
	instances []*instance
	checker   *responseChecker
	placement placement
	operator  operator
	copies    copies
	holds     holdAudit
	writes    writeFaults
	// links has the links by IP address.
	links sync.Map
}

// linkOf returns the link of the instance with an IP address, nil if there is none.
func (r *Runner) linkOf(ip string) *Link {
	link, _ := r.links.Load(ip)
	l, _ := link.(*Link)
	return l
}

// networkNumber returns the second byte of the loopback addresses of the run.
func (r *Runner) networkNumber() int { return firstNetwork + int(r.options.Seed%networkCount) } //nolint:gosec // The remainder is less than networkCount.

// Run runs the soak test for a seed. It returns a *FindingsError if a guarantee was
// violated, and a *harness.FolderNotEmptyError if the folder has files.
func Run(ctx context.Context, options Options) (err error) {
	processes, err := harness.NewProcessSet(options.Folder)
	if err != nil {
		return err
	}
	r := &Runner{options: options, processes: processes, store: &platformtest.Store{}, checker: newResponseChecker()}
	r.store.SetEra(1)
	r.writeManifest(false)
	storeAddress := r.storeAddress()
	l, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return err
	}
	storeServer := &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	go func() { _ = storeServer.Serve(l) }() // Returns when the run ends and closes the server.
	defer func() {
		err = errors.Join(err, storeServer.Close(), processes.Close())
		for _, in := range r.instances {
			err = errors.Join(err, in.close())
		}
	}()
	for i := range options.Instances {
		service := keyedService
		if i%6 == 2 || i%6 == 3 { // in two of the three regions
			service = unkeyedService
		}
		in, err := r.newInstance(i, service, storeAddress)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, in)
	}
	return r.runWithFaults(ctx)
}

// runWithFaults waits for the initial assignment, runs callers while it injects the
// faults, and checks the executions after all keys are held again.
func (r *Runner) runWithFaults(ctx context.Context) error {
	backgroundCtx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	for _, in := range r.instances {
		background.Go(func() { in.sendHeartbeats(backgroundCtx) })
	}
	background.Go(func() { r.copyStore(backgroundCtx) })
	stop := func() {
		cancel()
		background.Wait()
	}
	defer stop()
	if err := r.waitUntilKeysHeld(ctx); err != nil {
		return err
	}
	callerCtx, stopCallers := context.WithCancel(backgroundCtx)
	var callers sync.WaitGroup
	for _, in := range r.instances {
		for range callersPerInstance {
			callers.Go(func() { r.runCaller(callerCtx, in, randomRoute) })
		}
		callers.Go(func() { r.runCaller(callerCtx, in, r.probedRoute) })
	}
	r.injectFaults(ctx)
	if err := r.waitUntilKeysHeld(ctx); err != nil {
		r.checker.addFinding("keys were not held again after the faults: %v", err)
	}
	r.writeManifest(false) // Upstreams of all regions may own keys again.
	if !r.options.Without.Others {
		r.checkReturns(ctx)
		r.checkCalm(ctx)
	}
	stopCallers()
	callers.Wait()
	r.checker.checkExecutions()
	r.checkHolds()
	c := r.checker
	_, _ = fmt.Fprintf(r.options.Out, "seed=%d served=%d refused=%d unknown=%d maxCold=%d evacuations=%d restricted=%d manifests=%d maxRoutes=%d checkedRouted=%d checkedUnrouted=%d lagging=%d findings=%d\n",
		r.options.Seed, c.servedCount, c.refusedCount, c.unknownCount, c.maxColdCount, c.evacuationCount, c.restrictedCount,
		r.operator.version, r.operator.maxCount, c.routedCount, c.unroutedCount, c.laggingCount, len(c.findings))
	if len(c.findings) > 0 {
		return &FindingsError{seed: r.options.Seed, findings: c.findings}
	}
	return nil
}

// injectFaults applies the faults of the plan, which can overlap, and waits until all
// have ended.
func (r *Runner) injectFaults(ctx context.Context) {
	start := time.Now()
	var faults sync.WaitGroup
	for _, f := range NewPlan(r.options.Seed, len(r.instances), r.options.FaultPhase, r.options.Without) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(f.Start))):
		}
		_, _ = fmt.Fprintf(r.options.Out, "event=fault %s\n", f)
		faults.Go(func() {
			if err := r.applyFault(f); err != nil {
				r.checker.addFinding("fault %s could not be applied: %v", f, err)
			}
		})
	}
	faults.Wait()
	for _, in := range r.instances {
		if err := in.restartAfterHangup(); err != nil {
			r.checker.addFinding("%s could not be restarted: %v", in.name, err)
		}
	}
}

// applyFault applies a fault and reverts it after its duration.
func (r *Runner) applyFault(f Fault) error {
	in := r.instances[f.Instance]
	switch f.Kind {
	case Pause:
		return in.pauseSidecar(f.Duration)
	case Kill, Restart:
		return in.restartSidecar(f.Kind == Restart, f.Duration)
	case KillAll:
		return r.killAll(func() {})
	case Reload:
		return in.signalSidecar(syscall.SIGHUP)
	case Hangups:
		return in.hangUpSidecar(f.Duration)
	case UpstreamLeave:
		return r.leaveUpstream(in, f.Duration)
	case UpstreamCrash:
		if in.currentUpstream() == nil {
			return nil
		}
		in.stopUpstream()
		time.Sleep(f.Duration)
		return in.startUpstream()
	case StoreLink, UpstreamLink, HeartbeatLink:
		in.disturbLink(f)
	case StoreOutage, LostResponses, HistoryLoss, StoreSilence:
		if f.Kind == StoreOutage || f.Kind == StoreSilence {
			defer r.recordCutOff()()
		}
		if f.Kind == HistoryLoss {
			defer r.recordForAll(func(in *instance) []*disturbance { return []*disturbance{&in.feedLost} })()
		}
		r.store.SetFaults(newStoreFaults(f.Kind))
		time.Sleep(f.Duration)
		r.store.SetFaults(platformtest.StoreFaults{})
	case ManifestChange:
		r.writeManifest(true)
	case ColdTurn:
		if u := in.currentUpstream(); u != nil && u.ColdRemaining() == 0 {
			u.BecomeCold(f.Duration)
		}
	case Evacuate:
		return r.evacuateDomains(f)
	case StoreDrill:
		r.drillStore(f)
	default:
		if f.Kind > StoreDrill {
			return r.applyHoldFault(f)
		}
		return r.applySeriesFault(f)
	}
	return nil
}

// killAll kills all sidecars, calls between and restarts them.
func (r *Runner) killAll(between func()) error {
	defer r.recordForAll(func(in *instance) []*disturbance { return []*disturbance{&in.cutOff, &in.halted} })()
	var err error
	for _, in := range r.instances {
		err = errors.Join(err, in.stopSidecar(false))
	}
	between()
	for _, in := range r.instances {
		err = errors.Join(err, in.startSidecar())
	}
	return err
}

const (
	// hangupInterval is the time between two signals of Hangups.
	hangupInterval = 60 * time.Millisecond
	// announceInterval is the time between two deregistrations of an upstream that gets no
	// acknowledgement, announceTimeout that after which it ends without one.
	announceInterval = 100 * time.Millisecond
	announceTimeout  = 6 * time.Second
	// drainTime is the time after the acknowledgement from which an upstream that leaves gets
	// no requests, as in the settings. It ends leaveMargin later, or after a longer fault.
	drainTime   = 2500 * time.Millisecond
	leaveMargin = time.Second
	// contactTime is the time without a disturbance after which a sidecar must keep the bounds.
	contactTime = 3 * time.Second
)

// leaveUpstream makes the upstream of an instance announce its shutdown until that is
// acknowledged, and replaces it later.
func (r *Runner) leaveUpstream(in *instance, stay time.Duration) error {
	u := in.currentUpstream()
	if u == nil {
		return nil
	}
	for end := time.Now().Add(announceTimeout); time.Now().Before(end); time.Sleep(announceInterval) {
		if u.Deregister(in.ip+":9012") == nil {
			in.recordDeparture(u)
			break
		}
	}
	time.Sleep(max(stay, drainTime+leaveMargin))
	if in.currentUpstream() != u {
		return nil // It has crashed meanwhile.
	}
	in.stopUpstream()
	return in.startUpstream()
}

// lostResponseApplyDelay is the time after which the store applies a transaction
// without a response.
const lostResponseApplyDelay = 2 * time.Second

// newStoreFaults returns the settings of the store for a kind of store fault.
func newStoreFaults(kind FaultKind) platformtest.StoreFaults {
	return platformtest.StoreFaults{
		Status:        map[FaultKind]int{StoreOutage: http.StatusServiceUnavailable}[kind],
		DropResponses: kind == LostResponses, ApplyDelay: lostResponseApplyDelay, HistoryGone: kind == HistoryLoss, Silent: kind == StoreSilence,
	}
}

// waitUntilKeysHeld waits until every sampled key has a holder, for at most
// settleTimeout.
func (r *Runner) waitUntilKeysHeld(ctx context.Context) error {
	for deadline := time.Now().Add(settleTimeout); ; time.Sleep(holderCheckInterval) {
		unheld := 0
		for key := 0; key < keyCount; key += keySampleStep {
			if len(r.keyHolders(key)) == 0 {
				unheld++
			}
		}
		if unheld == 0 || ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d sampled keys still have no holder", unheld)
		}
	}
}

// keyHolders returns the running upstreams that hold a key.
func (r *Runner) keyHolders(key int) []*platformtest.Upstream {
	var holders []*platformtest.Upstream
	for _, in := range r.instances {
		if u := in.currentUpstream(); u != nil && u.Keyed && u.HoldsKey(key) {
			holders = append(holders, u)
		}
	}
	return holders
}

// checkRequestStart records that an upstream started to run a request, and reports it
// if another upstream holds the key. It is called before the request is processed.
func (r *Runner) checkRequestStart(in *instance, u *platformtest.Upstream, id, key string) {
	r.checker.recordExecution(id)
	in.checkArrival(u, id)
	if late, ok := in.sinceDrain(u); ok && late > 0 {
		r.checker.addFinding("request %s started at %s %s after its drain time", id, u.ID, late)
	}
	keyNumber, err := strconv.Atoi(key)
	if !u.Keyed || err != nil || in.currentUpstream() != u {
		return
	}
	for _, other := range r.keyHolders(keyNumber) {
		if other != u {
			r.checker.addFinding("request %s for key %d started at %s while %s held the key", id, keyNumber, u.ID, other.ID)
		}
	}
}

// isCompleteResponse reports whether body is the complete response of a fake upstream
// to the request with the given ID.
func isCompleteResponse(body, id string) bool {
	return strings.Contains(body, "/"+id+" ") && strings.HasSuffix(body, ": "+requestBody(id))
}
