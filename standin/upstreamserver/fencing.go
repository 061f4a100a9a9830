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

// refusalReason is the value of the Briarwell-Refused header; "" means that the request
// is accepted.
type refusalReason string

const (
	refusedMalformed    refusalReason = "malformed"
	refusedEpoch        refusalReason = "epoch"
	refusedGrantExpired refusalReason = "grant-expired"
	refusedDeadline     refusalReason = "deadline"
	refusedOverloaded   refusalReason = "overloaded"
)

// fencingToken holds the headers of a request that identify the ownership under which it
// was sent, and its deadline. deadlineUnixMillis is 0 if the request has no deadline.
type fencingToken struct {
	hasShard           bool
	shard              shard.ID
	key                string
	epoch              identity.Epoch
	deadlineUnixMillis int64
}

// parseFencingToken parses the headers of a request. It returns false if one is
// malformed.
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

// grantStore holds the grants last received. The zero value holds none.
type grantStore struct {
	mutex             sync.RWMutex
	activeEpochs      map[unit]identity.Epoch
	expiresUnixMillis int64
	// highestEpochs holds the highest epoch ever granted for each unit. A hot key is never
	// merged back into its shard, so a request for a key with an entry here is not checked
	// against the shard, whose epoch may equal an epoch of the key.
	highestEpochs map[unit]identity.Epoch
}

// unit is a shard, or a hot key of the shard if hotKey is not "".
type unit struct {
	shard  shard.ID
	hotKey string
}

// replace replaces all grants by those of grant. An entry below the highest epoch of its
// unit is ignored, as a delayed grant must not restore an earlier ownership.
func (g *grantStore) replace(grant wire.Grant) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.highestEpochs == nil {
		g.highestEpochs = make(map[unit]identity.Epoch)
	}
	g.activeEpochs = make(map[unit]identity.Epoch, len(grant.Shards))
	for _, granted := range grant.Shards {
		u := unit{shard: granted.Shard, hotKey: granted.HotKey}
		g.highestEpochs[u] = max(granted.Epoch, g.highestEpochs[u])
		if granted.Epoch == g.highestEpochs[u] {
			g.activeEpochs[u] = granted.Epoch
		}
	}
	g.expiresUnixMillis = grant.ExpiresUnixMillis
}

// isActive reports whether the store holds a grant that has not expired.
func (g *grantStore) isActive(nowUnixMillis int64) bool {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return len(g.activeEpochs) > 0 && nowUnixMillis < g.expiresUnixMillis
}

// check returns why a request with token is refused, or "" if a grant covers it.
func (g *grantStore) check(token fencingToken, nowUnixMillis int64) refusalReason {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	epoch, ok := g.activeEpochs[g.unitOf(token)]
	switch {
	case !token.hasShard || !ok || epoch != token.epoch:
		return refusedEpoch
	case nowUnixMillis >= g.expiresUnixMillis:
		return refusedGrantExpired
	default:
		return ""
	}
}

// unitOf returns the unit against whose epoch a request is checked. The caller holds the
// mutex.
func (g *grantStore) unitOf(token fencingToken) unit {
	hotKeyUnit := unit{shard: token.shard, hotKey: token.key}
	if _, ok := g.highestEpochs[hotKeyUnit]; ok {
		return hotKeyUnit
	}
	return unit{shard: token.shard}
}

// checkFencing applies the checks of the fencing mode and returns why a request is
// refused, or "". It is called when a request arrives and again before the request takes
// effect, as the process may have been frozen in between.
func (s *Server) checkFencing(token fencingToken) refusalReason {
	now := time.Now().UnixMilli()
	if s.settings.Fencing == upstream.FencingNone {
		return ""
	}
	if token.deadlineUnixMillis == 0 || now >= token.deadlineUnixMillis {
		return refusedDeadline
	}
	if s.settings.Fencing == upstream.FencingEpoch && !s.settings.Unkeyed {
		return s.grants.check(token, now)
	}
	return ""
}
