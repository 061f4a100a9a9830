// Package app wires the parts of the sidecar together.
package app

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/replica"
	"briarwell.dev/core/routes"
	"briarwell.dev/platform/manifest"
	"briarwell.dev/platform/store"
	"briarwell.dev/sidecar/settings"
)

const (
	// readinessDelay is the time in milliseconds after a signal to stop in which
	// callers see that this instance is not ready, after two questions a second
	// apart, and send no more.
	readinessDelay clock.Millis = 2600
	// callerRefusalDelay is the time in milliseconds after a signal to stop from which
	// requests of callers are refused: some still come while most of the other
	// instances of the failure domain are away, and those in flight must end.
	callerRefusalDelay clock.Millis = 3600
	// killMargin is the time in milliseconds before the kill at which the sidecar
	// ends, whatever is still in flight.
	killMargin clock.Millis = 600
	// retryShareFraction and slackShare are the parts of the two terms of the budget that the
	// sidecars use: the windows in which it is measured slide, and each sidecar saves
	// up some repeats.
	retryShareFraction = 0.75
	retrySlackFraction = 0.5
	// millisPerSecond converts the window of the budget.
	millisPerSecond = 1000
)

// App is one sidecar. Use New.
type App struct {
	settings  settings.Sidecar
	clock     system.Clock
	log       *log.Logger
	logWriter *logs.Writer
	localIP   net.IP

	store     *store.Store
	rows      replica.Rows
	manifest  atomic.Pointer[routes.Manifest]
	state     *state
	upstream  *upstream
	gate      *admission.Gate
	owner     *dispatch.Executor
	entry     *dispatch.Dispatcher
	peers     *peerClients
	telemetry *telemetry

	wake      chan struct{}
	startedAt clock.Millis
	listeners []*listener
	// watching tells which feeds of the store this sidecar follows itself, following
	// which of them are answered.
	watching      [store.FeedCount]atomic.Bool
	feedReachable [store.FeedCount]atomic.Bool
	// watcherRoleKnown tells that this sidecar has compared rows with others, so that it knows
	// whether it should follow the store.
	watcherRoleKnown atomic.Bool
	// writeSemaphore is held by the one write to the store that is in progress.
	writeSemaphore chan struct{}
	// proposals are the changes that other sidecars asked this one to write.
	proposals proposalQueue
	// consecutiveConflicts counts the writes in a row whose row was changed by another.
	consecutiveConflicts atomic.Int64
	// stopping tells that callers should go elsewhere, closing that the upstream
	// gets no more requests from this process, refusing that callers are refused.
	stopping        atomic.Bool
	upstreamClosed  atomic.Bool
	refusingCallers atomic.Bool
	inFlight        atomic.Int64
}

type listener struct {
	name        string
	netListener net.Listener
	server      *http.Server
}

// New binds the addresses of a sidecar and prepares its parts. The error says
// which address can't be bound.
func New(s settings.Sidecar, out io.Writer) (*App, error) {
	incarnation, err := randomIncarnation()
	if err != nil {
		return nil, err
	}
	a := &App{settings: s, localIP: net.ParseIP(s.IP()), wake: make(chan struct{}, 1), writeSemaphore: make(chan struct{}, 1)}
	a.startedAt = a.clock.Now()
	for i := range a.watching {
		a.watching[i].Store(true)
	}
	a.log, a.logWriter = logs.New(out, s.LogLevel())
	a.telemetry = newTelemetry()
	a.manifest.Store(&routes.Manifest{})
	a.store = store.New(s.StoreAddress(), a.localIP)
	instance := membership.NewInstance(s.Instance(), s.RequestAddress(), s.PeerAddress(), s.Location())
	a.state = newState(a.clock.Now(), s, instance, incarnation)
	a.gate = admission.NewGate(a.clock, admission.Settings{})
	a.peers = newPeerClients(a.localIP)
	a.upstream = &upstream{app: a, client: httpclient.New(s.UpstreamAddress(), a.localIP)}
	a.owner = dispatch.NewExecutor(a.clock, a.upstream, a.gate, s.LinkMbps())
	a.entry = dispatch.NewDispatcher(a.clock, a.state, &sender{app: a}, balance.New(s.Location()), dispatch.RetryLimits{
		Ratio:        s.RetryShare() * retryShareFraction,
		MinPerSecond: float64(s.RetrySlack()) * retrySlackFraction * millisPerSecond / float64(s.RetryWindow()),
	})
	return a, a.listen()
}

