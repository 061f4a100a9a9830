package upstreamserver

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/wire"
)

// refusalReason is the value of the Briarwell-Refused header; empty means accepted.
type refusalReason string

const (
	refusedMalformed    refusalReason = "malformed"
	refusedEpoch        refusalReason = "epoch"
	refusedGrantExpired refusalReason = "grant-expired"
	refusedDeadline     refusalReason = "deadline"
	refusedOverloaded   refusalReason = "overloaded"
)

// fencingToken is what an order says of the ownership under which it was sent.
type fencingToken struct {
	hasShard           bool
	shard              shard.ID
	key                string
	epoch              identity.Epoch
	deadlineUnixMillis int64
}

// parseFencingToken reads the order's headers. It returns false if one is malformed.
func parseFencingToken(header *fasthttp.RequestHeader) (fencingToken, bool) {
	parsed := fencingToken{key: string(header.Peek(outcome.HeaderKey))}
	if text := header.Peek(outcome.HeaderShard); len(text) > 0 {
		number, err := strconv.ParseUint(string(text), 10, 32)
		if err != nil {
			return fencingToken{}, false
		}
		parsed.hasShard, parsed.shard = true, shard.ID(number)
	}
	if text := header.Peek(outcome.HeaderEpoch); len(text) > 0 {
		number, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return fencingToken{}, false
		}
		parsed.epoch = identity.Epoch(number)
	}
	if text := header.Peek(outcome.HeaderDeadline); len(text) > 0 {
		number, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil {
			return fencingToken{}, false
		}
		parsed.deadlineUnixMillis = number
	}
	return parsed, true
}

// grantStore holds the last grants received.
type grantStore struct {
	mutex             sync.RWMutex
	epochs            map[unit]identity.Epoch
	expiresUnixMillis int64
	// highestEpochs holds the highest epoch ever granted for each unit. A hot key is
	// never merged into its shard, so that an order for a key in here is not
	// checked against the shard, whose epoch may equal one of the key's.
	highestEpochs map[unit]identity.Epoch
}

// unit is a shard, or a hot key of it if hotKey is not "".
type unit struct {
	shard  shard.ID
	hotKey string
}

// replace sets the grants. A grant below the highest epoch of its unit is
// ignored, as a delayed one must not bring back an earlier ownership.
func (g *grantStore) replace(message wire.Grant) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.highestEpochs == nil {
		g.highestEpochs = make(map[unit]identity.Epoch)
	}
	g.epochs = make(map[unit]identity.Epoch, len(message.Shards))
	for _, granted := range message.Shards {
		u := unit{shard: granted.Shard, hotKey: granted.HotKey}
		g.highestEpochs[u] = max(granted.Epoch, g.highestEpochs[u])
		if granted.Epoch == g.highestEpochs[u] {
			g.epochs[u] = granted.Epoch
		}
	}
	g.expiresUnixMillis = message.ExpiresUnixMillis
}

// isActive tells whether a grant is in force.
func (g *grantStore) isActive(nowUnixMillis int64) bool {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return len(g.epochs) > 0 && nowUnixMillis < g.expiresUnixMillis
}

func (g *grantStore) check(order fencingToken, nowUnixMillis int64) refusalReason {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	epoch, ok := g.epochs[g.unitOf(order)]
	switch {
	case !order.hasShard || !ok || epoch != order.epoch:
		return refusedEpoch
	case nowUnixMillis >= g.expiresUnixMillis:
		return refusedGrantExpired
	default:
		return ""
	}
}

// unitOf returns the unit whose epoch counts for an order.
func (g *grantStore) unitOf(order fencingToken) unit {
	hot := unit{shard: order.shard, hotKey: order.key}
	if _, ok := g.highestEpochs[hot]; ok {
		return hot
	}
	return unit{shard: order.shard}
}

// checkFencing applies the checks of the fencing mode. It runs when an order
// arrives and again before its effect, as the process may have been frozen in
// between.
func (s *Server) checkFencing(order fencingToken) refusalReason {
	now := time.Now().UnixMilli()
	if s.settings.Fencing == upstream.FencingNone {
		return ""
	}
	if order.deadlineUnixMillis == 0 || now >= order.deadlineUnixMillis {
		return refusedDeadline
	}
	if s.settings.Fencing == upstream.FencingEpoch && !s.settings.Unkeyed {
		return s.grants.check(order, now)
	}
	return ""
}
