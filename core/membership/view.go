package membership

import (
	"cmp"
	"maps"
	"slices"

	"briarwell.dev/core/identity"
)

// View is an immutable set of members. The zero value is empty.
type View struct {
	members   map[identity.Incarnation]Member
	alive     []Member
	byService map[identity.Service][]Member
}

// With returns a view in which the given members replace those of the same
// incarnation. It costs time proportional to the size of the view.
func (v View) With(changed ...Member) View {
	next := View{members: make(map[identity.Incarnation]Member, len(v.members)+len(changed))}
	maps.Copy(next.members, v.members)
	for _, m := range changed {
		next.members[m.incarnation] = m
	}
	next.alive = make([]Member, 0, len(next.members))
	for _, m := range next.members {
		if m.Alive() {
			next.alive = append(next.alive, m)
		}
	}
	slices.SortFunc(next.alive, func(a, b Member) int { return cmp.Compare(a.incarnation, b.incarnation) })
	next.byService = make(map[identity.Service][]Member)
	for _, m := range next.alive {
		service := m.announcement.service
		next.byService[service] = append(next.byService[service], m)
	}
	return next
}

// Member returns the member with an incarnation, dead or alive, or false.
func (v View) Member(incarnation identity.Incarnation) (Member, bool) {
	m, ok := v.members[incarnation]
	return m, ok
}

// Alive returns the members that are not dead by ascending incarnation; callers
// must not change them.
func (v View) Alive() []Member { return v.alive }

// OfService returns the members of a service that are not dead by ascending
// incarnation; callers must not change them.
func (v View) OfService(service identity.Service) []Member { return v.byService[service] }

// Active returns the active members of a service by ascending incarnation.
func (v View) Active(service identity.Service) []Member {
	var active []Member
	for _, m := range v.byService[service] {
		if m.state == StateActive {
			active = append(active, m)
		}
	}
	return active
}

// FirstActive returns the active member of a service with the smallest
// incarnation, which is its planner, or false.
func (v View) FirstActive(service identity.Service) (Member, bool) {
	for _, m := range v.byService[service] {
		if m.state == StateActive {
			return m, true
		}
	}
	return Member{}, false
}
