package era

import "strings"

// Stamp tells how new a copy of a row is. Version is the revision of the row at the store, under
// which it can be replaced. Origin is the revision at which the content of the copy was written.
// They differ after the store has come back from an older copy: the row that it has then is newer,
// and its content older, than what was written before. The zero value is that of an unknown row.
type Stamp struct{ version, origin Revision }

// NewStamp returns the stamp of a row at a version whose content was written at origin.
func NewStamp(version, origin Revision) Stamp { return Stamp{version: version, origin: origin} }

// Version returns the revision of the row at the store, with number 0 if the row is absent.
func (s Stamp) Version() Revision { return s.version }

// Origin returns the revision at which the content was written, the zero value if there is none.
func (s Stamp) Origin() Revision { return s.origin }

// Covers reports whether s is as new as other, in its version and in its origin.
func (s Stamp) Covers(other Stamp) bool {
	return !other.version.After(s.version) && !other.origin.After(s.origin)
}

// Join returns the stamp with the later version and the later origin.
func (s Stamp) Join(other Stamp) Stamp {
	return Stamp{version: Later(s.version, other.version), origin: Later(s.origin, other.origin)}
}

// Stored reports whether the store has the content. If it does not, it has come back from an older
// copy, and the content must be written again.
func (s Stamp) Stored() bool { return s.version.number == s.origin.number }

// Confirmed reports whether the content was written in the era of the version.
func (s Stamp) Confirmed() bool { return s.version.era == s.origin.era }

// String returns "VERSION", or "VERSION/ORIGIN" if they differ.
func (s Stamp) String() string {
	if s.version == s.origin {
		return s.version.String()
	}
	return s.version.String() + "/" + s.origin.String()
}

// MarshalJSON encodes the stamp as String does, and as a number if there is no era.
func (s Stamp) MarshalJSON() ([]byte, error) {
	e := s.version.era
	if s.version != s.origin {
		e = max(e, 1)
	}
	return marshal(e, s.String()), nil
}

// UnmarshalJSON decodes what MarshalJSON encoded. The error is a *ParseError.
func (s *Stamp) UnmarshalJSON(data []byte) error {
	versionText, originText, differs := strings.Cut(strings.Trim(string(data), `"`), "/")
	if !differs {
		originText = versionText
	}
	version, err := ParseRevision(versionText)
	if err != nil {
		return err
	}
	origin, err := ParseRevision(originText)
	if err == nil {
		*s = Stamp{version: version, origin: origin}
	}
	return err
}

// Row is a copy of a row of the store.
type Row struct {
	Stamp

	key   string
	value []byte
}

// NewRow returns a row whose content was written at its version. The value is not copied.
func NewRow(key string, version Revision, value []byte) Row {
	return Row{key: key, Stamp: NewStamp(version, version), value: value}
}

// NewRowAt returns a row with a stamp. The value is not copied.
func NewRowAt(key string, stamp Stamp, value []byte) Row {
	return Row{key: key, Stamp: stamp, value: value}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's value; callers must not change it.
func (r Row) Value() []byte { return r.value }

// Join returns the row with the later version and the content of the later origin.
func (r Row) Join(other Row) Row {
	joined := r
	if other.origin.After(r.origin) {
		joined.value = other.value
	}
	joined.key, joined.Stamp = other.key, r.Stamp.Join(other.Stamp)
	return joined
}
