package announce_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/upstream/announce"
)

const validAnnouncement = `{"service":"bookings","organisation":"attire","address":"127.0.1.1:9000",` +
	`"slots":12,"connections":110,"fencing":"epoch","coldStartMillis":500}`

// Guards against an invalid announcement that is accepted in part, and against
// reporting only the first of several problems.
func TestParseAnnouncement(t *testing.T) {
	is := is.New(t)
	parsed, err := announce.ParseAnnouncement([]byte(validAnnouncement))
	is.NoErr(err)
	is.Equal(parsed, announce.Announcement{
		Service: "bookings", Organisation: "attire", Address: "127.0.1.1:9000",
		Slots: 12, Connections: 110, Fencing: "epoch", ColdStartMillis: 500,
	})
	for body, want := range map[string][]string{
		`[]`:                     {"body: not a JSON object"},
		`null`:                   {"body: not a JSON object"},
		validAnnouncement + "{}": {"body: text after the JSON object"},
		`{"service":"a/b","organisation":"","address":"localhost:1","slots":0,"connections":"1","fencing":"all","coldStartMillis":-1,"Slots":1}`: {
			`connections: found "1", of the wrong type`,
			"Slots: unknown field",
			`service: found "a/b", allowed a name without slash`,
			`organisation: found "", allowed a name without slash`,
			`address: found "localhost:1", allowed IP:PORT`,
			"slots: found 0, allowed 1 or more",
			`fencing: found "all", allowed epoch, deadline or none`,
			"coldStartMillis: found -1, allowed 0 or more",
		},
	} {
		_, err := announce.ParseAnnouncement([]byte(body))
		var found *announce.ValidationError
		is.True(errors.As(err, &found))
		is.Equal(found.Problems(), want)
	}
	_, err = announce.ParseDrain([]byte(`{"service":null,"address":"1.2.3.4:0"}`))
	var found *announce.ValidationError
	is.True(errors.As(err, &found))
	is.Equal(found.Problems(), []string{
		"service: found null, of the wrong type", "organisation: missing", `address: found "1.2.3.4:0", allowed IP:PORT`,
	})
}
