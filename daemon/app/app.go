// Package app assembles a daemon from its components and runs it.
package app

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/logs"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/metrics"
	"briarwell.dev/core/node"
	"briarwell.dev/core/peer/grpcpeer"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/placement"
	"briarwell.dev/core/placement/balanced"
	"briarwell.dev/core/placement/rendezvous"
	"briarwell.dev/core/router"
	"briarwell.dev/core/settings"
	"briarwell.dev/core/table/httptable"
	"briarwell.dev/core/table/token"
	"briarwell.dev/daemon/control"
	"briarwell.dev/daemon/edge"
	"briarwell.dev/daemon/local"
	"briarwell.dev/daemon/localupstream"
)

// tableTimeout limits each call to the table service.
const tableTimeout = 2 * time.Second

// App is a daemon. Use New to create one.
type App struct {
	settings      settings.Daemon
	clock         system.Clock
	log           *log.Logger
	logCloser     io.Closer
	scope         tally.Scope
	collector     *metrics.Collector
	metricsCloser io.Closer
	listeners     listeners

	loop         *control.Loop
	upstream     *localupstream.Upstream
	grantSender  *localupstream.GrantSender
	loadMeter    *loadMeter
	ownerHandler *router.OwnerHandler
	peerPool     *grpcpeer.Pool
	peerServer   *grpcpeer.Server
	callerApp    *fiber.App
	localApp     *fiber.App
}

// New binds the addresses of a daemon and creates its components. If an address
// can't be bound, the error names it.
func New(s settings.Daemon, out io.Writer) (*App, error) {
	bound, err := bindListeners(s)
	if err != nil {
		return nil, err
	}
	a := &App{settings: s, listeners: bound}
	a.log, a.logCloser = logs.New(out, s.LogLevel())
	a.scope, a.collector, a.metricsCloser = metrics.New()
	seed, err := randomSeed()
	if err != nil {
		return nil, err
	}
	instance := membership.NewInstance(s.Instance(), s.AdvertiseHTTPAddress(), s.AdvertisePeerAddress(), s.Location())
	a.loop = control.New(instance, placementPolicy(s), a.clock.Now(), seed)
	a.buildComponents(seed)
	return a, nil
}

func placementPolicy(s settings.Daemon) placement.Policy {
	if s.Placement() == settings.PlacementBalanced {
		return &balanced.Policy{}
	}
	return rendezvous.Policy{}
}

// buildComponents creates the components that depend on the control loop.
func (a *App) buildComponents(seed uint64) {
	localIP := peerIP(a.settings)
	a.peerPool = grpcpeer.NewPool(grpcpeer.PoolSettings{LocalIP: localIP.String(), Clock: a.clock})
	a.upstream = localupstream.New(a.clock, net.IP(localIP.AsSlice()), a.loop, a.loop, a.log)
	a.grantSender = localupstream.NewGrantSender(a.upstream, a.clock)
	a.loadMeter = newLoadMeter(a.clock, a.settings.Placement() == settings.PlacementBalanced && a.settings.HotKeys())
	a.ownerHandler = router.NewOwnerHandler(router.OwnerSettings{
		Views:         a.loop,
		Upstreams:     a.upstream,
		Clock:         a.clock,
		UnixMillis:    system.UnixMillis,
		Configuration: configurationWaiter{catalogs: a.loop},
		Forwarder:     a.peerPool,
		OnUsage:       a.loadMeter.recordUsage,
	})
	entryHandler := router.NewEntryHandler(router.EntrySettings{
		Views:     a.loop,
		Forwarder: a.peerPool,
		Owner:     a.ownerHandler,
		Clock:     a.clock,
		Random:    router.NewRandom(seed),
		OnAttempt: decisionLogger{log: a.log}.logAttempt,
	})
	a.peerServer = grpcpeer.NewServer(grpcpeer.ServerSettings{
		Clock:         a.clock,
		Handler:       loggingHandler{handler: a.ownerHandler, log: a.log},
		HandleControl: a.loop.Receive,
		Status:        a.status,
		Drain:         a.drainIncarnation,
	})
	a.callerApp = edge.New(edge.Settings{
		Handler: entryHandler, Views: a.loop, Log: a.log, Scope: a.scope, MaxHeaderBytes: a.settings.MaxHeaderBytes(),
	})
	a.localApp = local.New(a, a.collector)
}

// Run serves until ctx ends or the node has left the cluster, and then shuts down
// gracefully.
func (a *App) Run(ctx context.Context) error {
	table, err := httptable.New(a.settings.TableURL(), httptable.CallTimeout(tableTimeout), httptable.LocalIP(net.IP(peerIP(a.settings).AsSlice())))
	if err != nil {
		return eris.Wrap(err, "create client of the table service")
	}
	tokens := token.New(table)
	background, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(func() {
		a.loop.Run(background, control.Settings{
			Clock: a.clock, Table: tokens, Peers: a.peerPool, Requests: a.ownerHandler,
			Grants: a.grantSender, Log: a.log, Scope: a.scope,
		})
	})
	tasks.Go(func() { a.upstream.Probe(background, a.ownerHandler) })
	tasks.Go(func() { a.grantSender.Run(background, a.loop) })
	tasks.Go(func() { a.loadMeter.report(background, a.loop, a.upstream) })
	tasks.Go(func() { a.exportGauges(background) })
	tasks.Go(func() { a.sweepTokens(background, tokens) })
	a.startServers(&tasks)
	a.log.Info().Str("instance", a.settings.Instance()).Str("httpAddress", a.settings.HTTPAddress()).
		Str("peerAddress", a.settings.PeerAddress()).Msg("started")
	select {
	case <-ctx.Done():
	case <-a.loop.Left():
	}
	a.stop()
	cancel()
	tasks.Wait()
	a.close()
	return nil
}

