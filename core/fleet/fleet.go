// Package fleet provides a view of all daemons, their upstreams and the key assignments,
// as the table's rows describe them.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/era"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

// Prefixes of row keys.
const (
	memberPrefix     = "member/"
	assignmentPrefix = "division/"
	// OutOfUsePrefix is the prefix of the keys of evacuation rows.
	OutOfUsePrefix = "outOfUse/"
)

// RouterPrefixes returns the prefixes of the keys of all rows that daemons write.
func RouterPrefixes() []string { return []string{memberPrefix, assignmentPrefix} }

// MemberKey returns the key of the member row of an instance.
func MemberKey(instance string) string { return memberPrefix + instance }

// MemberInstance returns the instance whose member row is under key, or false if the row is
// no member row.
func MemberInstance(key string) (string, bool) { return strings.CutPrefix(key, memberPrefix) }

// AssignmentKey returns the key of the row with the key assignment of a service.
func AssignmentKey(service string) string { return assignmentPrefix + service }

// AssignmentService returns the service whose key assignment the row under key holds, or
// false if the row holds none.
func AssignmentService(key string) (string, bool) { return strings.CutPrefix(key, assignmentPrefix) }

// OutOfUseKey returns the key of the evacuation row of a failure domain.
func OutOfUseKey(domain string) string { return OutOfUsePrefix + domain }

// OutOfUseDomain returns the failure domain whose evacuation row is under key, or false if the
// row is none. A row with a value takes the domain out of use; one without a value records that
// the row was deleted.
func OutOfUseDomain(key string) (string, bool) { return strings.CutPrefix(key, OutOfUsePrefix) }

// Member is a daemon and the upstream on the same instance.
type Member struct {
	// Instance holds the address for requests as its HTTP address and the address for
	// control messages as its peer address.
	Instance    membership.Instance
	Incarnation identity.Incarnation
	Service     string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Serving is true if the upstream accepts requests.
	Serving bool
	// Strength orders the instances by their processor share, in thousandths of a core; 0 if
	// unknown. Stronger ones do the work that one daemon does for many.
	Strength int
	// Departure is the newest announced shutdown of the upstream, the zero value if there is
	// none. A daemon that is restarted beside it learns this here.
	Departure heartbeat.Departure
}

type memberJSON struct {
	RequestAddress string               `json:"requestAddress"`
	PeerAddress    string               `json:"peerAddress"`
	Region         string               `json:"region"`
	FailureDomain  string               `json:"failureDomain"`
	Incarnation    identity.Incarnation `json:"incarnation"`
	Service        string               `json:"service"`
	Slots          int                  `json:"slots"`
	Serving        bool                 `json:"serving"`
	Strength       int                  `json:"strength,omitempty"`
	LeftID         string               `json:"leftLifeId,omitempty"`
	LeftStart      int64                `json:"leftLifeBorn,omitempty"`
	// LeftStartBound replaces LeftStart if only an upper bound is known.
	LeftStartBound int64 `json:"leftLifeBornBy,omitempty"`
	// Era is the era of the store for which the row was written.
	Era era.Era `json:"era,omitempty"`
}

// Encode returns the value of the member's row, as JSON, to be written in an era of the store.
func (m Member) Encode(e era.Era) ([]byte, error) {
	encoded := memberJSON{
		RequestAddress: m.Instance.HTTPAddress(), PeerAddress: m.Instance.PeerAddress(),
		Region: m.Instance.Location().Region(), FailureDomain: m.Instance.Location().FailureDomain(),
		Incarnation: m.Incarnation, Service: m.Service, Slots: m.Slots, Serving: m.Serving, Strength: m.Strength, Era: e,
	}
	process, startKnown := m.Departure.Process()
	encoded.LeftID = process.ID()
	if startKnown {
		encoded.LeftStart = process.StartUnixMillis()
	} else {
		encoded.LeftStartBound = process.StartUnixMillis()
	}
	return json.Marshal(encoded)
}

// maxStrength bounds the strength of an instance. A larger number comes from another writer.
const maxStrength = 1 << 24

// FieldError reports a field of a row that no daemon writes in this way.
type FieldError struct{ name string }

// Name returns the name of the field, "key" for the row's key.
func (e *FieldError) Name() string { return e.name }

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q is missing or out of range", e.name)
}

// validate returns a *FieldError for the first field that is missing or out of range. Such a row
// names no upstream to which requests could be sent.
func (e memberJSON) validate(instance string) error {
	for _, field := range []struct {
		name  string
		valid bool
	}{
		{"key", instance != ""},
		{"requestAddress", isHostPort(e.RequestAddress)},
		{"peerAddress", isHostPort(e.PeerAddress)},
		{"incarnation", e.Incarnation != 0},
		{"service", e.Service != ""},
		{"slots", e.Slots >= 0 && e.Slots <= heartbeat.MaxSlots},
		{"strength", e.Strength >= 0 && e.Strength <= maxStrength},
	} {
		if !field.valid {
			return &FieldError{name: field.name}
		}
	}
	return nil
}

