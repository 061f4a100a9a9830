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

// maxCachedKeys bounds the number of keys whose shard is cached, and that of the hot keys
// with a cached owner.
const maxCachedKeys = 100_000

type serviceKey struct {
	service identity.Service
	key     string
}

type serviceShard struct {
	service identity.Service
	shardID shard.ID
}

// ownerInfo is what responses said about the owner of a shard or a hot key. Each field is
// zero if unknown.
type ownerInfo struct {
	address string
	epoch   identity.Epoch
	stamp   string
}

// ownerCache holds the owner and the newest stamp of each shard. Callers do not know the
// number of shards of a service and can't compute the shard of a key, so the cache also
// holds the shard of each key. The zero value is ready for use.
type ownerCache struct {
	mu          sync.Mutex
	shardIDs    map[serviceKey]shard.ID
	shardOwners map[serviceShard]ownerInfo
	// hotKeyOwners holds the owners of hot keys, which are owned separately from their
	// shard.
	hotKeyOwners map[serviceKey]ownerInfo
}

// address returns the HTTP address of the key's owner, or "" if unknown.
func (o *ownerCache) address(service identity.Service, key string) string {
	return o.lookup(service, key).address
}

// stamp returns the newest stamp of the key's shard, or of the key itself if it is hot.
// It returns "" if the stamp is unknown.
func (o *ownerCache) stamp(service identity.Service, key string) string {
	return o.lookup(service, key).stamp
}

func (o *ownerCache) lookup(service identity.Service, key string) ownerInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	if info, ok := o.hotKeyOwners[serviceKey{service: service, key: key}]; ok {
		return info
	}
	id, ok := o.shardIDs[serviceKey{service: service, key: key}]
	if !ok {
		return ownerInfo{}
	}
	return o.shardOwners[serviceShard{service: service, shardID: id}]
}

// update records the owner and the stamp from the headers of a response to a request for
// the key, unless the headers belong to an older epoch.
func (o *ownerCache) update(service identity.Service, key string, headers []upstream.Header) {
	shardNumber, err := strconv.ParseUint(headerValue(headers, outcome.HeaderShard), 10, 32)
	if err != nil || key == "" {
		return
	}
	epoch, _ := strconv.ParseUint(headerValue(headers, outcome.HeaderEpoch), 10, 64)
	shardRef := serviceShard{service: service, shardID: shard.ID(shardNumber)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shardIDs == nil {
		o.shardIDs, o.shardOwners = make(map[serviceKey]shard.ID), make(map[serviceShard]ownerInfo)
		o.hotKeyOwners = make(map[serviceKey]ownerInfo)
	}
	keyRef := serviceKey{service: service, key: key}
	o.storeShardID(keyRef, shardRef.shardID)
	info, isHot := o.hotKeyOwners[keyRef]
	if isHot || dedupe.IsHotKeyStamp(headerValue(headers, outcome.HeaderStamp)) {
		if isHot || len(o.hotKeyOwners) < maxCachedKeys {
			o.hotKeyOwners[keyRef] = info.updated(identity.Epoch(epoch), headers)
		}
		return
	}
	o.shardOwners[shardRef] = o.shardOwners[shardRef].updated(identity.Epoch(epoch), headers)
}

// updated returns a copy of o with the data of a response that has the given epoch and
// headers, or o itself if the epoch is older. A response without a stamp may be that of a
// hot key, whose epochs are counted separately, so it does not raise the epoch.
func (o ownerInfo) updated(epoch identity.Epoch, headers []upstream.Header) ownerInfo {
	if epoch < o.epoch {
		return o
	}
	stamp := headerValue(headers, outcome.HeaderStamp)
	switch {
	case epoch > o.epoch && stamp != "":
		o = ownerInfo{epoch: epoch}
	case epoch > o.epoch:
		o = ownerInfo{epoch: o.epoch}
	}
	if address := headerValue(headers, outcome.HeaderOwner); address != "" {
		o.address = address
	}
	if stamp != "" {
		o.stamp = newerStamp(o.stamp, stamp)
	}
	return o
}

// newerStamp returns the stamp with the higher number of seconds. Both must have the same
// epoch. It is needed because responses may arrive out of order.
func newerStamp(a, b string) string {
	if len(a) > len(b) || (len(a) == len(b) && a > b) {
		return a
	}
	return b
}

// storeShardID caches the shard of a key. If the cache is full, it evicts an arbitrary
// other key.
func (o *ownerCache) storeShardID(key serviceKey, id shard.ID) {
	if _, ok := o.shardIDs[key]; !ok && len(o.shardIDs) >= maxCachedKeys {
		for other := range o.shardIDs {
			delete(o.shardIDs, other)
			break
		}
	}
	o.shardIDs[key] = id
}

// removeAddress removes the address of a daemon from all shards that it owns, after it
// did not respond or could not serve a request. It keeps the stamps, and the owners of
// hot keys.
func (o *ownerCache) removeAddress(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for ref, info := range o.shardOwners {
		if info.address == address {
			info.address = ""
			o.shardOwners[ref] = info
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
