// Package object defines the interface to the platform's object store, in which objects
// are named by the digest of their content.
package object

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is the name of an object: the SHA-256 digest of its body as 64 lower-case
// hexadecimal digits.
type Digest string

// digestLength is the number of hexadecimal digits of a Digest.
const digestLength = 2 * sha256.Size

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// ParseDigest returns text as a Digest. It returns a *DigestError if text does not have
// the form of one.
func ParseDigest(text string) (Digest, error) {
	if len(text) != digestLength {
		return "", &DigestError{text: text}
	}
	for _, digit := range text {
		if (digit < '0' || digit > '9') && (digit < 'a' || digit > 'f') {
			return "", &DigestError{text: text}
		}
	}
	return Digest(text), nil
}

// Store is an object store. Put may be repeated, as the same body has the same digest.
type Store interface {
	// Put stores body and returns its digest. If it fails with an *OutageError, the body
	// may have been stored.
	Put(ctx context.Context, body []byte) (Digest, error)
	// Get returns the body of the object; callers must not modify it. It returns a
	// *NotFoundError if the object does not exist, a *MismatchError if the store
	// returned a body with another digest, and an *OutageError if the store did not
	// respond.
	Get(ctx context.Context, digest Digest) ([]byte, error)
}

// CheckDigest returns a *MismatchError if body does not have the digest.
func CheckDigest(body []byte, digest Digest) error {
	if found := DigestOf(body); found != digest {
		return &MismatchError{expected: digest, found: found}
	}
	return nil
}

// DigestError reports a text that does not have the form of a Digest.
type DigestError struct {
	text string
}

// Text returns the rejected text.
func (e *DigestError) Text() string { return e.text }

func (e *DigestError) Error() string {
	return fmt.Sprintf("digest %q is not 64 lower-case hexadecimal digits", e.text)
}

// NotFoundError reports that no object has the digest.
type NotFoundError struct {
	digest Digest
}

// NewNotFoundError returns an error for the digest of an object that does not exist.
func NewNotFoundError(digest Digest) *NotFoundError { return &NotFoundError{digest: digest} }

// Digest returns the digest of the missing object.
func (e *NotFoundError) Digest() Digest { return e.digest }

func (e *NotFoundError) Error() string { return "object " + string(e.digest) + " does not exist" }

// MismatchError reports that the body of an object does not have the object's digest.
type MismatchError struct {
	expected Digest
	found    Digest
}

// Expected returns the digest of the requested object.
func (e *MismatchError) Expected() Digest { return e.expected }

// Found returns the digest of the body that was found.
func (e *MismatchError) Found() Digest { return e.found }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("object %s has a body with digest %s", e.expected, e.found)
}

// OutageError reports that the store did not respond, or responded with an unexpected
// status.
type OutageError struct {
	operation string
	cause     error
}

// NewOutageError returns an OutageError for a failed operation, "put" or "get".
func NewOutageError(operation string, cause error) *OutageError {
	return &OutageError{operation: operation, cause: cause}
}

// Operation returns "put" or "get".
func (e *OutageError) Operation() string { return e.operation }

func (e *OutageError) Error() string {
	return fmt.Sprintf("object store gave no answer to %s: %v", e.operation, e.cause)
}

func (e *OutageError) Unwrap() error { return e.cause }
