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

// maxDecodedBytes bounds the decompressed size of an assignment. It has room for more
// than 50 holders with MaxRangesPerHolder ranges of 40 bytes each.
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

// rangesJSON holds the ranges in ascending order, with one column per attribute, since
// equal adjacent values compress well.
type rangesJSON struct {
	// Lengths holds the number of keys of each range.
	Lengths []int `json:"lengths"`
	// Owners and NextOwners hold positions in the list of holders, counted from 1; 0
	// means none.
	Owners     []int `json:"owners"`
	NextOwners []int `json:"nexts"`
	// Epochs holds the difference from the epoch of the preceding range.
	Epochs []int64 `json:"epochs"`
	// HandoverTokens holds the tokens that are not empty, by range index.
	HandoverTokens map[int]string `json:"handovers,omitempty"`
}

type assignmentJSON struct {
	Epoch   identity.Epoch `json:"epoch"`
	Holders []holderJSON   `json:"holders"`
	Ranges  rangesJSON     `json:"ranges"`
}

// Encode returns the assignment as the table stores it, as compressed JSON.
func (a Assignment) Encode() ([]byte, error) {
	e := assignmentJSON{Epoch: a.epoch, Ranges: a.encodeRanges()}
	for _, h := range a.holders {
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

func (a Assignment) encodeRanges() rangesJSON {
	positions := make(map[string]int, len(a.holders))
	for i, h := range a.holders {
		positions[h.InstanceName()] = i + 1
	}
	var e rangesJSON
	var epoch identity.Epoch
	for i, r := range a.ranges {
		e.Lengths = append(e.Lengths, int(r.last)-int(r.first)+1)
		e.Owners = append(e.Owners, positions[r.owner])
		e.NextOwners = append(e.NextOwners, positions[r.nextOwner])
		e.Epochs = append(e.Epochs, int64(r.epoch)-int64(epoch)) //nolint:gosec // An epoch counts changes and stays far below 2^63.
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

// EncodeHolder encodes a holder for messages between daemons.
func EncodeHolder(h Holder) ([]byte, error) { return json.Marshal(h.encode()) }

// DecodeHolder decodes a holder that EncodeHolder encoded. The error is a
// *DecodeError.
func DecodeHolder(data []byte) (Holder, error) {
	var e holderJSON
	if err := json.Unmarshal(data, &e); err != nil {
		return Holder{}, &DecodeError{cause: err}
	}
	if e.Instance == "" || e.UpstreamID == "" || len(e.Witnesses) == 0 {
		return Holder{}, &DecodeError{cause: fmt.Errorf("holder on instance %q with upstream ID %q and %d witnesses is incomplete", e.Instance, e.UpstreamID, len(e.Witnesses))}
	}
	return e.decode(), nil
}

// DecodeError reports a key assignment or a holder that can't be decoded.
type DecodeError struct{ cause error }

func (e *DecodeError) Error() string { return "decode key assignment or holder: " + e.cause.Error() }

func (e *DecodeError) Unwrap() error { return e.cause }

// Decode decodes an assignment that Encode encoded. The error is a *DecodeError.
func Decode(data []byte) (Assignment, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes))
	if err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	var e assignmentJSON
	if err := json.Unmarshal(text, &e); err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	a := Assignment{epoch: e.Epoch}
	for _, h := range e.Holders {
		a.holders = append(a.holders, h.decode())
	}
	if a.ranges, err = e.Ranges.decode(a.holders); err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	return a, nil
}

func (e rangesJSON) decode(holders []Holder) ([]Range, error) {
	count := len(e.Lengths)
	if len(e.Owners) != count || len(e.NextOwners) != count || len(e.Epochs) != count {
		return nil, fmt.Errorf("columns of the ranges differ in length: %d lengths, %d owners, %d nexts and %d epochs", count, len(e.Owners), len(e.NextOwners), len(e.Epochs))
	}
	instance := func(position int) string {
		if position < 1 || position > len(holders) {
			return ""
		}
		return holders[position-1].InstanceName()
	}
	ranges := make([]Range, 0, count)
	first, epoch := 0, int64(0)
	for i, length := range e.Lengths {
		end := first + length
		if length < 1 || end > int(LastKey)+1 {
			return nil, fmt.Errorf("range from key %d has an invalid length of %d keys", first, length)
		}
		epoch += e.Epochs[i]
		ranges = append(ranges, Range{
			Span: NewSpan(Key(first), Key(end-1)), owner: instance(e.Owners[i]), epoch: identity.Epoch(epoch), //nolint:gosec // The sum was encoded from an epoch.
			nextOwner: instance(e.NextOwners[i]), handoverToken: e.HandoverTokens[i],
		})
		first = end
	}
	if count > 0 && first != int(LastKey)+1 {
		return nil, fmt.Errorf("ranges end at key %d instead of the last key", first-1)
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
	member := membership.RestoreMember(e.Incarnation, instance, e.WitnessGeneration, witnesses)
	return Holder{member: member, process: NewProcess(e.UpstreamID, e.StartUnixMillis), slots: e.Slots, leaving: e.Leaving}
}
