package fleet_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/era"
	"briarwell.dev/core/fleet"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

func member(name, service string, serving bool) fleet.Member {
	location := identity.NewLocation("r", "d")
	return fleet.Member{Instance: membership.NewInstance(name, name+":80", name+":81", location), Incarnation: 7, Service: service, Slots: 3, Serving: serving}
}

// revision returns the revision with a number of a store that reports no era.
func revision(number uint64) era.Revision { return era.NewRevision(0, number) }

// stamp returns the stamp of a row of such a store.
func stamp(number uint64) era.Stamp { return era.NewStamp(revision(number), revision(number)) }

func row(t *testing.T, m fleet.Member, version uint64) era.Row {
	t.Helper()
	value, err := m.Encode(0)
	if err != nil {
		t.Fatal(err)
	}
	return era.NewRow(fleet.MemberKey(m.Instance.Name()), revision(version), value)
}

// TestView guards against members that don't survive encoding, and against requests to
// an upstream that does not accept them.
func TestView(t *testing.T) {
	is := is.New(t)
	var v fleet.View
	for i, m := range []fleet.Member{member("a", "s", true), member("b", "s", false), member("c", "t", true)} {
		next, err := v.WithRow(row(t, m, uint64(i+1)))
		is.NoErr(err)
		v = next
	}
	is.Equal(v.MemberCount(), 3)
	got, ok := v.Member("a")
	is.True(ok)
	is.Equal(got, member("a", "s", true))
	targets := v.Instances("s")
	is.Equal(len(targets), 1)
	is.Equal(targets[0].Address, "a:80")

	var a keyspace.Assignment
	a = a.AddHolder(keyspace.NewHolder(membership.RestoreMember(7, got.Instance, 1, nil), keyspace.NewProcess("u", 1), 3)).AssignUnowned()
	value, err := a.Encode()
	is.NoErr(err)
	v, err = v.WithRow(era.NewRow(fleet.AssignmentKey("s"), revision(9), value))
	is.NoErr(err)
	owner, ok := v.Owner("s", &dispatch.Request{Key: 40000})
	is.True(ok)
	is.Equal(owner.Name, "a")
	is.Equal(v.Assignment("s").Stamp, stamp(9))
	_, ok = v.Owner("t", &dispatch.Request{Key: 1})
	is.True(!ok)
}

// TestMemberDeparture guards against a departure that a restarted daemon does not get back as it
// was announced.
func TestMemberDeparture(t *testing.T) {
	is := is.New(t)
	for _, departure := range []heartbeat.Departure{
		{}, heartbeat.NewDeparture(keyspace.NewProcess("x", 10)), heartbeat.NewDepartureOfID("x", 10),
	} {
		m := member("a", "s", false)
		m.Departure = departure
		v, err := fleet.View{}.WithRow(row(t, m, 1))
		is.NoErr(err)
		got, _ := v.Member("a")
		is.Equal(got.Departure, departure)
	}
}

// TestViewRejectsOutOfRangeMember guards against requests to an upstream that doesn't exist, since
// another writer has left an entry with a number or a port out of range.
func TestViewRejectsOutOfRangeMember(t *testing.T) {
	valid := `{"requestAddress":"10.0.0.1:80","peerAddress":"10.0.0.1:81","region":"r","failureDomain":"d","incarnation":"0000000000000007","service":"s","slots":3,"serving":true,"strength":320}`
	for name, edit := range map[string][2]string{
		"request port": {`10.0.0.1:80"`, `10.0.0.1:99999"`}, "no request port": {`10.0.0.1:80"`, `10.0.0.1"`}, "peer port": {`10.0.0.1:81"`, `10.0.0.1:0"`},
		"no address": {`"10.0.0.1:80"`, `""`}, "no service": {`"s"`, `""`}, "no incarnation": {`07"`, `00"`},
		"slots": {`:3,`, `:9223372036854775807,`}, "negative slots": {`:3,`, `:-3,`}, "fraction": {`:3,`, `:3.5,`}, "large number": {`:3,`, `:1e999,`},
		"strength": {`:320`, `:9223372036854775807`}, "negative strength": {`:320`, `:-1`},
		"nested": {`:320`, `:` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v, err := fleet.View{}.WithRow(era.NewRow(fleet.MemberKey("a"), revision(1), []byte(valid)))
			is.NoErr(err)
			invalid := strings.Replace(valid, edit[0], edit[1], 1)
			is.True(invalid != valid)
			v, err = v.WithRow(era.NewRow(fleet.MemberKey("b"), revision(2), []byte(invalid)))
			var rejected *fleet.RowError
			is.True(errors.As(err, &rejected))
			is.Equal(len(v.Instances("s")), 1)
		})
	}
	is := is.New(t)
	_, err := fleet.View{}.WithRow(era.NewRow(fleet.MemberKey(""), revision(1), []byte(valid)))
	is.True(err != nil)
}

