package keyspace

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
)

// maxEncoded bounds the decoded size of a division in bytes: 50 holders with
// MaxRanges ranges of 40 bytes, and room.
const maxEncoded = 1 << 20

type encodedWitness struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	PeerAddress string               `json:"peerAddress"`
}

type encodedHolder struct {
	Instance      string               `json:"instance"`
	PeerAddress   string               `json:"peerAddress"`
	Region        string               `json:"region"`
	FailureDomain string               `json:"failureDomain"`
	Incarnation   identity.Incarnation `json:"incarnation"`
	Generation    uint64               `json:"generation"`
	Witnesses     []encodedWitness     `json:"witnesses"`
	LifeID        string               `json:"lifeId"`
	LifeBorn      int64                `json:"lifeBorn"`
	Slots         int                  `json:"slots"`
	Leaving       bool                 `json:"leaving,omitempty"`
}

type encodedRange struct {
	Last     Key            `json:"l"`
	Owner    int            `json:"o"`
	Epoch    identity.Epoch `json:"e"`
	Next     int            `json:"n,omitempty"`
	Handover string         `json:"h,omitempty"`
}

type encodedDivision struct {
	Epoch   identity.Epoch  `json:"epoch"`
	Holders []encodedHolder `json:"holders"`
	// Ranges name holders by their position from 1, 0 for none.
	Ranges []encodedRange `json:"ranges"`
}

// Encode returns the form that the table keeps: compressed JSON.
func (d Division) Encode() ([]byte, error) {
	e := encodedDivision{Epoch: d.epoch}
	for _, h := range d.holders {
		e.Holders = append(e.Holders, h.encode())
	}
	for _, r := range d.ranges {
		e.Ranges = append(e.Ranges, encodedRange{
			Last: r.last, Owner: d.number(r.owner), Epoch: r.epoch, Next: d.number(r.next), Handover: r.handover,
		})
	}
	text, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func (h Holder) encode() encodedHolder {
	instance := h.lease.Instance()
	e := encodedHolder{
		Instance: instance.Name(), PeerAddress: instance.PeerAddress(),
		Region: instance.Location().Region(), FailureDomain: instance.Location().FailureDomain(),
		Incarnation: h.lease.Incarnation(), Generation: h.lease.Generation(),
		LifeID: h.life.id, LifeBorn: h.life.born, Slots: h.slots, Leaving: h.leaving,
	}
	for _, w := range h.lease.Witnesses() {
		e.Witnesses = append(e.Witnesses, encodedWitness{Incarnation: w.Incarnation(), PeerAddress: w.PeerAddress()})
	}
	return e
}

// number returns the position of a holder from 1, or 0.
func (d Division) number(name string) int {
	if i, ok := d.position(name); ok {
		return i + 1
	}
	return 0
}

// DecodeError reports a division that can't be read.
type DecodeError struct{ cause error }

func (e *DecodeError) Error() string { return "division can't be read: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.cause }

// Decode reads what Encode returned. The error is a *DecodeError.
func Decode(data []byte) (Division, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxEncoded))
	if err != nil {
		return Division{}, &DecodeError{cause: err}
	}
	var e encodedDivision
	if err := json.Unmarshal(text, &e); err != nil {
		return Division{}, &DecodeError{cause: err}
	}
	d := Division{epoch: e.Epoch}
	for _, h := range e.Holders {
		d.holders = append(d.holders, h.decode())
	}
	name := func(number int) string {
		if number < 1 || number > len(d.holders) {
			return ""
		}
		return d.holders[number-1].Name()
	}
	first := 0
	for _, r := range e.Ranges {
		if int(r.Last) < first {
			return Division{}, &DecodeError{cause: fmt.Errorf("range to %d begins at %d", r.Last, first)}
		}
		d.ranges = append(d.ranges, Range{
			Span: NewSpan(Key(first), r.Last), owner: name(r.Owner), epoch: r.Epoch, next: name(r.Next), handover: r.Handover,
		})
		first = int(r.Last) + 1
	}
	if len(d.ranges) > 0 && first != int(LastKey)+1 {
		return Division{}, &DecodeError{cause: fmt.Errorf("ranges end at %d", first-1)}
	}
	return d, nil
}

func (e encodedHolder) decode() Holder {
	witnesses := make([]membership.Witness, 0, len(e.Witnesses))
	for _, w := range e.Witnesses {
		witnesses = append(witnesses, membership.NewWitness(w.Incarnation, w.PeerAddress))
	}
	location := identity.NewLocation(e.Region, e.FailureDomain)
	instance := membership.NewInstance(e.Instance, "", e.PeerAddress, location)
	lease := membership.Restore(e.Incarnation, instance, e.Generation, witnesses)
	return Holder{lease: lease, life: NewLife(e.LifeID, e.LifeBorn), slots: e.Slots, leaving: e.Leaving}
}
