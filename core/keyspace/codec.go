package keyspace

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"

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

// columnsFormat is the first byte of the decompressed columns, in place of the "{" of the
// JSON that earlier builds wrote.
const columnsFormat = 2

// rangesJSON holds the ranges in ascending order, with one column per attribute, as earlier
// builds wrote them.
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

// Encode returns the assignment as the table stores it: compressed, with the holders one
// after another and then one column per attribute of the ranges, since equal adjacent values
// compress well. Numbers have a variable length. Every daemon decodes every change, so
// decoding must be cheap.
func (a Assignment) Encode() ([]byte, error) {
	data := binary.AppendUvarint([]byte{columnsFormat}, uint64(len(a.holders)))
	positions := make(map[string]uint64, len(a.holders))
	for i, h := range a.holders {
		data = h.appendColumns(data)
		positions[h.InstanceName()] = uint64(i + 1) //nolint:gosec // A position is not negative.
	}
	data = binary.AppendUvarint(data, uint64(a.epoch))
	data = binary.AppendUvarint(data, uint64(len(a.ranges)))
	for _, r := range a.ranges {
		data = binary.AppendUvarint(data, uint64(r.last-r.first)+1)
	}
	for _, r := range a.ranges {
		data = binary.AppendUvarint(data, positions[r.owner])
	}
	for _, r := range a.ranges {
		data = binary.AppendUvarint(data, positions[r.nextOwner])
	}
	var epoch identity.Epoch
	for _, r := range a.ranges {
		data = binary.AppendVarint(data, int64(r.epoch)-int64(epoch)) //nolint:gosec // An epoch counts changes and stays far below 2^63.
		epoch = r.epoch
	}
	for i, r := range a.ranges {
		if r.handoverToken != "" {
			data = binary.AppendUvarint(data, uint64(i)) //nolint:gosec // An index is not negative.
			data = appendBytes(data, []byte(r.handoverToken))
		}
	}
	compressed, err := compress(data)
	if err != nil || a.era == 0 {
		return compressed, err
	}
	return append(a.appendEra([]byte{eraMarker}), compressed...), nil
}

// appendColumns appends the attributes of a holder.
func (h Holder) appendColumns(data []byte) []byte {
	instance := h.member.Instance()
	for _, text := range []string{instance.Name(), instance.PeerAddress(), instance.Location().Region(), instance.Location().FailureDomain(), h.process.id} {
		data = appendBytes(data, []byte(text))
	}
	leaving := uint64(0)
	if h.leaving {
		leaving = 1
	}
	data = binary.AppendVarint(data, h.process.startUnixMillis)
	for _, number := range []uint64{
		uint64(h.member.Incarnation()), h.member.WitnessGeneration(),
		uint64(max(h.slots, 0)), leaving, h.moveGeneration, uint64(len(h.member.Witnesses())), //nolint:gosec // None is negative.
	} {
		data = binary.AppendUvarint(data, number)
	}
	for _, w := range h.member.Witnesses() {
		data = appendBytes(binary.AppendUvarint(data, uint64(w.Incarnation())), []byte(w.PeerAddress()))
	}
	return data
}

// holder reads the attributes that appendColumns appended.
func (c *columnReader) holder() Holder {
	name, peerAddress := string(c.bytes()), string(c.bytes())
	location := identity.NewLocation(string(c.bytes()), string(c.bytes()))
	process := NewProcess(string(c.bytes()), c.varint())
	incarnation, generation := identity.Incarnation(c.uvarint()), c.uvarint()
	h := Holder{process: process, slots: int(c.uvarint()), leaving: c.uvarint() != 0, moveGeneration: c.uvarint()} //nolint:gosec // It was encoded from an int.
	count := c.count()
	witnesses := make([]membership.Witness, 0, count)
	for range count {
		witnesses = append(witnesses, membership.NewWitness(identity.Incarnation(c.uvarint()), string(c.bytes())))
	}
	h.member = membership.RestoreMember(incarnation, membership.NewInstance(name, "", peerAddress, location), generation, witnesses)
	return h
}

// count reads a number of elements, each of which takes a byte or more.
func (c *columnReader) count() int {
	count := c.uvarint()
	if c.err != nil || count > uint64(len(c.rest)) {
		c.err = errTruncatedColumns
		return 0
	}
	return int(count) //nolint:gosec // It is at most the length of a slice.
}

// appendBytes appends the length of the bytes and the bytes.
func appendBytes(data, bytes []byte) []byte {
	return append(binary.AppendUvarint(data, uint64(len(bytes))), bytes...)
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
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

// Decode decodes an assignment that Encode encoded, or that an earlier build encoded as
// JSON. The error is a *DecodeError.
func Decode(data []byte) (Assignment, error) {
	if len(data) > 0 && data[0] == eraMarker {
		c := &columnReader{rest: data[1:]}
		var written Assignment
		if c.readEra(&written); c.err != nil {
			return Assignment{}, &DecodeError{cause: c.err}
		}
		a, err := decodeCompressed(c.rest)
		a.era, a.epochFloor, a.unsettled = written.era, written.epochFloor, written.unsettled
		return a, err
	}
	return decodeCompressed(data)
}

func decodeCompressed(data []byte) (Assignment, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes))
	if err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	var a Assignment
	if len(text) > 0 && text[0] == columnsFormat {
		a, err = decodeColumns(text[1:])
	} else {
		a, err = decodeJSON(text)
	}
	if err != nil {
		return Assignment{}, &DecodeError{cause: err}
	}
	return a, nil
}

