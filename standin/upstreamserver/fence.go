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

// refusal is the value of the Briarwell-Refused header; empty means accepted.
type refusal string

const (
	refusedMalformed refusal = "malformed"
	refusedEpoch     refusal = "epoch"
	refusedGrant     refusal = "grant-expired"
	refusedDeadline  refusal = "deadline"
	refusedLoad      refusal = "overloaded"
)

// fence is what an order says of the ownership under which it was sent.
type fence struct {
	sharded            bool
	shard              shard.ID
	epoch              identity.Epoch
	deadlineUnixMillis int64
}

// parseFence reads the order's headers. It returns false if one is malformed.
func parseFence(header *fasthttp.RequestHeader) (fence, bool) {
	var parsed fence
	if text := header.Peek(outcome.HeaderShard); len(text) > 0 {
		number, err := strconv.ParseUint(string(text), 10, 32)
		if err != nil {
			return fence{}, false
		}
		parsed.sharded, parsed.shard = true, shard.ID(number)
	}
	if text := header.Peek(outcome.HeaderEpoch); len(text) > 0 {
		number, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return fence{}, false
		}
		parsed.epoch = identity.Epoch(number)
	}
	if text := header.Peek(outcome.HeaderDeadline); len(text) > 0 {
		number, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil {
			return fence{}, false
		}
		parsed.deadlineUnixMillis = number
	}
	return parsed, true
}

// grants holds the last grants received.
type grants struct {
	mutex             sync.RWMutex
	epochs            map[shard.ID]identity.Epoch
	expiresUnixMillis int64
	// highest holds the highest epoch ever granted for each shard.
	highest map[shard.ID]identity.Epoch
}

// replace sets the grants. A grant below the highest epoch of its shard is
// ignored, as a delayed one must not bring back an earlier ownership.
func (g *grants) replace(message wire.Grants) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.highest == nil {
		g.highest = make(map[shard.ID]identity.Epoch)
	}
	g.epochs = make(map[shard.ID]identity.Epoch, len(message.Shards))
	for _, granted := range message.Shards {
		g.highest[granted.Shard] = max(granted.Epoch, g.highest[granted.Shard])
		if granted.Epoch == g.highest[granted.Shard] {
			g.epochs[granted.Shard] = granted.Epoch
		}
	}
	g.expiresUnixMillis = message.ExpiresUnixMillis
}

// active tells whether a grant is in force.
func (g *grants) active(nowUnixMillis int64) bool {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return len(g.epochs) > 0 && nowUnixMillis < g.expiresUnixMillis
}

func (g *grants) check(order fence, nowUnixMillis int64) refusal {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	epoch, ok := g.epochs[order.shard]
	switch {
	case !order.sharded || !ok || epoch != order.epoch:
		return refusedEpoch
	case nowUnixMillis >= g.expiresUnixMillis:
		return refusedGrant
	default:
		return ""
	}
}

// checkFence applies the checks of the fencing mode. It runs when an order
// arrives and again before its effect, as the process may have been frozen in
// between.
func (s *Server) checkFence(order fence) refusal {
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
