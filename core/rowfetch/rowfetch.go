// Package rowfetch decides from which peer an instance fetches a large row. Load pattern: the operator
// writes a manifest of thousands of routes, and all instances need it at once over slow links. Peers
// offer the row in their small messages; an instance fetches it once, from one peer at a time. A
// transfer that takes long does not delay other messages, and one that fails says nothing about
// whether the peer is alive.
package rowfetch

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
)

const (
	// MinBytes is the size in bytes from which a row is offered instead of sent. It takes 50 ms on
	// a link of 10 Mbit/s.
	MinBytes = 64 << 10
	// failurePause is the time in milliseconds for which a peer is not asked again after a failed
	// transfer. Peers repeat their offers in each sync round, so that one that has ended is
	// forgotten meanwhile.
	failurePause clock.Millis = 2000
	// maxOffers bounds the offers that are kept of one row.
	maxOffers = 8
)

// Offer is the statement of a peer that it has a row.
type Offer struct {
	Key   string
	Stamp era.Stamp
	// From is the address of the peer.
	From string
	// NotBefore is the time in milliseconds before which the row is not fetched, as it may come
	// from the store.
	NotBefore clock.Millis
}

// Queue holds the offers of the rows that this instance lacks. The zero value is empty. It is not
// safe for concurrent use.
type Queue struct {
	offers   map[string][]Offer
	fetching bool
	// failedAt is the time of the latest failed transfer by address.
	failedAt map[string]clock.Millis
}

// Add records an offer. It replaces an older one of the same peer for the same row.
func (q *Queue) Add(offer Offer) {
	if q.offers == nil {
		q.offers, q.failedAt = make(map[string][]Offer), make(map[string]clock.Millis)
	}
	offers := q.offers[offer.Key]
	if i := slices.IndexFunc(offers, func(o Offer) bool { return o.From == offer.From }); i >= 0 {
		offer.NotBefore = min(offer.NotBefore, offers[i].NotBefore)
		offers = slices.Delete(offers, i, i+1)
	}
	if len(offers) >= maxOffers {
		offers = slices.Delete(offers, 0, 1)
	}
	q.offers[offer.Key] = append(offers, offer)
}

// Next returns the fetch to start at now, if any: the newest content that is offered of a row. It
// drops the offers that the stamp which held returns covers. Done must be called
// when the fetch ends; there is one at a time.
func (q *Queue) Next(now clock.Millis, held func(key string) era.Stamp) (Offer, bool) {
	var best Offer
	for key, offers := range q.offers {
		stamp := held(key)
		offers = slices.DeleteFunc(offers, func(o Offer) bool { return stamp.Covers(o.Stamp) })
		if len(offers) == 0 {
			delete(q.offers, key)
			continue
		}
		q.offers[key] = offers
		for _, o := range offers {
			failedAt, failed := q.failedAt[o.From]
			if (o.Stamp.Origin().After(best.Stamp.Origin()) || best.Key == "") && now >= o.NotBefore && (!failed || now-failedAt >= failurePause) {
				best = o
			}
		}
	}
	if q.fetching || best.Key == "" {
		return Offer{}, false
	}
	q.fetching = true
	return best, true
}

// Done records the end of a fetch at now. A failed one is tried with another peer first.
func (q *Queue) Done(now clock.Millis, offer Offer, succeeded bool) {
	q.fetching = false
	if succeeded {
		delete(q.failedAt, offer.From)
		return
	}
	q.failedAt[offer.From] = now
	if len(q.failedAt) > maxOffers {
		for address, failedAt := range q.failedAt {
			if now-failedAt >= failurePause {
				delete(q.failedAt, address)
			}
		}
	}
}

// maxServedBytes bounds the bytes of the transfers that a peer serves at once. They take 1.7 s on a
// link of 10 Mbit/s.
const maxServedBytes = 2 << 20

// Budget decides whether a peer serves another transfer. Load pattern: hundreds of instances fetch a
// large row from the same peer; if all transfers share its link, none ends in time. The zero value
// serves none yet. It is not safe for concurrent use.
type Budget struct{ served int }

// Start reports whether a transfer of the size in bytes may start. Done must then be called at its
// end. One transfer is allowed at any size.
func (b *Budget) Start(size int) bool {
	if b.served > 0 && b.served+size > maxServedBytes {
		return false
	}
	b.served += size
	return true
}

// Done records the end of a transfer of the size in bytes.
func (b *Budget) Done(size int) { b.served -= size }
