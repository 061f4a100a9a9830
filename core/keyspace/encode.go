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

// maxDecodedBytes bounds the decoded size of a division in bytes: 50 holders with
// MaxRanges ranges of 40 bytes, and room.
const maxDecodedBytes = 1 << 20

type witnessJSON struct {
	Incarnation identity.Incarnation `json:"incarnation"`
	PeerAddress string               `json:"peerAddress"`
}

type holderJSON struct {
	Instance          string               `json:"instance"`
	PeerAddress       string               `json:"peerAddress"`
	Region            string               `json:"region"`
	FailureDomain     string               `json:"failureDomain"`
	Incarnation       identity.Incarnation `json:"incarnation"`
	WitnessGeneration uint64               `json:"generation"`
	Witnesses         []witnessJSON        `json:"witnesses"`
	UpstreamID        string               `json:"lifeId"`
	StartUnixMillis   int64                `json:"lifeBorn"`
	Slots             int                  `json:"slots"`
	Leaving           bool                 `json:"leaving,omitempty"`
}

// rangesJSON are the ranges in ascending order, a column for each of their parts:
// equal neighbours compress well.
type rangesJSON struct {
	// Lengths are the numbers of keys.
	Lengths []int `json:"lengths"`
	// Owners and Nexts name holders by their position from 1, 0 for none.
	Owners     []int `json:"owners"`
	NextOwners []int `json:"nexts"`
	// Epochs are differences from the range before.
	Epochs []int64 `json:"epochs"`
	// HandoverTokens are those that are not empty, by position.
	HandoverTokens map[int]string `json:"handovers,omitempty"`
}

type assignmentJSON struct {
	Epoch   identity.Epoch `json:"epoch"`
	Holders []holderJSON   `json:"holders"`
	Ranges  rangesJSON     `json:"ranges"`
}

// Encode returns the form that the table keeps: compressed JSON.
func (d Assignment) Encode() ([]byte, error) {
	e := assignmentJSON{Epoch: d.epoch, Ranges: d.encodeRanges()}
	for _, h := range d.holders {
		e.Holders = append(e.Holders, h.encode())
	}
	text, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
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

func (d Assignment) encodeRanges() rangesJSON {
	numbers := make(map[string]int, len(d.holders))
	for i, h := range d.holders {
		numbers[h.InstanceName()] = i + 1
	}
	var e rangesJSON
	var epoch identity.Epoch
	for i, r := range d.ranges {
		e.Lengths = append(e.Lengths, int(r.last)-int(r.first)+1)
		e.Owners = append(e.Owners, numbers[r.owner])
		e.NextOwners = append(e.NextOwners, numbers[r.nextOwner])
		e.Epochs = append(e.Epochs, int64(r.epoch)-int64(epoch)) //nolint:gosec // Epochs count changes.
		epoch = r.epoch
		if r.handoverToken != "" {
			if e.HandoverTokens == nil {
				e.HandoverTokens = make(map[int]string)
			}
			e.HandoverTokens[i] = r.handoverToken
		}
	}
	return e
}

func (h Holder) encode() holderJSON {
	instance := h.member.Instance()
	e := holderJSON{
		Instance: instance.Name(), PeerAddress: instance.PeerAddress(),
		Region: instance.Location().Region(), FailureDomain: instance.Location().FailureDomain(),
		Incarnation: h.member.Incarnation(), WitnessGeneration: h.member.WitnessGeneration(),
		UpstreamID: h.process.id, StartUnixMillis: h.process.startUnixMillis, Slots: h.slots, Leaving: h.leaving,
	}
	for _, w := range h.member.Witnesses() {
		e.Witnesses = append(e.Witnesses, witnessJSON{Incarnation: w.Incarnation(), PeerAddress: w.PeerAddress()})
	}
	return e
}

// EncodeHolder returns a holder as messages between daemons carry it.
func EncodeHolder(h Holder) ([]byte, error) { return json.Marshal(h.encode()) }

// DecodeHolder reads what EncodeHolder returned. The error is a *DecodeError.
func DecodeHolder(data []byte) (Holder, error) {
	var e holderJSON
	if err := json.Unmarshal(data, &e); err != nil {
		return Holder{}, &DecodeError{cause: err}
	}
	if e.Instance == "" || e.UpstreamID == "" || len(e.Witnesses) == 0 {
		return Holder{}, &DecodeError{cause: fmt.Errorf("holder %q of life %q has %d witnesses", e.Instance, e.UpstreamID, len(e.Witnesses))}
	}
	return e.decode(), nil
}

// DecodeError reports a division or holder that can't be read.
type DecodeError struct{ cause error }

func (e *DecodeError) Error() string { return "division or holder can't be read: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.cause }

// Decode reads what Encode returned. The error is a *DecodeError.
func Decode(data []byte) (Assignment, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes))
	if err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	var e assignmentJSON
	if err := json.Unmarshal(text, &e); err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	d := Assignment{epoch: e.Epoch}
	for _, h := range e.Holders {
		d.holders = append(d.holders, h.decode())
	}
	if d.ranges, err = e.Ranges.decode(d.holders); err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	return d, nil
}

func (e rangesJSON) decode(holders []Holder) ([]Range, error) {
	count := len(e.Lengths)
	if len(e.Owners) != count || len(e.NextOwners) != count || len(e.Epochs) != count {
		return nil, fmt.Errorf("ranges have columns of %d, %d, %d and %d", count, len(e.Owners), len(e.NextOwners), len(e.Epochs))
	}
	name := func(number int) string {
		if number < 1 || number > len(holders) {
			return ""
		}
		return holders[number-1].InstanceName()
	}
	ranges := make([]Range, 0, count)
	first, epoch := 0, int64(0)
	for i, length := range e.Lengths {
		end := first + length
		if length < 1 || end > int(LastKey)+1 {
			return nil, fmt.Errorf("range from %d has %d keys", first, length)
		}
		epoch += e.Epochs[i]
		ranges = append(ranges, Range{
			Span: NewSpan(Key(first), Key(end-1)), owner: name(e.Owners[i]), epoch: identity.Epoch(epoch), //nolint:gosec // It was encoded from one.
			nextOwner: name(e.NextOwners[i]), handoverToken: e.HandoverTokens[i],
		})
		first = end
	}
	if count > 0 && first != int(LastKey)+1 {
		return nil, fmt.Errorf("ranges end at %d", first-1)
	}
	return ranges, nil
}

func (e holderJSON) decode() Holder {
	witnesses := make([]membership.Witness, 0, len(e.Witnesses))
	for _, w := range e.Witnesses {
		witnesses = append(witnesses, membership.NewWitness(w.Incarnation, w.PeerAddress))
	}
	location := identity.NewLocation(e.Region, e.FailureDomain)
	instance := membership.NewInstance(e.Instance, "", e.PeerAddress, location)
	lease := membership.RestoreMember(e.Incarnation, instance, e.WitnessGeneration, witnesses)
	return Holder{member: lease, process: NewProcess(e.UpstreamID, e.StartUnixMillis), slots: e.Slots, leaving: e.Leaving}
}
