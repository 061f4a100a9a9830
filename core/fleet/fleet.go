// Package fleet holds the daemons and their upstreams, as the table's rows
// describe them.
package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
)

// Prefixes of the keys of rows.
const (
	memberPrefix     = "member/"
	assignmentPrefix = "division/"
)

// MemberKey returns the key of the row of an instance.
func MemberKey(instance string) string { return memberPrefix + instance }

// AssignmentKey returns the key of the row with the division of a service.
func AssignmentKey(service string) string { return assignmentPrefix + service }

// AssignmentService returns the service whose division a row holds.
func AssignmentService(key string) (string, bool) { return strings.CutPrefix(key, assignmentPrefix) }

// Member is a daemon and the upstream beside it.
type Member struct {
	// Instance has the address for requests and that for control messages.
	Instance    membership.Instance
	Incarnation identity.Incarnation
	Service     string
	Slots       int
	// Serving tells that the upstream takes requests.
	Serving bool
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
}

// Encode returns the value of the member's row.
func (m Member) Encode() ([]byte, error) {
	return json.Marshal(memberJSON{
		RequestAddress: m.Instance.HTTPAddress(), PeerAddress: m.Instance.PeerAddress(),
		Region: m.Instance.Location().Region(), FailureDomain: m.Instance.Location().FailureDomain(),
		Incarnation: m.Incarnation, Service: m.Service, Slots: m.Slots, Serving: m.Serving,
	})
}

// RowError reports a row that can't be read.
type RowError struct {
	key   string
	cause error
}

// Key returns the row's key.
func (e *RowError) Key() string { return e.key }

func (e *RowError) Error() string { return fmt.Sprintf("row %q can't be read: %v", e.key, e.cause) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.cause }

// View is what a set of rows says. It is immutable; With returns a new one. The
// zero value is empty.
type View struct {
	members     map[string]Member
	assignments map[string]VersionedAssignment
}

// VersionedAssignment is a division and the revision at which it was written.
type VersionedAssignment struct {
	Assignment keyspace.Assignment
	Revision   table.Revision
}

// WithRow returns the view with a changed row. Rows of other kinds change nothing.
// The error is a *RowError; the view is then as before.
func (v View) WithRow(row table.Row) (View, error) {
	if name, ok := strings.CutPrefix(row.Key(), memberPrefix); ok {
		return v.withMember(name, row)
	}
	if service, ok := AssignmentService(row.Key()); ok {
		d, err := keyspace.Decode(row.Value())
		if err != nil {
			return v, &RowError{key: row.Key(), cause: err}
		}
		divisions := make(map[string]VersionedAssignment, len(v.assignments)+1)
		for key, value := range v.assignments {
			divisions[key] = value
		}
		divisions[service] = VersionedAssignment{Assignment: d, Revision: row.Version()}
		v.assignments = divisions
	}
	return v, nil
}

func (v View) withMember(name string, row table.Row) (View, error) {
	var e memberJSON
	if err := json.Unmarshal(row.Value(), &e); err != nil {
		return v, &RowError{key: row.Key(), cause: err}
	}
	members := make(map[string]Member, len(v.members)+1)
	for key, value := range v.members {
		members[key] = value
	}
	location := identity.NewLocation(e.Region, e.FailureDomain)
	members[name] = Member{
		Instance:    membership.NewInstance(name, e.RequestAddress, e.PeerAddress, location),
		Incarnation: e.Incarnation, Service: e.Service, Slots: e.Slots, Serving: e.Serving,
	}
	v.members = members
	return v, nil
}

// Members returns the members by name.
func (v View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Instance.Name(), b.Instance.Name()) })
	return members
}

// MemberCount returns the number of members.
func (v View) MemberCount() int { return len(v.members) }

// Member returns the member on an instance.
func (v View) Member(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}

// Assignment returns the division of a service.
func (v View) Assignment(service string) VersionedAssignment { return v.assignments[service] }

// Assignments returns the divisions by service; callers must not change them.
func (v View) Assignments() map[string]VersionedAssignment { return v.assignments }

// Owner returns the instance that owns the request's key.
func (v View) Owner(service string, r *dispatch.Request) (dispatch.Target, bool) {
	owned, ok := v.assignments[service].Assignment.RangeOf(r.Key)
	if !ok || owned.Owner() == "" {
		return dispatch.Target{}, false
	}
	m, ok := v.members[owned.Owner()]
	if !ok {
		return dispatch.Target{}, false
	}
	return m.target(), true
}

// Instances returns the instances whose upstreams serve a service.
func (v View) Instances(service string) []dispatch.Target {
	var targets []dispatch.Target
	for _, m := range v.members {
		if m.Service == service && m.Serving {
			targets = append(targets, m.target())
		}
	}
	return targets
}

func (m Member) target() dispatch.Target {
	return dispatch.Target{
		Candidate: balance.Candidate{Name: m.Instance.Name(), Location: m.Instance.Location(), Slots: m.Slots},
		Address:   m.Instance.HTTPAddress(),
	}
}
