package membership

import (
	"encoding/json"
	"fmt"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/upstream"
)

// KeyPrefix is the prefix of the keys of member rows.
const KeyPrefix = "member/"

// Key returns the table key of a member's row.
func Key(incarnation identity.Incarnation) string {
	return KeyPrefix + incarnation.String()
}

type memberJSON struct {
	Incarnation       identity.Incarnation `json:"incarnation"`
	Instance          string               `json:"instance"`
	Region            string               `json:"region"`
	FailureDomain     string               `json:"failureDomain"`
	HTTPAddress       string               `json:"httpAddress"`
	PeerAddress       string               `json:"peerAddress"`
	Organisation      string               `json:"organisation,omitempty"`
	Service           string               `json:"service,omitempty"`
	Slots             int                  `json:"slots,omitempty"`
	Connections       int                  `json:"connections,omitempty"`
	Fencing           upstream.Fencing     `json:"fencing,omitempty"`
	ColdStartMillis   clock.Millis         `json:"coldStartMillis,omitempty"`
	State             State                `json:"state"`
	WitnessGeneration uint64               `json:"witnessGeneration"`
	Witnesses         []witnessJSON        `json:"witnesses"`
}

type witnessJSON struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	PeerAddress string               `json:"peerAddress"`
}

// Encode returns the row value of m.
func Encode(m Member) []byte {
	row := memberJSON{
		Incarnation:       m.incarnation,
		Instance:          m.instance.name,
		Region:            m.instance.location.Region(),
		FailureDomain:     m.instance.location.FailureDomain(),
		HTTPAddress:       m.instance.httpAddress,
		PeerAddress:       m.instance.peerAddress,
		Organisation:      m.announcement.service.Organisation(),
		Service:           m.announcement.service.Name(),
		Slots:             m.announcement.slots,
		Connections:       m.announcement.connections,
		Fencing:           m.announcement.fencing,
		ColdStartMillis:   m.announcement.coldStart,
		State:             m.state,
		WitnessGeneration: m.witnessGeneration,
		Witnesses:         make([]witnessJSON, 0, len(m.witnesses)),
	}
	for _, w := range m.witnesses {
		row.Witnesses = append(row.Witnesses, witnessJSON{Incarnation: w.incarnation, PeerAddress: w.peerAddress})
	}
	value, err := json.Marshal(row)
	if err != nil {
		// A memberJSON holds only strings and integers, so encoding can't fail.
		panic(err)
	}
	return value
}

// Decode decodes a row value that Encode returned. It returns a *RowError if the value
// is not a member row or belongs under another key.
func Decode(key string, value []byte) (Member, error) {
	var row memberJSON
	if err := json.Unmarshal(value, &row); err != nil {
		return Member{}, &RowError{key: key, cause: err}
	}
	if Key(row.Incarnation) != key {
		return Member{}, &RowError{key: key, cause: fmt.Errorf("the row belongs to incarnation %s", row.Incarnation)}
	}
	witnesses := make([]Witness, 0, len(row.Witnesses))
	for _, w := range row.Witnesses {
		witnesses = append(witnesses, NewWitness(w.Incarnation, w.PeerAddress))
	}
	location := identity.NewLocation(row.Region, row.FailureDomain)
	return Member{
		incarnation:       row.Incarnation,
		instance:          NewInstance(row.Instance, row.HTTPAddress, row.PeerAddress, location),
		announcement:      NewAnnouncement(identity.NewService(row.Organisation, row.Service), row.Slots, row.Connections, row.Fencing, row.ColdStartMillis),
		state:             row.State,
		witnessGeneration: row.WitnessGeneration,
		witnesses:         witnesses,
	}, nil
}

// IsKey reports whether key is the key of a member row.
func IsKey(key string) bool { return strings.HasPrefix(key, KeyPrefix) }

// RowError reports a member row that can't be decoded.
type RowError struct {
	key   string
	cause error
}

// Key returns the key of the row.
func (e *RowError) Key() string { return e.key }

func (e *RowError) Error() string { return fmt.Sprintf("decode member row %q: %v", e.key, e.cause) }

func (e *RowError) Unwrap() error { return e.cause }