func randomIncarnation() (identity.Incarnation, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, eris.Wrap(err, "random incarnation")
	}
	return identity.Incarnation(binary.LittleEndian.Uint64(seed[:])), nil
}

func (a *App) listen() error {
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"peers", a.settings.PeerAddress(), a.controlHandler()},
		{"requests", a.settings.RequestAddress(), http.HandlerFunc(a.servePeerRequest)},
		{"reports", a.settings.ReportAddress(), http.HandlerFunc(a.serveReport)},
		{"callers", a.settings.CallerAddress(), http.HandlerFunc(a.serveCaller)},
		{"ready", a.settings.ReadyAddress(), http.HandlerFunc(a.serveReady)},
		{"metrics", a.settings.MetricsAddress(), http.HandlerFunc(a.serveMetrics)},
	} {
		bound, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrap(err, l.name+" address")
		}
		a.listeners = append(a.listeners, &listener{name: l.name, netListener: bound, server: newServer(l.handler)})
	}
	return nil
}

// Run serves until ctx ends, then leaves gracefully.
func (a *App) Run(ctx context.Context) {
	background, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	for _, l := range a.listeners {
		tasks.Go(func() {
			if err := l.server.Serve(l.netListener); err != nil && background.Err() == nil {
				a.log.Error().Err(err).Str("listener", l.name).Msg("listenerFailed")
			}
		})
	}
	tasks.Go(func() { a.watchLoop(background, store.OperatorRows) })
	tasks.Go(func() { a.watchLoop(background, store.OwnRows) })
	tasks.Go(func() { a.controlLoop(background) })
	tasks.Go(func() { a.syncLoop(background) })
	tasks.Go(func() { a.rebalanceLoop(background) })
	tasks.Go(func() { a.gaugeLoop(background) })
	a.log.Info().Str("instance", a.settings.Instance()).Str("incarnation", a.state.incarnation.String()).
		Str("service", a.settings.Service()).Msg("started")
	<-ctx.Done()
	a.stop()
	cancel()
	for _, l := range a.listeners {
		_ = l.server.Close()
	}
	tasks.Wait()
	a.log.Info().Int64("droppedLines", a.logWriter.Dropped()).Msg("stopped")
	if err := errors.Join(a.telemetry.closer.Close(), a.logWriter.Close()); err != nil {
		a.log.Error().Err(err).Msg("closeFailed")
	}
}

// stop waits until callers have seen that this instance is not ready, then takes
// no more requests for its upstream and waits for those in flight.
func (a *App) stop() {
	a.stopping.Store(true)
	began := a.clock.Now()
	a.log.Info().Int64("inFlight", a.inFlight.Load()).Msg("stopping")
	for {
		waited := a.clock.Now() - began
		if waited >= readinessDelay {
			a.upstreamClosed.Store(true)
		}
		if waited >= callerRefusalDelay {
			a.refusingCallers.Store(true)
		}
		if waited >= a.settings.Grace()-killMargin || waited >= readinessDelay+peerDrainTime && a.inFlight.Load() == 0 {
			a.log.Info().Int64("inFlight", a.inFlight.Load()).Int64("waitedMillis", int64(waited)).Msg("leaving")
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// peerDrainTime is the time in milliseconds in which requests that other sidecars
// have sent already arrive and are refused.
const peerDrainTime clock.Millis = 60

// stopPollInterval is the time between two looks at the requests in flight.
const stopPollInterval = 20 * time.Millisecond

// Reload takes settings that were read again. Those of a running sidecar do not
// change: its addresses are bound, and the platform starts it anew for others.
func (a *App) Reload(s settings.Sidecar, err error) {
	if err != nil {
		a.log.Error().Err(err).Msg("reloadFailed")
		return
	}
	a.log.Info().Bool("changed", s != a.settings).Msg("reloaded")
}

// applyManifest puts a newer manifest in force.
func (a *App) applyManifest(value []byte) {
	m, err := manifest.Decode(value)
	if err != nil {
		a.log.Error().Err(err).Msg("manifestRejected")
		return
	}
	for {
		old := a.manifest.Load()
		if m.Version() <= old.Version() {
			return
		}
		if a.manifest.CompareAndSwap(old, m) {
			a.log.Info().Uint64("version", m.Version()).Uint64("before", old.Version()).Msg("manifestInForce")
			return
		}
	}
}
