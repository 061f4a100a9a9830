package router

import (
	"fmt"
	"net/url"
	"strings"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
)

const (
	// maxKeyBytes is the maximum length of a decoded key, which is sent in headers.
	maxKeyBytes = 512
	// maxRequestIDBytes is the maximum length of a request ID, which the owner keeps for
	// dedupe.Retention.
	maxRequestIDBytes = 128
)

// MalformedError reports a request line or header that can't be parsed.
type MalformedError struct {
	field string
	found string
}

// Field returns the name of the malformed part of the request.
func (e *MalformedError) Field() string { return e.field }

// Found returns the rejected text.
func (e *MalformedError) Found() string { return e.found }

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed %s %q", e.field, e.found) }

// UnknownServiceError reports a request to a service that is not configured.
type UnknownServiceError struct{ service identity.Service }

// Service returns the requested service.
func (e *UnknownServiceError) Service() identity.Service { return e.service }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("unknown service %q", e.service.String())
}

// MissingKeyError reports a request to a keyed service without a key.
type MissingKeyError struct{ service identity.Service }

// Service returns the requested service.
func (e *MissingKeyError) Service() identity.Service { return e.service }

func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("request to keyed service %q has no key", e.service.String())
}

// Target is a parsed request line.
type Target struct {
	service identity.Service
	rules   template.ServiceRules
	key     string
	shardID shard.ID
	path    string
	subpath string
}

// Service returns the organisation and service.
func (t Target) Service() identity.Service { return t.service }

// Rules returns the rules of the service.
func (t Target) Rules() template.ServiceRules { return t.rules }

// Key returns the decoded key, "" for an unkeyed service.
func (t Target) Key() string { return t.key }

// Shard returns the shard of the key.
func (t Target) Shard() shard.ID { return t.shardID }

// Path returns the path below the service with the query, as the caller sent it.
func (t Target) Path() string { return t.path }

// Subpath returns the path below the key without the query. For an unkeyed service it is the
// path below the service.
func (t Target) Subpath() string { return t.subpath }

// Parse parses the target of a request line, "/organisation/service/path". It
// returns a *MalformedError, *UnknownServiceError or *MissingKeyError.
func Parse(catalog template.Catalog, target string) (Target, error) {
	if !validTarget(target) {
		return Target{}, &MalformedError{field: "target", found: target}
	}
	path, _, _ := strings.Cut(target, "?")
	organisation, below, _ := strings.Cut(path[1:], "/")
	name, rest, found := strings.Cut(below, "/")
	if organisation == "" || name == "" {
		return Target{}, &MalformedError{field: "target", found: target}
	}
	service := identity.NewService(organisation, name)
	// A catalog names a service "organisation/service".
	prefix := len(organisation) + len(name) + 2
	rules, ok := catalog.Service(target[1:prefix])
	if !ok {
		return Target{}, &UnknownServiceError{service: service}
	}
	parsed := Target{service: service, rules: rules, path: target[prefix:], subpath: "/" + rest}
	if !found {
		parsed.path = "/" + parsed.path
	}
	if !rules.IsKeyed() {
		return parsed, nil
	}
	return parsed.withKey(rest)
}

// withKey sets the key, which is the first segment of the path below the service, and its
// shard.
func (t Target) withKey(below string) (Target, error) {
	segment, rest, _ := strings.Cut(below, "/")
	if segment == "" {
		return Target{}, &MissingKeyError{service: t.service}
	}
	key, err := url.PathUnescape(segment)
	if err != nil || !validKey(key) {
		return Target{}, &MalformedError{field: "key", found: segment}
	}
	t.key, t.subpath = key, "/"+rest
	t.shardID = shard.ForKey(key, t.rules.Shards())
	return t, nil
}

// validTarget reports whether target is an absolute path of visible ASCII characters without
// dot segments, which an upstream might resolve to the path of another key.
func validTarget(target string) bool {
	if target == "" || target[0] != '/' {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] >= 0x7f || target[i] == '#' {
			return false
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return !hasDotSegment(path)
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") && !strings.Contains(path, "%2") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		decoded, err := url.PathUnescape(segment)
		if err == nil && (decoded == "." || decoded == "..") {
			return true
		}
	}
	return false
}

// validKey reports whether a decoded key can be sent in a header.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] == 0x7f {
			return false
		}
	}
	return true
}