// isHostPort reports whether the address is a host and a port that can be connected to.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// departure returns the departure that the row describes.
func (e memberJSON) departure() heartbeat.Departure {
	switch {
	case e.LeftID == "":
		return heartbeat.Departure{}
	case e.LeftStartBound != 0:
		return heartbeat.NewDepartureOfID(e.LeftID, e.LeftStartBound)
	default:
		return heartbeat.NewDeparture(keyspace.NewProcess(e.LeftID, e.LeftStart))
	}
}

// RowError reports a row that can't be decoded.
type RowError struct {
	key   string
	cause error
}

// Key returns the row's key.
func (e *RowError) Key() string { return e.key }

func (e *RowError) Error() string { return fmt.Sprintf("decode row %q: %v", e.key, e.cause) }

func (e *RowError) Unwrap() error { return e.cause }

// View is the decoded content of a set of rows. It is immutable; WithRow returns a new
// view. The zero value is empty.
type View struct {
	// members is sorted by instance name.
	members     []Member
	assignments map[string]VersionedAssignment
	// targets are the instances whose upstreams accept requests, by service. They change
	// rarely but are looked up for each request.
	targets map[string][]dispatch.Target
	// outOfUse has the failure domains that are out of use.
	outOfUse map[string]bool
}

// VersionedAssignment is a key assignment and the stamp of its row.
type VersionedAssignment struct {
	Assignment keyspace.Assignment
	Stamp      era.Stamp
}

// ContentRevision returns the revision at which the content of a row was written that the store has
// at a version. It differs from the version if the store has come back from an older copy since.
func ContentRevision(key string, version era.Revision, value []byte) era.Revision {
	var written era.Era
	if _, ok := AssignmentService(key); ok {
		written = keyspace.EraOf(value)
	} else if _, ok := MemberInstance(key); ok {
		var e struct {
			Era era.Era `json:"era"`
		}
		if json.Unmarshal(value, &e) == nil {
			written = e.Era
		}
	}
	if written == 0 || written > version.Era() {
		return version
	}
	return era.NewRevision(written, version.Number())
}

// WithRow returns the view with an added or changed row. Rows of other kinds and assignments whose
// content is not newer than the known one have no effect. The error is a *RowError, with which the view is returned unchanged.
func (v View) WithRow(row era.Row) (View, error) {
	if instance, ok := MemberInstance(row.Key()); ok {
		return v.withMember(instance, row)
	}
	if domain, ok := OutOfUseDomain(row.Key()); ok {
		return v.withOutOfUse(domain, len(row.Value()) > 0)
	}
	if service, ok := AssignmentService(row.Key()); ok && row.Origin().After(v.assignments[service].Stamp.Origin()) {
		assignment, err := keyspace.Decode(row.Value())
		if err != nil {
			return v, &RowError{key: row.Key(), cause: err}
		}
		v = v.withAssignment(service, VersionedAssignment{Assignment: assignment, Stamp: v.assignments[service].Stamp.Join(row.Stamp)})
	}
	return v, nil
}

// WithVersion returns the view with the later one of two versions of the row under key. Its content
// stays.
func (v View) WithVersion(key string, version era.Revision) View {
	service, ok := AssignmentService(key)
	known := v.assignments[service]
	if !ok || !version.After(known.Stamp.Version()) {
		return v
	}
	known.Stamp = era.NewStamp(version, known.Stamp.Origin())
	return v.withAssignment(service, known)
}

// BaseError reports a delta whose base is not the known assignment.
type BaseError struct {
	key   string
	known era.Revision
}

// Known returns the revision at which the known assignment was written.
func (e *BaseError) Known() era.Revision { return e.known }

func (e *BaseError) Error() string {
	return fmt.Sprintf("delta of row %q has another base than the known revision %s", e.key, e.known)
}

// WithDelta returns the view with the assignment under key changed by a delta. The error is a *BaseError if another revision is known, or a *RowError if
// the delta can't be decoded; the view is then returned unchanged.
func (v View) WithDelta(key string, delta Delta) (View, error) {
	service, ok := AssignmentService(key)
	if !ok {
		return v, &RowError{key: key, cause: errNoAssignment}
	}
	known := v.assignments[service]
	if origin := known.Stamp.Origin(); origin != delta.base {
		return v, &BaseError{key: key, known: origin}
	}
	assignment, err := known.Assignment.Patch(delta.data)
	if err != nil {
		return v, &RowError{key: key, cause: err}
	}
	return v.withAssignment(service, VersionedAssignment{Assignment: assignment, Stamp: known.Stamp.Join(delta.stamp)}), nil
}

