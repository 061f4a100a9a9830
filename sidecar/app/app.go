// Package app assembles the components of the sidecar and runs them.
package app

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/balance"
	"briarwell.dev/core/capacity"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/coldstart"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/era"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/httpserver"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/memory"
	"briarwell.dev/core/replica"
	"briarwell.dev/core/routes"
	"briarwell.dev/core/shutdown"
	"briarwell.dev/platform/manifest"
	"briarwell.dev/platform/store"
	"briarwell.dev/sidecar/settings"
)

const (
	// readinessDelay is the time in milliseconds after a stop signal within which
	// callers notice that this instance is not ready and send no more requests: they
	// probe readiness twice, a second apart.
	readinessDelay clock.Millis = 2600
	// callerRefusalDelay is the time in milliseconds after a stop signal from which
	// requests of callers are refused. Some still arrive after readinessDelay if most
	// other instances of the failure domain are down.
	callerRefusalDelay clock.Millis = 3600
	// retryShareFraction and retrySlackFraction are the fractions of the retry share
	// and the retry slack in the settings that the sidecars use. The rest is a reserve:
	// the windows in which the retries are counted slide, and each sidecar can
	// accumulate some retries.
	retryShareFraction = 0.75
	retrySlackFraction = 0.5
	millisPerSecond    = 1000
)

// App is a sidecar. Create it with New.
type App struct {
	settings  settings.Sidecar
	clock     system.Clock
	log       *log.Logger
	logWriter *logs.Writer
	localIP   net.IP

	store *store.Store
	rows  replica.Rows
	// applyMu keeps the order in which rows are applied to the replica and to the state.
	applyMu sync.Mutex
	// operatorRevision is a revision up to which all changes of the operator's rows are known.
	// applyMu protects it.
	operatorRevision era.Revision
	// manifestDecoder decodes the manifest row. applyMu protects it.
	manifestDecoder manifest.Decoder

	// confirmation is the search for the newest manifest that is in progress, if any.
	confirmation confirmation
	// newestRevision is the newest revision of the store that an answer for a feed had.
	newestRevision atomic.Pointer[era.Revision]

	manifest   atomic.Pointer[routes.Manifest]
	state      *state
	upstream   *upstream
	gate       *admission.Gate
	executor   *dispatch.Executor
	dispatcher *dispatch.Dispatcher
	peers      *peerClients
	telemetry  *telemetry
	// capacityLog selects the changes of the upstream's capacity to be logged. Only gaugeLoop
	// uses it.
	capacityLog capacity.ChangeLog
	// memory bounds the bodies of all requests and responses in progress.
	memory *memory.Budget
	// heads bounds the memory for the heads of requests of clients, forwardedHeads that for the heads
	// of requests that other sidecars forward.
	heads          *memory.Budget
	forwardedHeads *memory.Budget
	// controlMemory bounds the bodies of all control messages and reports in progress.
	controlMemory *memory.Budget
	// memoryLimit is the soft limit that was set for the Go runtime's memory in bytes, 0 if
	// none. Only gaugeLoop uses it.
	memoryLimit int64

	controlWake chan struct{}
	startedAt   clock.Millis
	listeners   []*listener
	// watching is set for each feed of the store that this sidecar watches itself.
	watching [store.FeedCount]atomic.Bool
	// feedReachable is set for each feed whose latest call to the store succeeded.
	feedReachable [store.FeedCount]atomic.Bool
	// watcherRoleKnown reports whether the latest sync round found other watchers of
	// the region, which determines whether this sidecar has to watch the store.
	watcherRoleKnown atomic.Bool
	// unplaceable is set while the upstream may not own keys. Only controlLoop uses it.
	unplaceable bool
	// writeSemaphore admits one operation at a time: a commit of an assignment, a probe of
	// the store, or a proposal to another sidecar.
	writeSemaphore chan struct{}
	// memberSemaphore admits one commit of the member row at a time. An upstream that leaves
	// waits for it, which must not take as long as the retries of an assignment.
	memberSemaphore chan struct{}
	// writeOutage bounds the calls that write, probe the store, or read what became of a
	// write.
	writeOutage storeOutage
	// rowMerge is the search for the own member row at other sidecars.
	rowMerge rowMerge
	// fetches holds the large rows that other sidecars have.
	fetches fetches
	// proposals holds the changes that other sidecars proposed to this one.
	proposals proposalQueue
	// queriedLoads are the loads that other holders reported at loadsQueriedAt. Only
	// rebalanceLoop uses them.
	queriedLoads   map[string]balance.Load
	loadsQueriedAt clock.Millis
	// consecutiveConflicts counts the write conflicts since the last successful write.
	consecutiveConflicts atomic.Int64
	// shutdownPlan is nil until the stop signal.
	shutdownPlan atomic.Pointer[shutdown.Plan]
	inFlight     atomic.Int64
	// requests is the context of all requests. giveUpRequests ends it.
	requests       context.Context //nolint:containedctx // Requests outlive the call that creates it.
	giveUpRequests context.CancelFunc
	// coldSettingsMu keeps the order in which the bounds for cold upstreams are applied.
	coldSettingsMu sync.Mutex
	// coldLogged is the state of the upstream in the latest log line about it.
	coldLogged atomic.Bool
	// coldRefusalsCounted is the part of the refusals that the metric has. Only gaugeLoop uses
	// it.
	coldRefusalsCounted uint64
	// failures receives the error of the first background task that has failed.
	failures chan error
}

