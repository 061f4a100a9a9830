package client

import (
	"strconv"
	"strings"
	"sync"

	"briarwell.dev/core/dedupe"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/upstream"
)

// maxCachedKeys bounds the keys whose shard is remembered.
const maxCachedKeys = 100_000

type serviceKey struct {
	service identity.Service
	key     string
}

type serviceShard struct {
	service identity.Service
	shardID shard.ID
}

// ownerInfo is what an answer said of a shard.
type ownerInfo struct {
	address string
	epoch   identity.Epoch
	stamp   string
}

// ownerCache remembers the owner and the newest stamp of each shard. The number of
// shards of a service isn't known to callers, so the shard of each key is
// remembered. The zero value is ready.
type ownerCache struct {
	mu          sync.Mutex
	shardIDs    map[serviceKey]shard.ID
	shardOwners map[serviceShard]ownerInfo
	// hotKeyOwners holds the keys whose answers said that they are owned apart.
	hotKeyOwners map[serviceKey]ownerInfo
}

// address returns the owner of the key, "" if unknown.
func (o *ownerCache) address(service identity.Service, key string) string {
	return o.lookup(service, key).address
}

// stamp returns the newest stamp of the key's shard, "" if unknown.
func (o *ownerCache) stamp(service identity.Service, key string) string {
	return o.lookup(service, key).stamp
}

func (o *ownerCache) lookup(service identity.Service, key string) ownerInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.hotKeyOwners[serviceKey{service: service, key: key}]; ok {
		return known
	}
	id, ok := o.shardIDs[serviceKey{service: service, key: key}]
	if !ok {
		return ownerInfo{}
	}
	return o.shardOwners[serviceShard{service: service, shardID: id}]
}

// update takes the headers of an answer, unless they are of an older epoch.
func (o *ownerCache) update(service identity.Service, key string, headers []upstream.Header) {
	number, err := strconv.ParseUint(headerValue(headers, outcome.HeaderShard), 10, 32)
	if err != nil || key == "" {
		return
	}
	epoch, _ := strconv.ParseUint(headerValue(headers, outcome.HeaderEpoch), 10, 64)
	name := serviceShard{service: service, shardID: shard.ID(number)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shardIDs == nil {
		o.shardIDs, o.shardOwners = make(map[serviceKey]shard.ID), make(map[serviceShard]ownerInfo)
		o.hotKeyOwners = make(map[serviceKey]ownerInfo)
	}
	hotName := serviceKey{service: service, key: key}
	o.storeShardID(hotName, name.shardID)
	known, isHot := o.hotKeyOwners[hotName]
	if isHot || dedupe.IsHotKeyStamp(headerValue(headers, outcome.HeaderStamp)) {
		if isHot || len(o.hotKeyOwners) < maxCachedKeys {
			o.hotKeyOwners[hotName] = known.updated(identity.Epoch(epoch), headers)
		}
		return
	}
	o.shardOwners[name] = o.shardOwners[name].updated(identity.Epoch(epoch), headers)
}

// updated returns what is known after an answer. An answer without a stamp may be
// that of a hot key, whose epochs are counted apart: it does not raise the epoch.
func (k ownerInfo) updated(epoch identity.Epoch, headers []upstream.Header) ownerInfo {
	if epoch < k.epoch {
		return k
	}
	stamp := headerValue(headers, outcome.HeaderStamp)
	switch {
	case epoch > k.epoch && stamp != "":
		k = ownerInfo{epoch: epoch}
	case epoch > k.epoch:
		k = ownerInfo{epoch: k.epoch}
	}
	if owner := headerValue(headers, outcome.HeaderOwner); owner != "" {
		k.address = owner
	}
	if stamp != "" {
		k.stamp = newerStamp(k.stamp, stamp)
	}
	return k
}

// newerStamp returns the stamp with more seconds; both are of one epoch. Answers may
// arrive out of order.
func newerStamp(a, b string) string {
	if len(a) > len(b) || (len(a) == len(b) && a > b) {
		return a
	}
	return b
}

// storeShardID replaces any other key when there are too many.
func (o *ownerCache) storeShardID(name serviceKey, id shard.ID) {
	if _, ok := o.shardIDs[name]; !ok && len(o.shardIDs) >= maxCachedKeys {
		for other := range o.shardIDs {
			delete(o.shardIDs, other)
			break
		}
	}
	o.shardIDs[name] = id
}

// removeAddress drops an owner that doesn't answer. The stamps stay.
func (o *ownerCache) removeAddress(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, known := range o.shardOwners {
		if known.address == address {
			known.address = ""
			o.shardOwners[name] = known
		}
	}
}

func headerValue(headers []upstream.Header, name string) string {
	for _, header := range headers {
		if strings.EqualFold(header.Name(), name) {
			return header.Value()
		}
	}
	return ""
}