func (a *App) startServers(tasks *conc.WaitGroup) {
	tasks.Go(func() { a.logListenerError("callers", a.callerApp.Listener(a.listeners.callers, listenConfig())) })
	tasks.Go(func() { a.logListenerError("local", a.localApp.Listener(a.listeners.local, listenConfig())) })
	tasks.Go(func() { a.logListenerError("peers", a.peerServer.Serve(a.listeners.peers)) })
}

func listenConfig() fiber.ListenConfig {
	return fiber.ListenConfig{DisableStartupMessage: true}
}

func (a *App) logListenerError(name string, err error) {
	if err != nil {
		a.log.Error().Err(err).Str("listener", name).Msg("listenerFailed")
	}
}

// stop hands over the shards, waits for the requests in flight and stops the
// servers. The stop timeout applies to all of this together.
func (a *App) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.StopTimeout().Duration())
	defer cancel()
	a.log.Info().Msg("stopping")
	a.loop.Post(node.DrainRequested{})
	select {
	case <-a.loop.Left():
	case <-ctx.Done():
		a.log.Warn().Msg("stopTimeoutBeforeHandover")
	}
	if err := a.ownerHandler.Stop(ctx); err != nil {
		a.log.Warn().Err(err).Int("inFlight", a.ownerHandler.InFlight()).Msg("stopTimeoutWithRequestsInFlight")
	}
	a.logListenerError("callers", a.callerApp.ShutdownWithContext(ctx))
	a.peerServer.Stop(ctx)
	a.logListenerError("local", a.localApp.ShutdownWithContext(ctx))
}

func (a *App) close() {
	a.peerPool.Close()
	a.log.Info().Msg("stopped")
	_ = a.metricsCloser.Close()
	_ = a.logCloser.Close()
}

// Ready reports whether the daemon can serve callers, and the reason if not.
func (a *App) Ready() (bool, string) {
	snapshot := a.loop.Snapshot()
	switch {
	case snapshot.Self().State() != membership.StateActive:
		return false, "not active: state " + string(snapshot.Self().State())
	case !snapshot.LeaseValid(a.clock.Now()):
		return false, "no valid lease"
	case a.loop.Catalog().Version() == 0:
		return false, "no configuration"
	default:
		return true, ""
	}
}

// Announce processes the body of an announcement from the upstream.
func (a *App) Announce(body []byte) error { return a.upstream.Announce(body) }

// Drain makes the daemon hand over its shards and leave the cluster.
func (a *App) Drain() { a.loop.Post(node.DrainRequested{}) }

func peerIP(s settings.Daemon) netip.Addr {
	// The settings have been validated: the address is IP:PORT.
	return netip.MustParseAddrPort(s.PeerAddress()).Addr()
}

func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, eris.Wrap(err, "read random seed")
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// drainIncarnation handles a Drain call. It makes the daemon leave the cluster if the
// incarnation is the running one. It returns the running incarnation, the displayed
// state, and whether the call was accepted.
func (a *App) drainIncarnation(incarnation identity.Incarnation) (identity.Incarnation, string, bool) {
	running := a.loop.Snapshot().Incarnation()
	accepted := incarnation == running
	if accepted {
		a.Drain()
	}
	return running, a.displayState(), accepted
}

// status returns the response to an operator's Status call.
func (a *App) status() *peerpb.StatusResponse {
	snapshot := a.loop.Snapshot()
	self := snapshot.Self()
	response := &peerpb.StatusResponse{
		Incarnation:   uint64(self.Incarnation()),
		Instance:      a.settings.Instance(),
		Region:        a.settings.Region(),
		FailureDomain: a.settings.FailureDomain(),
		State:         a.displayState(),
		ConfigVersion: a.loop.Catalog().Version(),
		Revision:      uint64(snapshot.Revision()),
		LeaseMillis:   max(0, int64(snapshot.LeaseEnd()-a.clock.Now())),
		HttpAddress:   a.settings.AdvertiseHTTPAddress(),
	}
	if service, ok := a.upstream.Service(); ok {
		response.Services = []*peerpb.OwnedService{a.ownedService(service)}
	}
	return response
}

// displayState returns the membership state, or "expired" if the daemon is active
// without a valid lease.
func (a *App) displayState() string {
	snapshot := a.loop.Snapshot()
	state := string(snapshot.Self().State())
	if state == string(membership.StateActive) && !snapshot.LeaseValid(a.clock.Now()) {
		return "expired"
	}
	return state
}

func (a *App) ownedService(service identity.Service) *peerpb.OwnedService {
	inFlight, queued := a.upstream.InFlight()
	owned := a.loop.OwnedShards(service)
	shards := make([]uint32, 0, len(owned))
	for _, id := range owned {
		shards = append(shards, uint32(id))
	}
	return &peerpb.OwnedService{
		Organisation: service.Organisation(),
		Service:      service.Name(),
		Shards:       uint32(len(shards)),
		ShardIds:     shards,
		InFlight:     uint32(inFlight),
		Queued:       uint32(queued),
	}
}