// Names of listeners: for callers, for forwarded requests, for control messages and for reports of the
// upstream.
const (
	callersListener  = "callers"
	requestsListener = "requests"
	peersListener    = "peers"
	reportsListener  = "reports"
)

type listener struct {
	name        string
	netListener net.Listener
	server      *http.Server
	guard       *httpserver.Guard
}

// New creates the components of a sidecar and binds its addresses. The error names
// the address that can't be bound.
func New(s settings.Sidecar, out io.Writer) (*App, error) {
	incarnation, err := randomIncarnation()
	if err != nil {
		return nil, err
	}
	a := &App{settings: s, localIP: net.ParseIP(s.IP()), controlWake: make(chan struct{}, 1), writeSemaphore: make(chan struct{}, 1), memberSemaphore: make(chan struct{}, 1), failures: make(chan error, 1)}
	a.startedAt = a.clock.Now()
	a.requests, a.giveUpRequests = context.WithCancel(context.Background())
	for i := range a.watching {
		a.watching[i].Store(true)
	}
	a.memory, a.controlMemory = memory.NewBudget(s.BodyMemoryBytes()), memory.NewBudget(controlMemoryBytes)
	a.heads, a.forwardedHeads = memory.NewBudget(headMemory(s)), memory.NewBudget(headMemory(s))
	a.log, a.logWriter = logs.New(out, s.LogLevel())
	a.telemetry = newTelemetry()
	a.manifest.Store(&routes.Manifest{})
	a.store = store.New(s.StoreAddress(), a.localIP)
	instance := membership.NewInstance(s.Instance(), s.RequestAddress(), s.PeerAddress(), s.Location())
	a.state = newState(a.clock.Now(), s, instance, incarnation)
	a.gate = admission.NewGate(a.clock, admission.Settings{})
	a.peers = newPeerClients(a.localIP, a.controlMemory)
	a.upstream = &upstream{
		app: a, client: httpclient.New(s.UpstreamAddress(), a.localIP).WithDistinctSends(), probeClient: httpclient.New(s.UpstreamAddress(), a.localIP),
	}
	a.executor = dispatch.NewExecutor(a.clock, a.upstream, a.gate, s.LinkMbps())
	// Before the first manifest it is unknown how many requests a cold upstream tolerates.
	a.executor.UpdateColdSettings(coldstart.Settings{Closed: true})
	a.dispatcher = dispatch.NewDispatcher(a.clock, a.state, &sender{app: a}, balance.New(s.Location()), dispatch.RetryLimits{
		Ratio:        s.RetryShare() * retryShareFraction,
		MinPerSecond: s.RetrySlack() * retrySlackFraction * millisPerSecond / float64(s.RetryWindow()),
	}).WithShutdown(a.currentShutdown)
	return a, a.listen()
}

