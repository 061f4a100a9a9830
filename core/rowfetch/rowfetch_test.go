package rowfetch_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/rowfetch"
)

// stamp returns the stamp of a row of a store that reports no era.
func stamp(number uint64) era.Stamp {
	revision := era.NewRevision(0, number)
	return era.NewStamp(revision, revision)
}

// TestQueue guards against a row that is fetched twice at once, in an older version than is offered,
// or again and again from a peer that fails.
func TestQueue(t *testing.T) {
	is := is.New(t)
	var q rowfetch.Queue
	held := stamp(3)
	next := func(now int) (rowfetch.Offer, bool) {
		return q.Next(clock.Millis(now), func(string) era.Stamp { return held })
	}
	_, ok := next(0)
	is.True(!ok)
	q.Add(rowfetch.Offer{Key: "m", Stamp: stamp(3), From: "a"}) // known already
	q.Add(rowfetch.Offer{Key: "m", Stamp: stamp(5), From: "b", NotBefore: 100})
	_, ok = next(50)
	is.True(!ok)
	q.Add(rowfetch.Offer{Key: "m", Stamp: stamp(7), From: "c", NotBefore: 100})
	offer, ok := next(100)
	is.True(ok)
	is.Equal(offer.From, "c")
	_, ok = next(100) // one at a time
	is.True(!ok)

	q.Done(200, offer, false)
	offer, ok = next(200) // another peer first
	is.True(ok)
	is.Equal(offer.From, "b")
	held = stamp(5)
	q.Done(300, offer, true)
	_, ok = next(300)
	is.True(!ok)
	q.Add(rowfetch.Offer{Key: "m", Stamp: stamp(7), From: "c", NotBefore: 9000})
	offer, ok = next(2200) // the offer keeps its earlier time
	is.True(ok)
	is.Equal(offer.Stamp, stamp(7))
}

// TestUnpackRejects guards against a small message that unpacks to more than memory allows, and
// against damaged data that is taken for a row.
func TestUnpackRejects(t *testing.T) {
	is := is.New(t)
	value := bytes.Repeat([]byte("route"), 50_000)
	packed, err := rowfetch.Pack(value)
	is.NoErr(err)
	is.True(len(packed) < len(value)/50)
	unpacked, err := rowfetch.Unpack(packed)
	is.NoErr(err)
	is.True(bytes.Equal(unpacked, value))

	bomb, err := rowfetch.Pack(make([]byte, rowfetch.MaxBytes+1))
	is.NoErr(err)
	_, err = rowfetch.Unpack(bomb)
	var tooLarge *rowfetch.TooLargeError
	is.True(errors.As(err, &tooLarge))
	for _, damaged := range [][]byte{nil, packed[:len(packed)/2], []byte("not packed")} {
		_, err = rowfetch.Unpack(damaged)
		var unpackErr *rowfetch.UnpackError
		is.True(errors.As(err, &unpackErr))
	}
}

// slowLink is the part of a link of 10 Mbit/s, in bytes per millisecond, that is left beside the
// requests of callers.
const slowLink = 500

// arrival returns the time in milliseconds after which a row has arrived, if attempts that take
// longer than timeout are given up and repeated after a pause. It returns false if the row never
// arrives within a minute.
func arrival(bytes, timeout, pause int) (int, bool) {
	for now := 0; now < 60_000; now += timeout + pause {
		if took := bytes / slowLink; took <= timeout {
			return now + took, true
		}
	}
	return 0, false
}

// TestLargeRowOverSlowLink compares the rule with the naive one, which sends the row whole in the
// messages between instances: their timeout is right for small rows.
func TestLargeRowOverSlowLink(t *testing.T) {
	is := is.New(t)
	const (
		messageTimeout, syncPause = 600, 600
		fetchTimeout              = 15_000
		manifestWithin            = 2500
	)
	var manifest bytes.Buffer
	for i := range 6000 {
		fmt.Fprintf(&manifest, `"r-%x":{"host":"market.example","prefix":"/%x/","kind":"idempotent","timeout":"800ms","target_latency":"400ms","service":"ledger"},`,
			uint32(i)*2654435761, uint32(i)*2246822519)
	}
	packed, err := rowfetch.Pack(manifest.Bytes())
	is.NoErr(err)
	base64Size := func(bytes int) int { return bytes * 4 / 3 }
	_, arrives := arrival(base64Size(manifest.Len()), messageTimeout, syncPause)
	is.True(!arrives)
	took, arrives := arrival(base64Size(len(packed)), fetchTimeout, syncPause)
	is.True(arrives)
	is.True(took < manifestWithin)
	t.Logf("%d bytes, packed %d; naive: never, fetched: %d ms", manifest.Len(), len(packed), took)
}

// TestBudget guards against transfers that are all served at once, and against a large one that is
// never served.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var b rowfetch.Budget
	is.True(b.Start(rowfetch.MaxBytes)) // alone
	is.True(!b.Start(1))
	b.Done(rowfetch.MaxBytes)
	is.True(b.Start(1 << 20))
	is.True(b.Start(1 << 20))
	is.True(!b.Start(1))
	b.Done(1 << 20)
	is.True(b.Start(1))
}
