// Package wire defines the JSON bodies that a daemon sends to its upstream and
// reads from it.
package wire

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
)

// HTTP paths that the upstream serves.
const (
	// PathGrants accepts a POST with a Grant.
	PathGrants = "/briarwell/grants"
	// PathLoad responds to a GET with a Load.
	PathLoad = "/briarwell/load"
)

// Grant replaces the grants of one service. The upstream may act on the shards,
// each under its epoch, until ExpiresUnixMillis.
type Grant struct {
	Organisation      string         `json:"organisation"`
	Service           string         `json:"service"`
	Shards            []GrantedShard `json:"shards"`
	ExpiresUnixMillis int64          `json:"expiresUnixMillis"`
}

// GrantedShard is an entry of a Grant: a shard and its epoch, or a hot key of the
// shard and the epoch of that key. Requests for a hot key that has its own entry are
// checked against that entry and not against the shard's.
type GrantedShard struct {
	Shard  shard.ID       `json:"shard"`
	HotKey string         `json:"hotKey,omitempty"`
	Epoch  identity.Epoch `json:"epoch"`
}

// Load is the load report of an upstream.
type Load struct {
	InFlight int  `json:"inFlight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}
