// Package memory implements an object store in memory.
package memory

import (
	"bytes"
	"context"
	"sync"

	"briarwell.dev/core/object"
)

// Store is an object.Store in memory. The zero value is empty and ready for
// use. It is safe for concurrent use.
type Store struct {
	mutex   sync.RWMutex
	objects map[object.Digest][]byte
}

// New returns an empty store.
func New() *Store { return &Store{} }

// Put stores a copy of body.
func (s *Store) Put(ctx context.Context, body []byte) (object.Digest, error) {
	if err := ctx.Err(); err != nil {
		return "", object.NewOutageError("put", err)
	}
	digest := object.DigestOf(body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.objects == nil {
		s.objects = make(map[object.Digest][]byte)
	}
	if _, ok := s.objects[digest]; !ok {
		s.objects[digest] = bytes.Clone(body)
	}
	return digest, nil
}

// Get returns the body with the digest, without copying it.
func (s *Store) Get(ctx context.Context, digest object.Digest) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, object.NewOutageError("get", err)
	}
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	body, ok := s.objects[digest]
	if !ok {
		return nil, object.NewNotFoundError(digest)
	}
	return body, object.CheckDigest(body, digest)
}
