package membership_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/upstream"
)

var service = identity.NewService("attire", "bookings")

func member(id int, region, domain string, state membership.State) membership.Member {
	instance := membership.NewInstance(fmt.Sprintf("i%d", id), fmt.Sprintf("h%d", id), fmt.Sprintf("p%d", id), identity.NewLocation(region, domain))
	a := membership.NewAnnouncement(service, 12, 110, upstream.FencingEpoch, clock.Millis(50))
	return membership.NewMember(identity.Incarnation(id), instance).WithAnnouncement(a).WithState(state)
}

// TestMemberCodec guards against a field that is lost in the row, and against accepting
// a row under the wrong key.
func TestMemberCodec(t *testing.T) {
	is := is.New(t)
	m := member(7, "r0", "d0", membership.StateActive).WithWitnesses([]membership.Witness{membership.NewWitness(8, "p8")})
	decoded, err := membership.Decode(membership.Key(7), membership.Encode(m))
	is.NoErr(err)
	is.Equal(decoded, m)
	var failure *membership.RowError
	_, err = membership.Decode(membership.Key(8), membership.Encode(m))
	is.True(errors.As(err, &failure))
	_, err = membership.Decode(membership.Key(7), []byte("{"))
	is.True(errors.As(err, &failure))
}

// TestViewMatchesMap compares the view, which inserts into sorted lists, with a plain
// map as the model.
func TestViewMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var view membership.View
		model := map[identity.Incarnation]membership.Member{}
		states := []membership.State{membership.StateJoining, membership.StateActive, membership.StateDraining, membership.StateDead}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			size := rapid.IntRange(1, 4).Draw(t, "batch")
			batch := make([]membership.Member, 0, size)
			for range size {
				m := member(rapid.IntRange(1, 8).Draw(t, "id"), "r0", "d0", rapid.SampledFrom(states).Draw(t, "state"))
				if rapid.Bool().Draw(t, "unannounced") {
					m = m.WithAnnouncement(membership.Announcement{})
				}
				batch = append(batch, m)
				model[m.Incarnation()] = m
			}
			view = view.WithMembers(batch...)
		}
		alive, inService := 0, 0
		for id, m := range model {
			got, ok := view.Member(id)
			is.True(ok)
			is.Equal(got, m)
			if m.Alive() {
				alive++
				if m.Announcement().Service() == service {
					inService++
				}
			}
		}
		is.Equal(len(view.Alive()), alive)
		is.Equal(len(view.AliveIn(service)), inService)
		for i, m := range view.Alive() {
			is.Equal(m, model[m.Incarnation()])
			is.True(i == 0 || view.Alive()[i-1].Incarnation() < m.Incarnation())
		}
	})
}

// TestChooseWitnesses guards against witnesses that fail together with the holder, and
// against witnesses that can't make promises.
func TestChooseWitnesses(t *testing.T) {
	is := is.New(t)
	self := member(1, "r0", "d0", membership.StateActive)
	candidates := []membership.Member{
		self, member(2, "r0", "d0", membership.StateActive), member(3, "r0", "d1", membership.StateActive), member(4, "r0", "d1", membership.StateDraining),
		member(5, "r1", "d2", membership.StateActive), member(6, "r1", "d2", membership.StateJoining), member(7, "r0", "d0", membership.StateDead),
	}
	ids := func(count int, candidates []membership.Member) []identity.Incarnation {
		ids := make([]identity.Incarnation, 0, count)
		for _, w := range membership.ChooseWitnesses(self, candidates, count) {
			ids = append(ids, w.Incarnation())
		}
		return ids
	}
	is.Equal(ids(3, candidates), []identity.Incarnation{2, 3, 5}) // same domain, other domain, other region
	is.Equal(ids(3, candidates[:3]), []identity.Incarnation{2, 3})
	is.Equal(len(ids(3, candidates[:1])), 0)
	is.Equal(membership.WitnessSpread(self, membership.ChooseWitnesses(self, candidates, 3), membership.View{}.WithMembers(candidates...)), 3)
}
