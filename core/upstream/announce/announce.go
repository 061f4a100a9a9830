// Package announce defines the JSON bodies with which an upstream announces itself to
// the daemon of its instance, and parses them strictly.
package announce

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sort"
	"strings"

	"briarwell.dev/core/upstream"
)

// HTTP paths at the daemon's local address; both accept POST.
const (
	PathAnnounce = "/briarwell/announce"
	PathDrain    = "/briarwell/drain"
)

// Announcement is the body of PathAnnounce.
type Announcement struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	// Address is the IP:PORT at which the upstream accepts requests.
	Address         string           `json:"address"`
	Slots           int              `json:"slots"`
	Connections     int              `json:"connections"`
	Fencing         upstream.Fencing `json:"fencing"`
	ColdStartMillis int64            `json:"coldStartMillis"`
}

// Drain is the body of PathDrain. It says that the upstream at Address is shutting down.
type Drain struct {
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	Address      string `json:"address"`
}

// Accepted is the body of a response with status 200 to either path.
type Accepted struct {
	Instance string `json:"instance"`
}

// Rejected is the body of a response with status 400 or 409 to either path.
type Rejected struct {
	Problems []string `json:"problems"`
}

// ValidationError lists all problems of a rejected body.
type ValidationError struct {
	problems []string
}

// Problems returns a text for each problem, which begins with the name of the field.
// Callers must not modify the slice.
func (e *ValidationError) Problems() []string { return e.problems }

func (e *ValidationError) Error() string {
	return "invalid body: " + strings.Join(e.problems, "; ")
}

// ParseAnnouncement parses body. It returns a *ValidationError with all problems if a
// field is missing, unknown, repeated in another letter case or out of range.
func ParseAnnouncement(body []byte) (Announcement, error) {
	var parsed Announcement
	fields := []field{
		{name: "service", target: &parsed.Service, required: true},
		{name: "organisation", target: &parsed.Organisation, required: true},
		{name: "address", target: &parsed.Address, required: true},
		{name: "slots", target: &parsed.Slots, required: true},
		{name: "connections", target: &parsed.Connections, required: true},
		{name: "fencing", target: &parsed.Fencing, required: true},
		{name: "coldStartMillis", target: &parsed.ColdStartMillis},
	}
	problems, invalid := parseObject(body, fields)
	check := func(name string, ok bool, found any, allowed string) {
		if !ok && !invalid[name] {
			problems = append(problems, fmt.Sprintf("%s: found %v, allowed %s", name, found, allowed))
		}
	}
	checkUpstreamIdentity(check, parsed.Service, parsed.Organisation, parsed.Address)
	check("slots", parsed.Slots >= 1, parsed.Slots, "1 or more")
	check("connections", parsed.Connections >= 1, parsed.Connections, "1 or more")
	check("fencing", isKnownFencing(parsed.Fencing), fmt.Sprintf("%q", parsed.Fencing), "epoch, deadline or none")
	check("coldStartMillis", parsed.ColdStartMillis >= 0, parsed.ColdStartMillis, "0 or more")
	if len(problems) > 0 {
		return Announcement{}, &ValidationError{problems: problems}
	}
	return parsed, nil
}

// ParseDrain parses body. It returns a *ValidationError with all problems if the body
// is invalid.
func ParseDrain(body []byte) (Drain, error) {
	var parsed Drain
	fields := []field{
		{name: "service", target: &parsed.Service, required: true},
		{name: "organisation", target: &parsed.Organisation, required: true},
		{name: "address", target: &parsed.Address, required: true},
	}
	problems, invalid := parseObject(body, fields)
	check := func(name string, ok bool, found any, allowed string) {
		if !ok && !invalid[name] {
			problems = append(problems, fmt.Sprintf("%s: found %v, allowed %s", name, found, allowed))
		}
	}
	checkUpstreamIdentity(check, parsed.Service, parsed.Organisation, parsed.Address)
	if len(problems) > 0 {
		return Drain{}, &ValidationError{problems: problems}
	}
	return parsed, nil
}

func checkUpstreamIdentity(check func(name string, ok bool, found any, allowed string), service, organisation, address string) {
	const nameAllowed = "a name without slash"
	check("service", isValidName(service), fmt.Sprintf("%q", service), nameAllowed)
	check("organisation", isValidName(organisation), fmt.Sprintf("%q", organisation), nameAllowed)
	parsed, err := netip.ParseAddrPort(address)
	check("address", err == nil && parsed.Port() != 0, fmt.Sprintf("%q", address), "IP:PORT")
}

func isValidName(name string) bool {
	return name != "" && !strings.ContainsAny(name, "/ \t\r\n")
}

func isKnownFencing(fencing upstream.Fencing) bool {
	switch fencing {
	case upstream.FencingEpoch, upstream.FencingDeadline, upstream.FencingNone:
		return true
	default:
		return false
	}
}

type field struct {
	name     string
	target   any
	required bool
}

// parseObject decodes each field of a JSON object separately, so that one problem does
// not hide another. It returns the problems and the names of the invalid fields.
func parseObject(body []byte, fields []field) ([]string, map[string]bool) {
	invalid := make(map[string]bool)
	var raw map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&raw); err != nil || raw == nil {
		return rejectAllFields(fields, invalid, "body: not a JSON object")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return rejectAllFields(fields, invalid, "body: text after the JSON object")
	}
	var problems []string
	for _, f := range fields {
		value, ok := raw[f.name]
		delete(raw, f.name)
		if !ok {
			if f.required {
				invalid[f.name] = true
				problems = append(problems, f.name+": missing")
			}
			continue
		}
		if err := json.Unmarshal(value, f.target); err != nil || string(value) == "null" {
			invalid[f.name] = true
			problems = append(problems, fmt.Sprintf("%s: found %s, of the wrong type", f.name, value))
		}
	}
	unknown := make([]string, 0, len(raw))
	for name := range raw {
		unknown = append(unknown, name+": unknown field")
	}
	sort.Strings(unknown)
	return append(problems, unknown...), invalid
}

func rejectAllFields(fields []field, invalid map[string]bool, problem string) ([]string, map[string]bool) {
	for _, f := range fields {
		invalid[f.name] = true
	}
	return []string{problem}, invalid
}
