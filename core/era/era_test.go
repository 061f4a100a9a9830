package era_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/era"
)

func drawRevision(t *rapid.T) era.Revision {
	return era.NewRevision(era.Era(rapid.Uint64Range(0, 3).Draw(t, "era")), rapid.Uint64Range(0, 5).Draw(t, "number"))
}

func drawRow(t *rapid.T) era.Row {
	// The content of one origin is the same in all copies.
	stamp := era.NewStamp(drawRevision(t), drawRevision(t))
	return era.NewRowAt("k", stamp, []byte(stamp.Origin().String()))
}

// TestOrder guards against a revision of an earlier era that counts as newer for its number.
func TestOrder(t *testing.T) {
	is := is.New(t)
	is.True(era.NewRevision(2, 1).After(era.NewRevision(1, 900)))
	is.True(!era.NewRevision(1, 900).After(era.NewRevision(2, 1)))
	is.True(era.NewRevision(2, 3).After(era.NewRevision(2, 2)))
	is.True(!era.NewRevision(2, 3).After(era.NewRevision(2, 3)))
	is.True(era.NewRevision(1, 0).After(era.Revision{}))
	is.Equal(era.Later(era.NewRevision(1, 9), era.NewRevision(2, 0)), era.NewRevision(2, 0))
	// A store that reports era 0 is one that reports eras.
	is.True(era.Parse("0") > era.Parse(""))
	is.Equal(era.Parse("7").Reported(), uint64(7))
	for _, text := range []string{"", "x", "-1", "1.5", "18446744073709551615"} {
		is.Equal(era.Parse(text), era.Era(0))
	}
}

// TestJoin guards against copies of a row that differ for ever, as they were learned in another order.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRow(t), drawRow(t), drawRow(t)
		equal := func(x, y era.Row) bool { return x.Stamp == y.Stamp && string(x.Value()) == string(y.Value()) }
		if !equal(a.Join(b), b.Join(a)) || !equal(a.Join(b).Join(c), a.Join(b.Join(c))) || !equal(a.Join(a), a) {
			t.Fatalf("join of %v, %v and %v depends on the order", a.Stamp, b.Stamp, c.Stamp)
		}
		if joined := a.Join(b); !joined.Covers(a.Stamp) || !joined.Covers(b.Stamp) || a.Covers(b.Stamp) && !equal(joined, a) {
			t.Fatalf("join of %v and %v is %v", a.Stamp, b.Stamp, joined.Stamp)
		}
	})
}

// TestJSON guards against revisions that change on their way between daemons, and against another
// encoding than that of earlier builds where the store reports no era.
func TestJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := map[string]era.Stamp{"k": era.NewStamp(drawRevision(t), drawRevision(t))}
		data, err := json.Marshal(sent)
		var received map[string]era.Stamp
		if err == nil {
			err = json.Unmarshal(data, &received)
		}
		if err != nil || received["k"] != sent["k"] {
			t.Fatalf("%v became %v: %v", sent, received, err)
		}
		revision := drawRevision(t)
		data, err = json.Marshal(revision)
		var decoded era.Revision
		if err == nil {
			err = json.Unmarshal(data, &decoded)
		}
		if err != nil || decoded != revision {
			t.Fatalf("%v became %v: %v", revision, decoded, err)
		}
	})
	is := is.New(t)
	data, err := json.Marshal(era.NewStamp(era.NewRevision(0, 7), era.NewRevision(0, 7)))
	is.NoErr(err)
	is.Equal(string(data), "7")
	for _, text := range []string{`"x"`, `-1`, `"1.2.3"`, `"1/2/3"`, `{}`, `""`} {
		var stamp era.Stamp
		var parseErr *era.ParseError
		is.True(errors.As(json.Unmarshal([]byte(text), &stamp), &parseErr))
	}
}
