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

// maxKeys bounds the keys whose shard is remembered.
const maxKeys = 100_000

type keyName struct {
	service identity.Service
	key     string
}

type shardName struct {
	service identity.Service
	id      shard.ID
}

// knowledge is what an answer said of a shard.
type knowledge struct {
	owner string
	epoch identity.Epoch
	stamp string
}

// owners remembers the owner and the newest stamp of each shard. The number of
// shards of a service isn't known to callers, so the shard of each key is
// remembered. The zero value is ready.
type owners struct {
	mu     sync.Mutex
	keys   map[keyName]shard.ID
	shards map[shardName]knowledge
	// hot holds the keys whose answers said that they are owned apart.
	hot map[keyName]knowledge
}

// address returns the owner of the key, "" if unknown.
func (o *owners) address(service identity.Service, key string) string {
	return o.find(service, key).owner
}

// stamp returns the newest stamp of the key's shard, "" if unknown.
func (o *owners) stamp(service identity.Service, key string) string {
	return o.find(service, key).stamp
}

func (o *owners) find(service identity.Service, key string) knowledge {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.hot[keyName{service: service, key: key}]; ok {
		return known
	}
	id, ok := o.keys[keyName{service: service, key: key}]
	if !ok {
		return knowledge{}
	}
	return o.shards[shardName{service: service, id: id}]
}

// learn takes the headers of an answer, unless they are of an older epoch.
func (o *owners) learn(service identity.Service, key string, headers []upstream.Header) {
	number, err := strconv.ParseUint(headerOf(headers, outcome.HeaderShard), 10, 32)
	if err != nil || key == "" {
		return
	}
	epoch, _ := strconv.ParseUint(headerOf(headers, outcome.HeaderEpoch), 10, 64)
	name := shardName{service: service, id: shard.ID(number)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.keys == nil {
		o.keys, o.shards = make(map[keyName]shard.ID), make(map[shardName]knowledge)
		o.hot = make(map[keyName]knowledge)
	}
	hotName := keyName{service: service, key: key}
	o.remember(hotName, name.id)
	known, isHot := o.hot[hotName]
	if isHot || dedupe.IsHotKeyStamp(headerOf(headers, outcome.HeaderStamp)) {
		if isHot || len(o.hot) < maxKeys {
			o.hot[hotName] = known.updated(identity.Epoch(epoch), headers)
		}
		return
	}
	o.shards[name] = o.shards[name].updated(identity.Epoch(epoch), headers)
}

// updated returns what is known after an answer. An answer without a stamp may be
// that of a hot key, whose epochs are counted apart: it does not raise the epoch.
func (k knowledge) updated(epoch identity.Epoch, headers []upstream.Header) knowledge {
	if epoch < k.epoch {
		return k
	}
	stamp := headerOf(headers, outcome.HeaderStamp)
	switch {
	case epoch > k.epoch && stamp != "":
		k = knowledge{epoch: epoch}
	case epoch > k.epoch:
		k = knowledge{epoch: k.epoch}
	}
	if owner := headerOf(headers, outcome.HeaderOwner); owner != "" {
		k.owner = owner
	}
	if stamp != "" {
		k.stamp = newer(k.stamp, stamp)
	}
	return k
}

// newer returns the stamp with more seconds; both are of one epoch. Answers may
// arrive out of order.
func newer(a, b string) string {
	if len(a) > len(b) || (len(a) == len(b) && a > b) {
		return a
	}
	return b
}

// remember replaces any other key when there are too many.
func (o *owners) remember(name keyName, id shard.ID) {
	if _, ok := o.keys[name]; !ok && len(o.keys) >= maxKeys {
		for other := range o.keys {
			delete(o.keys, other)
			break
		}
	}
	o.keys[name] = id
}

// forget drops an owner that doesn't answer. The stamps stay.
func (o *owners) forget(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, known := range o.shards {
		if known.owner == address {
			known.owner = ""
			o.shards[name] = known
		}
	}
}

func headerOf(headers []upstream.Header, name string) string {
	for _, header := range headers {
		if strings.EqualFold(header.Name(), name) {
			return header.Value()
		}
	}
	return ""
}
