// Package object is the port to the platform's object store, whose objects are
// named by their content.
package object

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest names an object: the SHA-256 of its body as 64 hexadecimal digits.
type Digest string

// digestLength is the number of digits of a Digest.
const digestLength = 2 * sha256.Size

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// ParseDigest checks the form of a digest. It returns a *DigestError for any
// other text.
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

// Store holds objects. Put may be repeated: the same body has the same name.
type Store interface {
	// Put stores body and returns its digest. It may fail with an
	// *OutageError, after which the body may have been stored.
	Put(ctx context.Context, body []byte) (Digest, error)
	// Get returns the body with the digest; callers must not change it. It
	// returns a *NotFoundError if there is none, a *MismatchError if the store
	// returned another body, and may fail with an *OutageError.
	Get(ctx context.Context, digest Digest) ([]byte, error)
}

// CheckDigest returns a *MismatchError if body doesn't have the digest.
func CheckDigest(body []byte, digest Digest) error {
	if found := DigestOf(body); found != digest {
		return &MismatchError{expected: digest, found: found}
	}
	return nil
}

// DigestError reports a text that is not a digest.
type DigestError struct {
	text string
}

// Text returns the rejected text.
func (e *DigestError) Text() string { return e.text }

func (e *DigestError) Error() string {
	return fmt.Sprintf("digest %q is not 64 lower-case hexadecimal digits", e.text)
}

// NotFoundError reports a digest without an object.
type NotFoundError struct {
	digest Digest
}

// NewNotFoundError returns a NotFoundError.
func NewNotFoundError(digest Digest) *NotFoundError { return &NotFoundError{digest: digest} }

// Digest returns the digest.
func (e *NotFoundError) Digest() Digest { return e.digest }

func (e *NotFoundError) Error() string { return "object " + string(e.digest) + " does not exist" }

// MismatchError reports a body that differs from its name.
type MismatchError struct {
	expected Digest
	found    Digest
}

// Expected returns the digest that was asked for.
func (e *MismatchError) Expected() Digest { return e.expected }

// Found returns the digest of the body.
func (e *MismatchError) Found() Digest { return e.found }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("object %s has a body with digest %s", e.expected, e.found)
}

// OutageError reports that the store did not answer.
type OutageError struct {
	operation string
	cause     error
}

// NewOutageError returns an outage during operation.
func NewOutageError(operation string, cause error) *OutageError {
	return &OutageError{operation: operation, cause: cause}
}

// Operation returns put or get.
func (e *OutageError) Operation() string { return e.operation }

func (e *OutageError) Error() string {
	return fmt.Sprintf("object store gave no answer to %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.cause }