func randomIncarnation() (identity.Incarnation, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, eris.Wrap(err, "random bytes for the incarnation can't be read")
	}
	return identity.Incarnation(binary.LittleEndian.Uint64(seed[:])), nil
}

func (a *App) listen() error {
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		newServer     func(http.Handler) *http.Server
	}{
		{peersListener, a.settings.PeerListenAddress(), a.controlHandler(), newControlServer},
		{requestsListener, a.settings.RequestAddress(), http.HandlerFunc(a.servePeerRequest), newPeerServer},
		{reportsListener, a.settings.ReportAddress(), http.HandlerFunc(a.serveReport), newControlServer},
		{callersListener, a.settings.CallerAddress(), http.HandlerFunc(a.serveCaller), newCallerServer},
		{"ready", a.settings.ReadyAddress(), http.HandlerFunc(a.serveReady), newControlServer},
		{"metrics", a.settings.MetricsAddress(), http.HandlerFunc(a.serveMetrics), newControlServer},
	} {
		bound, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrap(err, l.name+" address can't be bound")
		}
		server := l.newServer(a.recoverPanics(l.name, l.handler))
		server.BaseContext = func(net.Listener) context.Context { return a.requests }
		var onStatus func(conn *httpserver.Conn, status int)
		if l.name == callersListener {
			onStatus = a.recordProtocolStatus
		}
		guard := a.newGuard(l.name, a.connectionLimit(l.name))
		watched := httpserver.Watch(server, bound, onStatus).WithGuard(guard)
		a.listeners = append(a.listeners, &listener{name: l.name, netListener: watched, server: server, guard: guard})
	}
	return nil
}

// Run serves until ctx ends or a background task fails, then stops gracefully. It returns
// the error of that task.
func (a *App) Run(ctx context.Context) error {
	setCollectorPercent()
	a.updateMemoryLimit()
	background, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	for _, l := range a.listeners {
		a.startTask(&tasks, "listener "+l.name, func() {
			if err := l.server.Serve(l.netListener); err != nil && background.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
				a.log.Error().Err(err).Str("listener", l.name).Msg("listenerFailed")
			}
		})
	}
	a.startTask(&tasks, "operator rows", func() { a.watchLoop(background, store.OperatorRows) })
	a.startTask(&tasks, "router rows", func() { a.watchLoop(background, store.RouterRows) })
	a.startTask(&tasks, "control", func() { a.controlLoop(background) })
	a.startTask(&tasks, "sync", func() { a.syncLoop(background) })
	a.startTask(&tasks, "rebalance", func() { a.rebalanceLoop(background) })
	a.startTask(&tasks, "connections", func() { a.guardLoop(background) })
	a.startTask(&tasks, "gauges", func() { a.gaugeLoop(background) })
	a.log.Info().Str("instance", a.settings.Instance()).Str("incarnation", a.state.incarnation.String()).
		Str("service", a.settings.Service()).Msg("started")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-a.failures:
	}
	a.stop()
	cancel()
	tasks.Wait()
	a.log.Info().Err(failure).Int64("droppedLines", a.logWriter.Dropped()).Msg("stopped")
	if err := errors.Join(a.telemetry.closer.Close(), a.logWriter.Close()); err != nil {
		a.log.Error().Err(err).Msg("closeFailed")
	}
	return failure
}

// Reload logs whether the settings file, read again, is valid and differs from the
// settings in use. It doesn't apply them: the addresses of a running sidecar are
// bound, and the platform restarts the sidecar to change its settings.
func (a *App) Reload(s settings.Sidecar, err error) {
	if err != nil {
		a.log.Error().Err(err).Msg("reloadFailed")
		return
	}
	a.log.Info().Bool("changed", s != a.settings).Msg("reloaded")
}
