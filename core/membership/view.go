package membership

import (
	"cmp"
	"maps"
	"slices"

	"briarwell.dev/core/identity"
)

// View is an immutable set of members. The zero value is empty.
type View struct {
	// All lists are sorted by incarnation.
	all       []Member
	alive     []Member
	byService map[identity.Service][]Member
}

// WithMembers returns a view in which the given members are added or replace those of
// the same incarnation. It takes time proportional to the size of the view.
func (v View) WithMembers(changed ...Member) View {
	next := View{
		all:       slices.Clone(v.all),
		alive:     slices.Clone(v.alive),
		byService: maps.Clone(v.byService),
	}
	if next.byService == nil {
		next.byService = make(map[identity.Service][]Member)
	}
	cloned := make(map[identity.Service]bool)
	update := func(service identity.Service, apply func([]Member) []Member) {
		if !cloned[service] {
			cloned[service] = true
			next.byService[service] = slices.Clone(next.byService[service])
		}
		next.byService[service] = apply(next.byService[service])
	}
	for _, m := range changed {
		if old, ok := next.Member(m.incarnation); ok && old.Alive() {
			update(old.announcement.service, func(list []Member) []Member { return removeMember(list, m.incarnation) })
		}
		next.all = insertMember(next.all, m)
		next.alive = removeMember(next.alive, m.incarnation)
		if m.Alive() {
			next.alive = insertMember(next.alive, m)
			update(m.announcement.service, func(list []Member) []Member { return insertMember(list, m) })
		}
	}
	return next
}

func findMember(list []Member, incarnation identity.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(list, incarnation, func(m Member, i identity.Incarnation) int {
		return cmp.Compare(m.incarnation, i)
	})
}

func insertMember(list []Member, m Member) []Member {
	index, found := findMember(list, m.incarnation)
	if found {
		list[index] = m
		return list
	}
	return slices.Insert(list, index, m)
}

func removeMember(list []Member, incarnation identity.Incarnation) []Member {
	if index, found := findMember(list, incarnation); found {
		return slices.Delete(list, index, index+1)
	}
	return list
}

// Member returns the member with the given incarnation, dead or alive, or false if there
// is none.
func (v View) Member(incarnation identity.Incarnation) (Member, bool) {
	index, found := findMember(v.all, incarnation)
	if !found {
		return Member{}, false
	}
	return v.all[index], true
}

// Alive returns the members that are not dead, by ascending incarnation. Callers must
// not modify the slice.
func (v View) Alive() []Member { return v.alive }

// AliveIn returns the members of a service that are not dead, by ascending incarnation.
// Callers must not modify the slice.
func (v View) AliveIn(service identity.Service) []Member { return v.byService[service] }

// ActiveIn returns the active members of a service, by ascending incarnation.
func (v View) ActiveIn(service identity.Service) []Member {
	var active []Member
	for _, m := range v.byService[service] {
		if m.state == StateActive {
			active = append(active, m)
		}
	}
	return active
}

// FirstActiveIn returns the active member of a service with the lowest incarnation, or
// false if there is none. This member is the planner of the service.
func (v View) FirstActiveIn(service identity.Service) (Member, bool) {
	for _, m := range v.byService[service] {
		if m.state == StateActive {
			return m, true
		}
	}
	return Member{}, false
}
