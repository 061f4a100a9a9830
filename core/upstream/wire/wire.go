// Package wire holds the JSON bodies that a daemon sends to its upstream and
// reads from it.
package wire

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// Paths at the upstream.
const (
	// PathGrants takes a POST of Grants.
	PathGrants = "/briarwell/grants"
	// PathLoad answers a GET with Load.
	PathLoad = "/briarwell/load"
)

// Grant replaces the grants of one service. The upstream may act on the
// shards, under the epochs, until the given time.
type Grant struct {
	Organisation      string         `json:"organisation"`
	Service           string         `json:"service"`
	Shards            []GrantedShard `json:"shards"`
	ExpiresUnixMillis int64          `json:"expiresUnixMillis"`
}

// GrantedShard is a shard, or a hot key of it, and its epoch within Grants. For orders
// of a hot key with an entry of its own that entry counts and not the shard's.
type GrantedShard struct {
	Shard  shard.ID       `json:"shard"`
	HotKey string         `json:"hotKey,omitempty"`
	Epoch  identity.Epoch `json:"epoch"`
}

// Load is what the upstream says of itself.
type Load struct {
	InFlight int  `json:"inFlight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}
