package peercodec_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/peer/peercodec"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
)

func drawMessages(t *rapid.T) []peer.Message {
	number := func(name string) uint64 { return uint64(rapid.Uint32().Draw(t, name)) }
	text := rapid.StringMatching("[a-z]{1,8}").Draw(t, "text")
	service := identity.NewService(text, "s")
	row := table.NewRow(text, table.Revision(number("version")), []byte(text))
	result := peer.RenewResult(rapid.IntRange(0, 2).Draw(t, "result"))
	units := []peer.UnitLoad{
		peer.NewUnitLoad(shard.ID(number("shard")), "", clock.Millis(number("busy")), number("requests")),
		peer.NewUnitLoad(3, text, 4, 5),
	}
	return []peer.Message{
		peer.NewRenew(number("generation"), number("sequence"), table.Revision(number("revision"))),
		peer.NewRenewReply(number("generation"), number("sequence"), result, table.Revision(number("revision"))),
		peer.NewLapseQuery(identity.Incarnation(number("holder")), number("generation")),
		peer.NewLapseReply(identity.Incarnation(number("holder")), number("generation"), rapid.Bool().Draw(t, "lapsed")),
		peer.NewSync(table.Revision(number("revision"))),
		peer.NewSyncReply(table.Revision(number("since")), table.Revision(number("revision")), []table.Row{row}),
		peer.NewHandover(service, []peer.HandoverTarget{peer.NewHandoverTarget(shard.ID(number("shard")), text, identity.Incarnation(number("target")))}),
		peer.NewLoadReport(service, clock.Millis(number("interval")), clock.Millis(number("busy")), 12, units),
		peer.NewOtherIncarnation(identity.Incarnation(number("asked"))),
	}
}

// TestEncodeDecodeRoundTrip guards against fields that are lost or swapped in the
// wire form.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		for _, m := range drawMessages(t) {
			e := peer.NewEnvelope(1, identity.Incarnation(rapid.Uint64().Draw(t, "to")), "127.0.0.1:1", m)
			bytes, err := proto.Marshal(peercodec.Encode(e))
			is.NoErr(err)
			var wire peerpb.Envelope
			is.NoErr(proto.Unmarshal(bytes, &wire))
			decoded, err := peercodec.Decode(&wire)
			is.NoErr(err)
			is.Equal(decoded, e)
		}
	})
}

// TestDecodeRejectsInvalidEnvelope guards against accepting an envelope without a
// sender or a message, and against treating a fenced reply as a grant.
func TestDecodeRejectsInvalidEnvelope(t *testing.T) {
	is := is.New(t)
	var failure *peercodec.DecodeError
	_, err := peercodec.Decode(&peerpb.Envelope{From: 1})
	is.True(errors.As(err, &failure))
	_, err = peercodec.Decode(&peerpb.Envelope{Message: &peerpb.Envelope_Sync{Sync: &peerpb.Sync{}}})
	is.True(errors.As(err, &failure))
	grantedAndFenced := &peerpb.RenewReply{Granted: true, Fenced: true}
	e, err := peercodec.Decode(&peerpb.Envelope{From: 1, Message: &peerpb.Envelope_RenewReply{RenewReply: grantedAndFenced}})
	is.NoErr(err)
	is.Equal(e.Message().(peer.RenewReply).Result(), peer.RenewFenced)
}