// TestViewRejectsInvalidRow guards against an invalid row that replaces a valid one.
func TestViewRejectsInvalidRow(t *testing.T) {
	is := is.New(t)
	v, err := fleet.View{}.WithRow(row(t, member("a", "s", true), 1))
	is.NoErr(err)
	for _, key := range []string{fleet.MemberKey("a"), fleet.AssignmentKey("s")} {
		after, err := v.WithRow(era.NewRow(key, revision(2), []byte("\x00")))
		var rejected *fleet.RowError
		is.True(errors.As(err, &rejected))
		is.Equal(rejected.Key(), key)
		is.Equal(after.MemberCount(), 1)
	}
}

// TestViewOfManyMembers guards against look-ups for a request that take longer the more
// members there are, and against members and targets that don't follow changed rows.
func TestViewOfManyMembers(t *testing.T) {
	is := is.New(t)
	var v fleet.View
	for i := range 200 {
		m := member(fmt.Sprintf("i%03d", (i*77)%200), "s", true)
		next, err := v.WithRow(row(t, m, uint64(i+1)))
		is.NoErr(err)
		v = next
	}
	is.Equal(len(v.Instances("s")), 200)
	allocated := testing.AllocsPerRun(100, func() {
		v.Instances("s")
		v.Members()
		v.Member("i077")
	})
	is.Equal(allocated, 0.0)

	moved := member("i077", "t", true)
	changed, err := v.WithRow(row(t, moved, 300))
	is.NoErr(err)
	is.Equal(len(changed.Instances("s")), 199)
	is.Equal(len(changed.Instances("t")), 1)
	is.Equal(changed.MemberCount(), 200)
	changed, err = changed.WithRow(row(t, member("i077", "t", false), 301))
	is.NoErr(err)
	is.Equal(len(changed.Instances("t")), 0)
	is.Equal(len(v.Instances("s")), 200) // a view doesn't change
	for i, m := range changed.Members() {
		is.Equal(m.Instance.Name(), fmt.Sprintf("i%03d", i))
	}
}

// TestViewOutOfUse guards against requests to upstreams in a failure domain that is out of use,
// and against domains that stay out of use.
func TestViewOutOfUse(t *testing.T) {
	is := is.New(t)
	v, err := fleet.View{}.WithRow(era.NewRow(fleet.OutOfUseKey("d"), revision(1), []byte("{}")))
	is.NoErr(err)
	for i, name := range []string{"a", "b"} {
		m := member(name, "s", true)
		if name == "b" {
			m.Instance = membership.NewInstance(name, name+":80", name+":81", identity.NewLocation("r", "e"))
		}
		v, err = v.WithRow(row(t, m, uint64(i+2)))
		is.NoErr(err)
	}
	is.True(v.OutOfUse("d") && !v.OutOfUse("e"))
	is.Equal(len(v.Instances("s")), 1)
	is.Equal(v.Instances("s")[0].Name, "b")
	both, err := v.WithRow(era.NewRow(fleet.OutOfUseKey("e"), revision(4), []byte("{}")))
	is.NoErr(err)
	is.Equal(both.OutOfUseCount(), 2)
	is.Equal(len(both.Instances("s")), 0)
	is.Equal(len(v.Instances("s")), 1) // a view doesn't change
	back, err := both.WithRow(era.NewRow(fleet.OutOfUseKey("d"), revision(5), nil))
	is.NoErr(err)
	is.True(!back.OutOfUse("d"))
	is.Equal(back.Instances("s")[0].Name, "a")
	_, err = back.WithRow(era.NewRow(fleet.OutOfUseKey(""), revision(6), []byte("{}")))
	var rejected *fleet.RowError
	is.True(errors.As(err, &rejected))
}
