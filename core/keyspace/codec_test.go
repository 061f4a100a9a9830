package keyspace_test

import (
	"bytes"
	"compress/flate"
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
)

// readJSONAssignment returns a row of a build that encoded assignments as JSON.
func readJSONAssignment(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/assignment-json.bin")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestDecodeJSONAssignment guards against a row of an earlier build that can't be read, so
// that all keys of its service lose their owners at an upgrade.
func TestDecodeJSONAssignment(t *testing.T) {
	is := is.New(t)
	a, err := keyspace.Decode(readJSONAssignment(t))
	is.NoErr(err)
	is.Equal(len(a.Holders()), 3)
	is.Equal(a.Holders()[1].Member().WitnessGeneration(), uint64(3))
	is.Equal(a.Holders()[1].Process(), keyspace.NewProcess("u-i1", 1700000000001))
	is.True(a.Holders()[2].Leaving())
	is.Equal(len(a.Ranges()), 192)
	is.Equal(a.Ranges()[4].Owner(), "i0")
	is.Equal(a.Ranges()[4].Epoch(), identity.Epoch(2))
	is.Equal(a.Ranges()[4].HandoverToken(), "5c0e")
	is.Equal(a.Ranges()[8].NextOwner(), "i1")

	data, err := a.Encode()
	is.NoErr(err)
	again, err := keyspace.Decode(data)
	is.NoErr(err)
	is.Equal(again, a) // nothing is lost in the present format
}

// TestDecodeRejectsOverflow guards against a row of another writer whose lengths are so large that
// their sum overflows, and that is accepted with ranges outside the keys.
func TestDecodeRejectsOverflow(t *testing.T) {
	is := is.New(t)
	var data bytes.Buffer
	w, err := flate.NewWriter(&data, flate.BestSpeed)
	is.NoErr(err)
	_, err = w.Write([]byte(`{"epoch":1,"ranges":{"lengths":[1,9223372036854775807,9223372036854775807,65537],"owners":[0,0,0,0],"nexts":[0,0,0,0],"epochs":[1,0,0,0]}}`))
	is.NoErr(err)
	is.NoErr(w.Close())
	_, err = keyspace.Decode(data.Bytes())
	var rejected *keyspace.DecodeError
	is.True(errors.As(err, &rejected))
}

// FuzzDecode guards against a row from another writer that stops the process, takes much
// memory, or is accepted with ranges that do not cover all keys.
func FuzzDecode(f *testing.F) {
	f.Add(readJSONAssignment(f))
	data, err := newLargeAssignment(3).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("not an assignment"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := keyspace.Decode(data)
		if err != nil {
			var rejected *keyspace.DecodeError
			if !errors.As(err, &rejected) {
				t.Fatalf("error %v", err)
			}
			return
		}
		next := 0
		for _, r := range a.Ranges() {
			if int(r.First()) != next || r.Last() < r.First() {
				t.Fatalf("range %d to %d does not follow key %d", r.First(), r.Last(), next)
			}
			next = int(r.Last()) + 1
		}
		if next != 0 && next != int(keyspace.LastKey)+1 {
			t.Fatalf("ranges end at key %d", next)
		}
	})
}
