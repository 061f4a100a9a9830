// Package audit checks a history of acceptances at upstreams and calls of
// callers against the invariants of briarwell.
//
// All records must come from one wall clock. Allowed overlaps of orders of one
// shard are:
//   - reads (GET and HEAD) that an upstream accepted before the next owner
//     accepted its first order, and that end later;
//   - orders without effect that end later, since the upstream refused them when
//     it checked again, or stopped them;
//   - orders of one upstream, whatever their epochs;
//   - idempotent orders of an older epoch at upstreams that check deadlines only,
//     since these orders carry the caller's deadline (see Lenient).
//
// Idempotent requests may run several times.
package audit

import (
	"cmp"
	"slices"

	"briarwell.dev/core/audit/record"
)

// History is what a run left behind. The zero value is an empty history.
type History struct {
	acceptances []record.Acceptance
	calls       []record.Call
	effects     map[keyName]map[string]bool
	hotKeys     map[keyName]bool
	lenient     map[string]bool
	accepted    []acceptedVersion
}

type acceptedVersion struct {
	version    uint64
	unixMicros int64
}

type keyName struct{ service, key string }

// Accept adds acceptances.
func (h *History) Accept(acceptances ...record.Acceptance) {
	h.acceptances = append(h.acceptances, acceptances...)
}

// Call adds calls.
func (h *History) Call(calls ...record.Call) {
	h.calls = append(h.calls, calls...)
}

// Effects adds request IDs whose effects are present at a key at the end. Lost
// effects are reported only for keys that were given, even with no IDs.
func (h *History) Effects(service, key string, requestIDs ...string) {
	if h.effects == nil {
		h.effects = make(map[keyName]map[string]bool)
	}
	name := keyName{service: service, key: key}
	if h.effects[name] == nil {
		h.effects[name] = make(map[string]bool)
	}
	for _, id := range requestIDs {
		h.effects[name][id] = true
	}
}

// HotKey names a key that had an ownership entry of its own at some time. It
// is checked as a key, and not as a part of its shard.
func (h *History) HotKey(service, key string) {
	if h.hotKeys == nil {
		h.hotKeys = make(map[keyName]bool)
	}
	h.hotKeys[keyName{service: service, key: key}] = true
}

// Lenient names a service whose upstreams don't check epochs: an idempotent
// order may be accepted there until the caller's deadline, after the ownership
// under which it was sent.
func (h *History) Lenient(service string) {
	if h.lenient == nil {
		h.lenient = make(map[string]bool)
	}
	h.lenient[service] = true
}

// Accepted adds the time at which an operator saw a configuration version as
// accepted. From then on no request may be done under an older one.
func (h *History) Accepted(version uint64, unixMicros int64) {
	h.accepted = append(h.accepted, acceptedVersion{version: version, unixMicros: unixMicros})
}

// Check returns all findings, those on ownership first.
func (h *History) Check() []Finding {
	runs := h.runsByID()
	findings := h.checkOwners()
	findings = append(findings, h.checkDuplicates(runs)...)
	findings = append(findings, h.checkNotRun(runs)...)
	findings = append(findings, h.checkDone(runs)...)
	findings = append(findings, h.checkBodies()...)
	findings = append(findings, h.checkVersions()...)
	findings = append(findings, h.checkAccepted()...)
	return findings
}

type requestName struct{ service, id string }

// runsByID returns the orders that had an effect.
func (h *History) runsByID() map[requestName][]record.Acceptance {
	runs := make(map[requestName][]record.Acceptance)
	for _, a := range h.acceptances {
		if a.RequestID != "" && a.Effect {
			name := requestName{service: a.ServiceName(), id: a.RequestID}
			runs[name] = append(runs[name], a)
		}
	}
	return runs
}

// checkDuplicates takes a request as idempotent if its caller says so or, when
// no caller recorded it, if HTTP defines its method as idempotent.
func (h *History) checkDuplicates(runs map[requestName][]record.Acceptance) []Finding {
	known := make(map[requestName]bool)
	for _, c := range h.calls {
		known[requestName{service: c.Service, id: c.RequestID}] = c.Idempotent
	}
	var findings []Finding
	for name, accepted := range runs {
		idempotent, called := known[name]
		if !called {
			idempotent = isIdempotent(accepted[0].Method)
		}
		if len(accepted) > 1 && !idempotent {
			findings = append(findings, DuplicateRun{runs: accepted})
		}
	}
	return findings
}

