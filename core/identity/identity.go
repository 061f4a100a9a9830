// Package identity defines the identifiers of daemons, locations and services, and the
// fencing token of shards.
package identity

import (
	"fmt"
	"strconv"
)

// incarnationDigits is the length of the hexadecimal form of an Incarnation.
const incarnationDigits = 16

// Incarnation identifies one run of a daemon. A restarted daemon has a new Incarnation.
// Zero means none.
type Incarnation uint64

// String returns the 16-digit hexadecimal form.
func (i Incarnation) String() string {
	return fmt.Sprintf("%016x", uint64(i))
}

// MarshalText encodes the incarnation as 16 hexadecimal digits.
func (i Incarnation) MarshalText() ([]byte, error) {
	return []byte(i.String()), nil
}

// UnmarshalText decodes 16 hexadecimal digits. It returns an *IncarnationError for any
// other text.
func (i *Incarnation) UnmarshalText(text []byte) error {
	parsed, err := ParseIncarnation(string(text))
	if err != nil {
		return err
	}
	*i = parsed
	return nil
}

// ParseIncarnation parses the form that String returns. It returns an *IncarnationError
// for any other text.
func ParseIncarnation(text string) (Incarnation, error) {
	if len(text) != incarnationDigits {
		return 0, &IncarnationError{text: text}
	}
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &IncarnationError{text: text}
	}
	return Incarnation(value), nil
}

// IncarnationError reports a text that is not an incarnation.
type IncarnationError struct {
	text string
}

// Text returns the rejected text.
func (e *IncarnationError) Text() string { return e.text }

func (e *IncarnationError) Error() string {
	return fmt.Sprintf("incarnation %q is not 16 hexadecimal digits", e.text)
}

// Epoch is the fencing token of a shard or range of keys. Only a table transaction
// raises it.
type Epoch uint64

// Location is the region and the failure domain of an instance.
type Location struct {
	region        string
	failureDomain string
}

// NewLocation returns the location of instances in a failure domain of a region.
func NewLocation(region, failureDomain string) Location {
	return Location{region: region, failureDomain: failureDomain}
}

// Region returns the region's name.
func (l Location) Region() string { return l.region }

// FailureDomain returns the failure domain's name, unique across regions.
func (l Location) FailureDomain() string { return l.failureDomain }

// Service identifies a service of an organisation.
type Service struct {
	organisation string
	name         string
}

// NewService returns the service with the given name of an organisation.
func NewService(organisation, name string) Service {
	return Service{organisation: organisation, name: name}
}

// Organisation returns the organisation's name.
func (s Service) Organisation() string { return s.organisation }

// Name returns the service's name within its organisation.
func (s Service) Name() string { return s.name }

// String returns "organisation/name".
func (s Service) String() string { return s.organisation + "/" + s.name }
