// Package localupstream manages the upstream on the daemon's instance: its
// announcement, its admission gate, its grants and its probes.
package localupstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/router"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/announce"
	"briarwell.dev/core/upstream/httpupstream"
)

const (
	// probeInterval is the time between two reads of the upstream's load report.
	probeInterval = 250 * time.Millisecond
	// probeTimeout limits each of these reads.
	probeTimeout = 400 * time.Millisecond
	// maxUnresponsiveTime is the longest time in milliseconds without a response or
	// response data from the upstream, be it to a request or a probe. After it, the
	// daemon hands over its shards.
	maxUnresponsiveTime clock.Millis = 1000
)

// EventPoster delivers events to the node.
type EventPoster interface {
	Post(event node.Event)
}

// CatalogSource provides the configuration in force.
type CatalogSource interface {
	Catalog() template.Catalog
}

// Upstream manages the upstream on this instance. It has none until the first
// announcement. It is safe for concurrent use.
type Upstream struct {
	clock    clock.Clock
	localIP  net.IP
	events   EventPoster
	catalogs CatalogSource
	log      *log.Logger

	mutex        sync.Mutex
	current      *announcedUpstream
	announcement announce.Announcement
	up           bool
	// rejected is set if the newest announcement was rejected for weak fencing. The
	// same announcement may have been accepted before the configuration was known.
	rejected bool
	// suspect is set after a failed grant or probe, until the upstream answers a probe
	// or announces itself. No grants are sent in the meantime, so that the last grant
	// of a frozen upstream expires soon.
	suspect bool
	// lastGrantEnd is the latest expiry of the grants that were sent, whether or not
	// the upstream answered.
	lastGrantEnd clock.Millis
}

// announcedUpstream holds the client and the admission gate of an announcement.
type announcedUpstream struct {
	service identity.Service
	fencing upstream.Fencing
	client  *activityTracker
	gate    *admission.Gate
	// lost is cancelled by cancelLost when the upstream is considered down.
	lost       context.Context
	cancelLost context.CancelFunc
}

// RequestReleaser stops counting requests of unknown outcome when the upstream of
// a service can't act on them any more. router.OwnerHandler implements it.
type RequestReleaser interface {
	ReleaseUnresolved(service identity.Service)
}

// New returns an Upstream whose connections bind to localIP.
func New(c clock.Clock, localIP net.IP, events EventPoster, catalogs CatalogSource, logger *log.Logger) *Upstream {
	return &Upstream{clock: c, localIP: localIP, events: events, catalogs: catalogs, log: logger}
}

// LocalUpstream returns the upstream of a service, or false if none is announced.
func (u *Upstream) LocalUpstream(service identity.Service) (router.LocalUpstream, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.current == nil || u.current.service != service {
		return router.LocalUpstream{}, false
	}
	return router.LocalUpstream{Client: u.current.client, Gate: u.current.gate, Lost: u.current.lost}, true
}

// InFlight returns the numbers of requests in flight and of requests that wait for
// a slot.
func (u *Upstream) InFlight() (inFlight, queued int) {
	current := u.announced()
	if current == nil {
		return 0, 0
	}
	return current.gate.InFlight(), current.gate.Queued()
}

// BusySlotMillis returns the slot-milliseconds used since the current announcement was
// first received, or 0 if no upstream is announced.
func (u *Upstream) BusySlotMillis() uint64 {
	current := u.announced()
	if current == nil {
		return 0
	}
	return current.gate.BusySlotMillis()
}

// Service returns the announced service, or false if no upstream is announced.
func (u *Upstream) Service() (identity.Service, bool) {
	current := u.announced()
	if current == nil {
		return identity.Service{}, false
	}
	return current.service, true
}

// announced returns the upstream that was last announced, or nil.
func (u *Upstream) announced() *announcedUpstream {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.current
}

// Announce processes the body of an announcement. It returns an
// *announce.ValidationError or a *FencingError if the announcement is not accepted.
func (u *Upstream) Announce(body []byte) error {
	next, err := announce.ParseAnnouncement(body)
	if err != nil {
		return err
	}
	service := identity.NewService(next.Organisation, next.Service)
	rules, _ := u.catalogs.Catalog().Service(service.String())
	if isWeaker(next.Fencing, rules.Fencing()) {
		u.rejectAnnouncement()
		return &FencingError{service: service, announced: next.Fencing, required: rules.Fencing()}
	}
	if err := u.applyAnnouncement(next, service, rules); err != nil {
		return err
	}
	u.events.Post(node.NewUpstreamAnnounced(membership.NewAnnouncement(
		service, next.Slots, next.Connections, next.Fencing, clock.Millis(next.ColdStartMillis))))
	u.markUp()
	return nil
}

