// Package evacuation decides which requests the upstream of an instance gets while the
// instance's failure domain is out of use.
package evacuation

import "briarwell.dev/core/clock"

// closeMargin is the time in milliseconds before the bound of an evacuation at which the upstream
// gets no more requests with a key, counted from when its daemon learns of the evacuation. A
// daemon that does not watch the table learns of a row up to 0.8 s after those that do, and these
// notice after 1.1 s that the table has stopped answering.
const closeMargin clock.Millis = 2000

// Domain is the state of the failure domain of an instance. The zero value is in use. It is not
// safe for concurrent use.
//
// Load pattern: a whole failure domain leaves while its callers and others keep sending. The keys
// of its upstreams take one to three seconds to move, during which no other upstream may run
// requests for them. So requests without a key are refused from the start, since any other
// upstream can run them, and those with a key only shortly before no request may reach the
// upstream any more.
type Domain struct {
	outOfUse   bool
	closedFrom clock.Millis
}

// TakeOutOfUse records that the daemon learns at now that the domain is out of use. Within is the
// time in milliseconds, from when that was decided, after which no request may reach the
// upstream. If ageKnown is false, it may have been decided long ago. There is no effect if the
// domain is out of use already.
func (d *Domain) TakeOutOfUse(now, within clock.Millis, ageKnown bool) {
	if d.outOfUse {
		return
	}
	*d = Domain{outOfUse: true, closedFrom: now}
	if ageKnown {
		d.closedFrom = now + max(within-closeMargin, 0)
	}
}

// Return records that the daemon learns that the domain is in use again.
func (d *Domain) Return() { *d = Domain{} }

// OutOfUse reports whether the domain is out of use. The upstream then gets no requests without a
// key and may own no keys.
func (d *Domain) OutOfUse() bool { return d.outOfUse }

// Closed reports whether the upstream gets no requests at all at now.
func (d *Domain) Closed(now clock.Millis) bool { return d.outOfUse && now >= d.closedFrom }
