package harness

import "fmt"

// LinkKind is a kind of fault on the link between two regions.
type LinkKind string

// Kinds of link faults.
const (
	// LinkCut closes connections in both directions and refuses new ones.
	LinkCut LinkKind = "cut"
	// LinkCutOneWay drops what one region sends to the other.
	LinkCutOneWay LinkKind = "cut one way"
	// LinkSilent keeps open connections silent; new ones work.
	LinkSilent LinkKind = "silence"
)

// LinkFault is a fault on the link between two regions.
type LinkFault struct {
	kind     LinkKind
	from, to string
}

// NewLinkFault returns a fault of what region from sends to region to, and back
// for LinkCut.
func NewLinkFault(kind LinkKind, from, to string) LinkFault {
	return LinkFault{kind: kind, from: from, to: to}
}

// Kind returns the kind of the fault.
func (f LinkFault) Kind() LinkKind { return f.kind }

func (f LinkFault) String() string { return fmt.Sprintf("%s %s to %s", f.kind, f.from, f.to) }

// Links are the relays between regions.
type Links struct{}

// Set puts a fault in force.
func (l *Links) Set(LinkFault) error { return nil }

// Clear ends all faults.
func (l *Links) Clear() error { return nil }
