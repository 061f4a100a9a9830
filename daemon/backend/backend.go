// Package backend holds the upstream of the daemon's instance: its
// announcement, its admission gate, its grants and its probes.
package backend

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
	// probeTimeout bounds one read.
	probeTimeout = 400 * time.Millisecond
	// silenceLimit is how long in milliseconds an upstream may show no progress
	// on any order or probe before the daemon hands over its shards.
	silenceLimit clock.Millis = 1000
)

// Events takes events for the node.
type Events interface {
	Post(event node.Event)
}

// Catalogs returns the configuration in force.
type Catalogs interface {
	Catalog() template.Catalog
}

// Upstream is the upstream of this instance. The zero value has none. It is
// safe for concurrent use.
type Upstream struct {
	clock    clock.Clock
	localIP  net.IP
	events   Events
	catalogs Catalogs
	log      *log.Logger

	mutex    sync.Mutex
	current  *attached
	announce announce.Announcement
	up       bool
	// rejected tells that the newest announcement was refused for its fencing.
	// It may have been accepted before the configuration was known.
	rejected bool
	// suspect tells that a grant or probe is unanswered. No grants are sent
	// then, so that the last one of a frozen upstream ends soon.
	suspect bool
	// grantEnd is the end of the last grant that was sent, answered or not.
	grantEnd clock.Millis
}

// attached is an announced upstream.
type attached struct {
	service identity.Service
	fencing upstream.Fencing
	client  *progress
	gate    *admission.Gate
	// lost is done, by lose, while the upstream counts as down.
	lost context.Context
	lose context.CancelFunc
}

// Orders is told when the upstream can't act on orders any more; router.Owner
// implements it.
type Orders interface {
	ReleaseUnresolved(service identity.Service)
}

// New returns the holder of an upstream whose connections bind to localIP.
func New(c clock.Clock, localIP net.IP, events Events, catalogs Catalogs, logger *log.Logger) *Upstream {
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

// InFlight returns the orders in flight and the requests that wait.
func (u *Upstream) InFlight() (inFlight, queued int) {
	current := u.attached()
	if current == nil {
		return 0, 0
	}
	return current.gate.InFlight(), current.gate.Queued()
}

// BusySlotMillis returns the slot-milliseconds used so far.
func (u *Upstream) BusySlotMillis() uint64 {
	current := u.attached()
	if current == nil {
		return 0
	}
	return current.gate.BusySlotMillis()
}

// Service returns the announced service, or false.
func (u *Upstream) Service() (identity.Service, bool) {
	current := u.attached()
	if current == nil {
		return identity.Service{}, false
	}
	return current.service, true
}

func (u *Upstream) attached() *attached {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.current
}

// Announce takes an announcement. It returns an *announce.Error or a
// *FencingError if the announcement is not accepted.
func (u *Upstream) Announce(body []byte) error {
	next, err := announce.ParseAnnouncement(body)
	if err != nil {
		return err
	}
	service := identity.NewService(next.Organisation, next.Service)
	rules, _ := u.catalogs.Catalog().Service(service.String())
	if weaker(next.Fencing, rules.Fencing()) {
		u.reject()
		return &FencingError{service: service, announced: next.Fencing, required: rules.Fencing()}
	}
	if err := u.attach(next, service, rules); err != nil {
		return err
	}
	u.events.Post(node.NewUpstreamAnnounced(membership.NewAnnouncement(
		service, next.Slots, next.Connections, next.Fencing, clock.Millis(next.ColdStartMillis))))
	u.markUp()
	return nil
}

// attach makes a client for a new announcement, or leaves the current one if
// the announcement repeats it.
func (u *Upstream) attach(next announce.Announcement, service identity.Service, rules template.ServiceRules) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.rejected = false
	settings := admission.Settings{
		Slots:      next.Slots,
		QueueLimit: rules.QueueLimit(),
		ColdStart:  clock.Millis(next.ColdStartMillis),
	}
	if u.current != nil && u.announce == next {
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
	u.current = &attached{
		service: service,
		fencing: next.Fencing,
		client:  newProgress(client, u.clock),
		gate:    admission.NewGate(u.clock, settings),
	}
	u.current.lost, u.current.lose = context.WithCancel(context.Background())
	u.announce = next
	u.log.Info().Str("service", service.String()).Str("address", next.Address).Int("slots", next.Slots).
		Str("fencing", string(next.Fencing)).Msg("upstreamAnnounced")
	return nil
}

// Probe reads the upstream's load report until ctx ends, and tells the node
// when the upstream goes down or comes back, and orders when the last grant of
// an upstream that is down has expired.
func (u *Upstream) Probe(ctx context.Context, orders Orders) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current := u.attached(); current != nil {
			u.probe(ctx, current)
			u.settle(current, orders)
		}
	}
}

// probe reads one report. An answer of any kind shows that the upstream is
// alive; the report itself may lag or mislead.
func (u *Upstream) probe(ctx context.Context, current *attached) {
	probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := current.client.Load(probeContext)
	var failed *httpupstream.ControlError
	answered := err == nil || errors.As(err, &failed) && failed.Status() != 0
	if err == nil {
		current.gate.UpdateLoad(load)
	}
	if answered {
		current.client.touch()
		u.markUp()
		return
	}
	if ctx.Err() != nil {
		return
	}
	u.setSuspect(true)
	if u.clock.Now()-current.client.last() >= silenceLimit {
		u.markDown(err)
	}
}

// settle tells orders that an upstream which checks grants can't act any more.
func (u *Upstream) settle(current *attached, orders Orders) {
	u.mutex.Lock()
	gone := !u.up && u.current == current && u.clock.Now() > u.grantEnd
	u.mutex.Unlock()
	if gone && current.fencing == upstream.FencingEpoch {
		orders.ReleaseUnresolved(current.service)
	}
}

func (u *Upstream) markUp() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.suspect = false
	if u.up || u.rejected {
		return
	}
	u.up = true
	if u.current.lost.Err() != nil {
		u.current.lost, u.current.lose = context.WithCancel(context.Background())
	}
	u.events.Post(node.UpstreamUp{})
	u.log.Info().Msg("upstreamUp")
}

// markDown gives up the orders in flight and lets the node hand over.
func (u *Upstream) markDown(cause error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.up {
		return
	}
	u.up = false
	u.current.lose()
	u.events.Post(node.UpstreamDown{})
	u.log.Warn().Err(cause).Msg("upstreamDown")
}

// reject stops the use of an upstream until it announces stronger fencing.
func (u *Upstream) reject() {
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

// startGrant notes the end of a grant that is about to be sent. It returns
// false if none may be sent now.
func (u *Upstream) startGrant(end clock.Millis) (*attached, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.current == nil || !u.up || u.suspect {
		return nil, false
	}
	u.grantEnd = max(u.grantEnd, end)
	return u.current, true
}

// errWeakFencing is the cause of a rejected upstream in the log.
var errWeakFencing = errors.New("upstream checks less than its template requires")

// weaker tells whether an upstream checks less than required.
func weaker(announced, required upstream.Fencing) bool {
	return strength(announced) < strength(required)
}

func strength(f upstream.Fencing) int {
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

// FencingError reports an upstream that checks less than its service's
// template requires.
type FencingError struct {
	service   identity.Service
	announced upstream.Fencing
	required  upstream.Fencing
}

// Service returns the announced service.
func (e *FencingError) Service() identity.Service { return e.service }

func (e *FencingError) Error() string {
	return "upstream of " + e.service.String() + " announces fencing " + string(e.announced) +
		", its template requires " + string(e.required)
}