func decodeJSON(text []byte) (Assignment, error) {
	var e assignmentJSON
	if err := json.Unmarshal(text, &e); err != nil {
		return Assignment{}, err
	}
	a := Assignment{epoch: e.Epoch, holders: decodeHolders(e.Holders)}
	var err error
	a.ranges, err = e.Ranges.decode(a)
	return a, err
}

func decodeHolders(encoded []holderJSON) []Holder {
	holders := make([]Holder, 0, len(encoded))
	for _, h := range encoded {
		holders = append(holders, h.decode())
	}
	return holders
}

var errTruncatedColumns = errors.New("columns of the ranges are truncated or invalid")

// columnReader reads the variable-length integers and texts of columns. After the first
// error, all reads return zero values.
type columnReader struct {
	rest []byte
	err  error
}

func (c *columnReader) uvarint() uint64 {
	value, n := binary.Uvarint(c.rest)
	return skipNumber(c, value, n)
}

func (c *columnReader) varint() int64 {
	value, n := binary.Varint(c.rest)
	return skipNumber(c, value, n)
}

// skipNumber moves behind a number of n bytes and returns its value.
func skipNumber[T uint64 | int64](c *columnReader, value T, n int) T {
	if c.err != nil || n <= 0 {
		c.err = errTruncatedColumns
		return 0
	}
	c.rest = c.rest[n:]
	return value
}

func (c *columnReader) bytes() []byte {
	length := c.uvarint()
	if c.err != nil || length > uint64(len(c.rest)) {
		c.err = errTruncatedColumns
		return nil
	}
	text := c.rest[:length]
	c.rest = c.rest[length:]
	return text
}

func decodeColumns(data []byte) (Assignment, error) {
	c := &columnReader{rest: data}
	holderCount := c.count()
	a := Assignment{holders: make([]Holder, 0, holderCount)}
	for range holderCount {
		a.holders = append(a.holders, c.holder())
	}
	a.epoch = identity.Epoch(c.uvarint())
	count := c.count()
	if c.err != nil {
		return Assignment{}, c.err
	}
	a.ranges = make([]Range, count)
	if err := c.readLengths(a.ranges); err != nil {
		return Assignment{}, err
	}
	for i := range a.ranges {
		a.ranges[i].owner = a.instanceAt(c.uvarint())
	}
	for i := range a.ranges {
		a.ranges[i].nextOwner = a.instanceAt(c.uvarint())
	}
	epoch := int64(0)
	for i := range a.ranges {
		epoch += c.varint()
		a.ranges[i].epoch = identity.Epoch(epoch) //nolint:gosec // The sum was encoded from an epoch.
	}
	for c.err == nil && len(c.rest) > 0 {
		i, token := c.uvarint(), c.bytes()
		if c.err == nil && i < uint64(count) { //nolint:gosec // A count is not negative.
			a.ranges[i].handoverToken = string(token)
		}
	}
	return a, c.err
}

// readLengths sets the spans of the ranges, which must cover all keys if there are any.
func (c *columnReader) readLengths(ranges []Range) error {
	first := uint64(0)
	for i := range ranges {
		length := c.uvarint()
		end := first + length
		if c.err != nil || length < 1 || length > uint64(LastKey)+1 || end > uint64(LastKey)+1 {
			return fmt.Errorf("range from key %d has an invalid length of %d keys", first, length)
		}
		ranges[i].Span = NewSpan(Key(first), Key(end-1))
		first = end
	}
	if len(ranges) > 0 && first != uint64(LastKey)+1 {
		return fmt.Errorf("ranges end before key %d instead of after the last key", first)
	}
	return nil
}

// instanceAt returns the instance of the holder at a position counted from 1, or "".
func (a Assignment) instanceAt(position uint64) string {
	if position < 1 || position > uint64(len(a.holders)) {
		return ""
	}
	return a.holders[position-1].InstanceName()
}

func (e rangesJSON) decode(a Assignment) ([]Range, error) {
	count := len(e.Lengths)
	if len(e.Owners) != count || len(e.NextOwners) != count || len(e.Epochs) != count {
		return nil, fmt.Errorf("columns of the ranges differ in length: %d lengths, %d owners, %d nexts and %d epochs", count, len(e.Owners), len(e.NextOwners), len(e.Epochs))
	}
	ranges := make([]Range, 0, count)
	first, epoch := 0, int64(0)
	for i, length := range e.Lengths {
		end := first + length
		if length < 1 || length > int(LastKey)+1 || end > int(LastKey)+1 {
			return nil, fmt.Errorf("range from key %d has an invalid length of %d keys", first, length)
		}
		epoch += e.Epochs[i]
		ranges = append(ranges, Range{
			Span: NewSpan(Key(first), Key(end-1)), owner: a.instanceAt(uint64(max(e.Owners[i], 0))), epoch: identity.Epoch(epoch), //nolint:gosec // The sum was encoded from an epoch.
			nextOwner: a.instanceAt(uint64(max(e.NextOwners[i], 0))), handoverToken: e.HandoverTokens[i],
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
