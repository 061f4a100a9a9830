// Package shard maps keys to shards, the unit of ownership.
package shard

import "github.com/cespare/xxhash/v2"

// ID is the number of a shard within its service, counted from zero.
type ID uint32

// ForKey returns the shard of a key in a service with count shards. It returns zero if
// count is zero.
func ForKey(key string, count uint32) ID {
	if count == 0 {
		return 0
	}
	return ID(xxhash.Sum64String(key) % uint64(count))
}
