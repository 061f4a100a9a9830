package heartbeat

import "briarwell.dev/core/keyspace"

// Departure identifies the process of an upstream that has announced its shutdown. The zero
// value identifies none. Departures are comparable.
type Departure struct {
	process keyspace.Process
	// startKnown is false if the announcement had only the ID. The start time of the process
	// is then an upper bound, which tells it from a later process with its ID.
	startKnown bool
}

// NewDeparture returns the departure of a process.
func NewDeparture(process keyspace.Process) Departure {
	return Departure{process: process, startKnown: true}
}

// NewDepartureOfID returns the departure of the process with an ID that started at the given
// time, in milliseconds since the Unix epoch, or before.
func NewDepartureOfID(id string, latestStartUnixMillis int64) Departure {
	return Departure{process: keyspace.NewProcess(id, latestStartUnixMillis)}
}

// Process returns the departed process. Its start time is an upper bound if startKnown is
// false.
func (d Departure) Process() (process keyspace.Process, startKnown bool) {
	return d.process, d.startKnown
}

// Of reports whether the departure is that of a process.
func (d Departure) Of(process keyspace.Process) bool {
	if d.startKnown || d == (Departure{}) {
		return d.startKnown && d.process == process
	}
	return d.process.ID() == process.ID() && process.StartUnixMillis() <= d.process.StartUnixMillis()
}

// hasOnlyID reports whether the announcement had only an ID, and that one.
func (d Departure) hasOnlyID(id string) bool { return !d.startKnown && d.process.ID() == id }

// isBefore reports whether the departed process certainly started before that of another
// departure.
func (d Departure) isBefore(other Departure) bool {
	return d.startKnown && other.startKnown && d.process.StartUnixMillis() < other.process.StartUnixMillis()
}