// checkNotRun reports runs that began before any attempt was sent that may have
// caused them: each attempt that was sent by then was answered as not run.
func (h *History) checkNotRun(runs map[requestName][]record.Acceptance) []Finding {
	attempts := make(map[requestName][]record.Call)
	for _, c := range h.calls {
		name := requestName{service: c.Service, id: c.RequestID}
		if c.RequestID != "" {
			attempts[name] = append(attempts[name], c)
		}
	}
	var findings []Finding
	for name, calls := range attempts {
		for _, run := range runs[name] {
			sentBefore := func(c record.Call) bool { return c.SentUnixMicros <= run.StartUnixMicros }
			mayHaveRun := func(c record.Call) bool { return sentBefore(c) && c.Outcome != "not-run" }
			refused := slices.IndexFunc(calls, func(c record.Call) bool { return sentBefore(c) && c.Outcome == "not-run" })
			if refused >= 0 && !slices.ContainsFunc(calls, mayHaveRun) {
				findings = append(findings, NotRunRan{call: calls[refused], run: run})
			}
		}
	}
	return findings
}

func (h *History) checkDone(runs map[requestName][]record.Acceptance) []Finding {
	var findings []Finding
	for _, c := range h.calls {
		if c.Outcome != "done" || c.RequestID == "" {
			continue
		}
		if len(runs[requestName{service: c.Service, id: c.RequestID}]) == 0 {
			findings = append(findings, DoneNeverRan{call: c})
			continue
		}
		present, listed := h.effects[keyName{service: c.Service, key: c.Key}]
		if listed && !c.Idempotent && succeeded(c) && !present[c.RequestID] {
			findings = append(findings, LostEffect{call: c})
		}
	}
	return findings
}

func succeeded(c record.Call) bool { return c.Status >= 200 && c.Status < 300 }

func (h *History) checkBodies() []Finding {
	var findings []Finding
	for _, c := range h.calls {
		if c.AnsweredID != "" && c.AnsweredID != c.RequestID {
			findings = append(findings, ForeignAnswer{call: c})
			continue
		}
		if !c.Complete || c.ExpectedDigest == "" || c.Digest == c.ExpectedDigest {
			continue
		}
		if c.Bytes < c.ExpectedBytes {
			findings = append(findings, TruncatedAsComplete{call: c})
		} else {
			findings = append(findings, ForeignAnswer{call: c})
		}
	}
	return findings
}

// checkVersions compares only calls that did not overlap, since answers of
// overlapping calls may arrive in any order.
func (h *History) checkVersions() []Finding {
	byDaemon := make(map[string][]record.Call)
	for _, c := range h.calls {
		if c.ConfigVersion > 0 {
			byDaemon[c.Daemon] = append(byDaemon[c.Daemon], c)
		}
	}
	var findings []Finding
	for _, bySent := range byDaemon {
		byReceived := slices.Clone(bySent)
		slices.SortFunc(bySent, func(a, b record.Call) int { return cmp.Compare(a.SentUnixMicros, b.SentUnixMicros) })
		slices.SortFunc(byReceived, func(a, b record.Call) int { return cmp.Compare(a.ReceivedUnixMicros, b.ReceivedUnixMicros) })
		var newest record.Call
		next := 0
		for _, c := range bySent {
			for ; next < len(byReceived) && byReceived[next].ReceivedUnixMicros < c.SentUnixMicros; next++ {
				if byReceived[next].ConfigVersion > newest.ConfigVersion {
					newest = byReceived[next]
				}
			}
			if c.ConfigVersion < newest.ConfigVersion {
				findings = append(findings, ConfigurationBack{before: newest, after: c})
			}
		}
	}
	return findings
}

// checkAccepted takes only done answers, since a daemon without a lease may
// refuse requests under an older version.
func (h *History) checkAccepted() []Finding {
	var findings []Finding
	for _, c := range h.calls {
		if c.Outcome != "done" || c.ConfigVersion == 0 {
			continue
		}
		for _, a := range h.accepted {
			if c.SentUnixMicros >= a.unixMicros && c.ConfigVersion < a.version {
				findings = append(findings, AcceptedNotInForce{call: c, version: a.version})
				break
			}
		}
	}
	return findings
}