var errNoAssignment = errors.New("row holds no assignment")

func (v View) withAssignment(service string, assignment VersionedAssignment) View {
	assignments := make(map[string]VersionedAssignment, len(v.assignments)+1)
	maps.Copy(assignments, v.assignments)
	assignments[service] = assignment
	v.assignments = assignments
	return v
}

func (v View) withMember(instance string, row era.Row) (View, error) {
	var e memberJSON
	err := json.Unmarshal(row.Value(), &e)
	if err == nil {
		err = e.validate(instance)
	}
	if err != nil {
		return v, &RowError{key: row.Key(), cause: err}
	}
	location := identity.NewLocation(e.Region, e.FailureDomain)
	member := Member{
		Instance:    membership.NewInstance(instance, e.RequestAddress, e.PeerAddress, location),
		Incarnation: e.Incarnation, Service: e.Service, Slots: e.Slots, Serving: e.Serving, Strength: e.Strength,
		Departure: e.departure(),
	}
	i, known := v.memberIndex(instance)
	if !known {
		v.members = slices.Insert(slices.Clone(v.members), i, member)
		return v.withTargets(member.Service), nil
	}
	formerService := v.members[i].Service
	v.members = slices.Clone(v.members)
	v.members[i] = member
	return v.withTargets(formerService, member.Service), nil
}

// withOutOfUse returns the view with a failure domain out of use or in use.
func (v View) withOutOfUse(domain string, outOfUse bool) (View, error) {
	if domain == "" {
		return v, &RowError{key: OutOfUsePrefix, cause: &FieldError{name: "key"}}
	}
	if v.outOfUse[domain] == outOfUse {
		return v, nil
	}
	domains := make(map[string]bool, len(v.outOfUse)+1)
	maps.Copy(domains, v.outOfUse)
	if outOfUse {
		domains[domain] = true
	} else {
		delete(domains, domain)
	}
	v.outOfUse = domains
	return v.withTargets(slices.Collect(maps.Keys(v.targets))...), nil
}

// OutOfUse reports whether a failure domain is out of use.
func (v View) OutOfUse(domain string) bool { return v.outOfUse[domain] }

// OutOfUseCount returns the number of failure domains that are out of use.
func (v View) OutOfUseCount() int { return len(v.outOfUse) }

// withTargets returns the view with the targets of the services taken from the members.
func (v View) withTargets(services ...string) View {
	targets := make(map[string][]dispatch.Target, len(v.targets)+1)
	maps.Copy(targets, v.targets)
	for _, service := range services {
		targets[service] = nil
		for _, m := range v.members {
			if m.Service == service && m.Serving && !v.OutOfUse(m.Instance.Location().FailureDomain()) {
				targets[service] = append(targets[service], m.target())
			}
		}
	}
	v.targets = targets
	return v
}

func (v View) memberIndex(instance string) (int, bool) {
	return slices.BinarySearchFunc(v.members, instance, func(m Member, instance string) int {
		return strings.Compare(m.Instance.Name(), instance)
	})
}

// Members returns the members sorted by instance name. Callers must not modify the slice.
func (v View) Members() []Member { return v.members }

// MemberCount returns the number of daemons in the view.
func (v View) MemberCount() int { return len(v.members) }

// Member returns the member on an instance, or false if there is none.
func (v View) Member(instance string) (Member, bool) {
	i, ok := v.memberIndex(instance)
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Assignment returns the key assignment of a service, the zero value if there is none.
func (v View) Assignment(service string) VersionedAssignment { return v.assignments[service] }

// Assignments returns the key assignments by service. Callers must not modify the map.
func (v View) Assignments() map[string]VersionedAssignment { return v.assignments }

// Owner returns the instance that owns the request's key, or false if none does or its
// member is unknown.
func (v View) Owner(service string, r *dispatch.Request) (dispatch.Target, bool) {
	keyRange, ok := v.assignments[service].Assignment.RangeOf(r.Key)
	if !ok || keyRange.Owner() == "" {
		return dispatch.Target{}, false
	}
	m, ok := v.Member(keyRange.Owner())
	if !ok {
		return dispatch.Target{}, false
	}
	return m.target(), true
}

// Instances returns the instances whose upstreams accept requests for a service, without those
// in a failure domain that is out of use. Callers must not modify the slice.
func (v View) Instances(service string) []dispatch.Target { return v.targets[service] }

func (m Member) target() dispatch.Target {
	return dispatch.Target{
		Candidate: balance.Candidate{Name: m.Instance.Name(), Location: m.Instance.Location(), Slots: m.Slots},
		Address:   m.Instance.HTTPAddress(),
	}
}