// applyAnnouncement creates the client and the gate for a new announcement. It keeps
// the current ones if the announcement is a repetition.
func (u *Upstream) applyAnnouncement(next announce.Announcement, service identity.Service, rules template.ServiceRules) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.rejected = false
	settings := admission.Settings{
		Slots:      next.Slots,
		QueueLimit: rules.QueueLimit(),
		ColdStart:  clock.Millis(next.ColdStartMillis),
		FixedLimit: true,
	}
	if u.current != nil && u.announcement == next {
		if !u.up {
			u.current.gate.BeginColdStart()
		}
		return nil
	}
	client, err := httpupstream.New(next.Address, httpupstream.MaxConnections(next.Connections), httpupstream.LocalIP(u.localIP))
	if err != nil {
		return err
	}
	if u.current != nil {
		u.current.client.Close()
	}
	u.current = &announcedUpstream{
		service: service,
		fencing: next.Fencing,
		client:  newActivityTracker(client, u.clock),
		gate:    admission.NewGate(u.clock, settings),
	}
	u.current.lost, u.current.cancelLost = context.WithCancel(context.Background())
	u.announcement = next
	u.log.Info().Str("service", service.String()).Str("address", next.Address).Int("slots", next.Slots).
		Str("fencing", string(next.Fencing)).Msg("upstreamAnnounced")
	return nil
}

// Probe reads the load report of the upstream at intervals until ctx ends. It posts
// an event to the node when the upstream goes down or comes back, and calls releaser
// when the last grant of an upstream that is down has expired.
func (u *Upstream) Probe(ctx context.Context, releaser RequestReleaser) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current := u.announced(); current != nil {
			u.probe(ctx, current)
			u.releaseUnresolved(current, releaser)
		}
	}
}

// probe reads one load report. A response of any status shows that the upstream is
// alive; the report itself may lag or mislead.
func (u *Upstream) probe(ctx context.Context, current *announcedUpstream) {
	probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := current.client.Load(probeContext)
	var controlError *httpupstream.ControlError
	answered := err == nil || errors.As(err, &controlError) && controlError.Status() != 0
	if err == nil {
		current.gate.UpdateLoad(load)
	}
	if answered {
		current.client.recordActivity()
		u.markUp()
		return
	}
	if ctx.Err() != nil {
		return
	}
	u.setSuspect(true)
	if u.clock.Now()-current.client.lastActivity() >= maxUnresponsiveTime {
		u.markDown(err)
	}
}

// releaseUnresolved calls releaser if the upstream is down, its last grant has
// expired and it checks grants, so that it can't act on requests any more.
func (u *Upstream) releaseUnresolved(current *announcedUpstream, releaser RequestReleaser) {
	u.mutex.Lock()
	grantExpired := !u.up && u.current == current && u.clock.Now() > u.lastGrantEnd
	u.mutex.Unlock()
	if grantExpired && current.fencing == upstream.FencingEpoch {
		releaser.ReleaseUnresolved(current.service)
	}
}

// markUp records that the upstream responds. An upstream whose newest announcement was
// rejected stays down.
func (u *Upstream) markUp() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.suspect = false
	if u.up || u.rejected {
		return
	}
	u.up = true
	if u.current.lost.Err() != nil {
		u.current.lost, u.current.cancelLost = context.WithCancel(context.Background())
	}
	u.events.Post(node.UpstreamUp{})
	u.log.Info().Msg("upstreamUp")
}

// markDown cancels the requests in flight and reports the loss of the upstream to
// the node, which then hands over the shards.
func (u *Upstream) markDown(cause error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.up {
		return
	}
	u.up = false
	u.current.cancelLost()
	u.events.Post(node.UpstreamDown{})
	u.log.Warn().Err(cause).Msg("upstreamDown")
}

// rejectAnnouncement marks the upstream as down until it announces stronger fencing.
func (u *Upstream) rejectAnnouncement() {
	u.mutex.Lock()
	u.rejected = true
	u.mutex.Unlock()
	u.markDown(errWeakFencing)
}

func (u *Upstream) setSuspect(suspect bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.suspect = suspect
}

// startGrant records the end of a grant that is about to be sent. It returns false
// if no grant may be sent now.
func (u *Upstream) startGrant(end clock.Millis) (*announcedUpstream, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.current == nil || !u.up || u.suspect {
		return nil, false
	}
	u.lastGrantEnd = max(u.lastGrantEnd, end)
	return u.current, true
}

// errWeakFencing is the cause that is logged when an announcement is rejected.
var errWeakFencing = errors.New("announced fencing is weaker than the service template requires")

// isWeaker reports whether the announced fencing checks less than the required one.
func isWeaker(announced, required upstream.Fencing) bool {
	return fencingStrength(announced) < fencingStrength(required)
}

func fencingStrength(f upstream.Fencing) int {
	switch f {
	case upstream.FencingEpoch:
		return 2
	case upstream.FencingDeadline:
		return 1
	case upstream.FencingNone:
		return 0
	default:
		return 0
	}
}

// FencingError is the error for an upstream whose fencing is weaker than the template
// of its service requires.
type FencingError struct {
	service   identity.Service
	announced upstream.Fencing
	required  upstream.Fencing
}

// Service returns the service that the upstream announced.
func (e *FencingError) Service() identity.Service { return e.service }

func (e *FencingError) Error() string {
	return "upstream of " + e.service.String() + " announces fencing " + string(e.announced) +
		", its template requires " + string(e.required)
}
