// Package era orders the rows of a store that may come back from an older copy of itself. Load
// pattern: the store loses the newest transactions and gives out their versions again, while the
// instances that read or wrote them go on running.
package era

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Era counts how often the store has come back from an older copy. The zero value is that of a
// store that does not report it, which counts as one era for ever.
type Era uint64

// Parse returns the era that the store reports as text, the zero value if it reports none or one
// that can't be read.
func Parse(text string) Era {
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0
	}
	return Era(number + 1)
}

// Reported returns the number that the store reports for the era.
func (e Era) Reported() uint64 { return uint64(max(e, 1) - 1) }

// Revision is the number of a transaction of the store in one of its eras. The zero value comes
// before all others.
type Revision struct {
	era    Era
	number uint64
}

// NewRevision returns the revision with a number in an era.
func NewRevision(e Era, number uint64) Revision { return Revision{era: e, number: number} }

// Era returns the era in which the store gave out the number.
func (r Revision) Era() Era { return r.era }

// Number returns the number that the store knows. It is meaningful only in the revision's era.
func (r Revision) Number() uint64 { return r.number }

// Compare returns a negative number if r is before other, a positive one if it is after it, and 0
// if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// After reports whether r is newer than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Next returns the next revision of the same era.
func (r Revision) Next() Revision { return Revision{era: r.era, number: r.number + 1} }

// Later returns the newer one of two revisions.
func Later(r, other Revision) Revision {
	if other.After(r) {
		return other
	}
	return r
}

// String returns "NUMBER", or "ERA.NUMBER" if there is an era.
func (r Revision) String() string {
	if r.era == 0 {
		return strconv.FormatUint(r.number, 10)
	}
	return strconv.FormatUint(uint64(r.era), 10) + "." + strconv.FormatUint(r.number, 10)
}

// ParseError reports a text that is no revision or stamp.
type ParseError struct{ text string }

func (e *ParseError) Error() string { return fmt.Sprintf("%q is no revision", e.text) }

// ParseRevision parses the form that String returns. The error is a *ParseError.
func ParseRevision(text string) (Revision, error) {
	eraText, numberText, hasEra := strings.Cut(text, ".")
	if !hasEra {
		eraText, numberText = "0", text
	}
	e, eraErr := strconv.ParseUint(eraText, 10, 64)
	number, numberErr := strconv.ParseUint(numberText, 10, 64)
	if eraErr != nil || numberErr != nil {
		return Revision{}, &ParseError{text: text}
	}
	return Revision{era: Era(e), number: number}, nil
}

// MarshalJSON encodes the revision as a number, or as the text that String returns if there is an
// era.
func (r Revision) MarshalJSON() ([]byte, error) { return marshal(r.era, r.String()), nil }

// UnmarshalJSON decodes what MarshalJSON encoded. The error is a *ParseError.
func (r *Revision) UnmarshalJSON(data []byte) error {
	parsed, err := ParseRevision(strings.Trim(string(data), `"`))
	if err == nil {
		*r = parsed
	}
	return err
}

// marshal encodes text as a number if there is no era.
func marshal(e Era, text string) []byte {
	if e == 0 {
		return []byte(text)
	}
	return []byte(`"` + text + `"`)
}
