// Package audit checks the history of a run against the invariants of briarwell. The
// history consists of the requests that upstreams accepted and the calls that callers
// made.
//
// All records must come from one wall clock. Requests for the same shard may overlap in
// these cases only:
//   - A read (GET or HEAD) that an upstream accepted before the next owner accepted its
//     first request may end later.
//   - A request without effect may end later, since the upstream refused it at a second
//     check or cancelled it.
//   - Requests at the same upstream may overlap, whatever their epochs.
//   - An idempotent request of an older epoch may overlap at an upstream that checks
//     deadlines only, since the request carries the caller's deadline (see
//     MarkDeadlineOnly).
//
// Idempotent requests may run several times.
package audit

import (
	"cmp"
	"slices"

	"briarwell.dev/core/audit/record"
)

// History holds the records of a run. The zero value is an empty history.
type History struct {
	acceptances      []record.Acceptance
	calls            []record.Call
	effects          map[serviceKey]map[string]bool
	hotKeys          map[serviceKey]bool
	deadlineOnly     map[string]bool
	acceptedVersions []acceptedVersion
}

// acceptedVersion is a configuration version and the time at which an operator saw it
// reported as accepted.
type acceptedVersion struct {
	version    uint64
	unixMicros int64
}

// serviceKey is a key of a service.
type serviceKey struct{ service, key string }

// AddAcceptances adds requests that upstreams accepted.
func (h *History) AddAcceptances(acceptances ...record.Acceptance) {
	h.acceptances = append(h.acceptances, acceptances...)
}

// AddCalls adds calls as their callers recorded them.
func (h *History) AddCalls(calls ...record.Call) {
	h.calls = append(h.calls, calls...)
}

// AddEffects adds the IDs of requests whose effects are present at a key at the end of
// the run. Check reports lost effects only at keys for which AddEffects was called, even
// if without IDs.
func (h *History) AddEffects(service, key string, requestIDs ...string) {
	if h.effects == nil {
		h.effects = make(map[serviceKey]map[string]bool)
	}
	k := serviceKey{service: service, key: key}
	if h.effects[k] == nil {
		h.effects[k] = make(map[string]bool)
	}
	for _, id := range requestIDs {
		h.effects[k][id] = true
	}
}

// MarkHotKey marks a key that had an ownership entry of its own at some time. Its
// ownership is checked separately from that of its shard.
func (h *History) MarkHotKey(service, key string) {
	if h.hotKeys == nil {
		h.hotKeys = make(map[serviceKey]bool)
	}
	h.hotKeys[serviceKey{service: service, key: key}] = true
}

// MarkDeadlineOnly marks a service whose upstreams check deadlines but no epochs. They
// may accept an idempotent request until the caller's deadline, even after the end of
// the ownership under which it was sent.
func (h *History) MarkDeadlineOnly(service string) {
	if h.deadlineOnly == nil {
		h.deadlineOnly = make(map[string]bool)
	}
	h.deadlineOnly[service] = true
}

// AddAcceptedVersion adds the time at which an operator saw a configuration version
// reported as accepted. From then on no request may be done under an older version.
func (h *History) AddAcceptedVersion(version uint64, unixMicros int64) {
	h.acceptedVersions = append(h.acceptedVersions, acceptedVersion{version: version, unixMicros: unixMicros})
}

// Check returns all findings, those on ownership first.
func (h *History) Check() []Finding {
	runs := h.runsByRequest()
	findings := h.checkOwners()
	findings = append(findings, h.checkDuplicates(runs)...)
	findings = append(findings, h.checkNotRun(runs)...)
	findings = append(findings, h.checkDone(runs)...)
	findings = append(findings, h.checkBodies()...)
	findings = append(findings, h.checkConfigVersions()...)
	findings = append(findings, h.checkAcceptedVersions()...)
	return findings
}

// requestKey identifies a request of a service.
type requestKey struct{ service, id string }

// runsByRequest returns the acceptances that took effect, by request.
func (h *History) runsByRequest() map[requestKey][]record.Acceptance {
	runs := make(map[requestKey][]record.Acceptance)
	for _, a := range h.acceptances {
		if a.RequestID != "" && a.TookEffect {
			request := requestKey{service: a.ServiceName(), id: a.RequestID}
			runs[request] = append(runs[request], a)
		}
	}
	return runs
}

// checkDuplicates reports non-idempotent requests that ran more than once. A request is
// idempotent if its caller recorded it as such or, if there is no call of it, if HTTP
// defines its method as idempotent.
func (h *History) checkDuplicates(runs map[requestKey][]record.Acceptance) []Finding {
	idempotentCalls := make(map[requestKey]bool)
	for _, c := range h.calls {
		idempotentCalls[requestKey{service: c.Service, id: c.RequestID}] = c.Idempotent
	}
	var findings []Finding
	for request, acceptances := range runs {
		idempotent, recorded := idempotentCalls[request]
		if !recorded {
			idempotent = isIdempotent(acceptances[0].Method)
		}
		if len(acceptances) > 1 && !idempotent {
			findings = append(findings, DuplicateRun{runs: acceptances})
		}
	}
	return findings
}

// checkNotRun reports runs that no attempt explains: at least one attempt was sent before
// the run began, and all attempts sent by then were answered as not run.
func (h *History) checkNotRun(runs map[requestKey][]record.Acceptance) []Finding {
	attempts := make(map[requestKey][]record.Call)
	for _, c := range h.calls {
		request := requestKey{service: c.Service, id: c.RequestID}
		if c.RequestID != "" {
			attempts[request] = append(attempts[request], c)
		}
	}
	var findings []Finding
	for request, calls := range attempts {
		for _, run := range runs[request] {
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

// checkDone reports requests that were answered as done, but did not run or left no
// effect.
func (h *History) checkDone(runs map[requestKey][]record.Acceptance) []Finding {
	var findings []Finding
	for _, c := range h.calls {
		if c.Outcome != "done" || c.RequestID == "" {
			continue
		}
		if len(runs[requestKey{service: c.Service, id: c.RequestID}]) == 0 {
			findings = append(findings, DoneNeverRan{call: c})
			continue
		}
		present, checked := h.effects[serviceKey{service: c.Service, key: c.Key}]
		if checked && !c.Idempotent && succeeded(c) && !present[c.RequestID] {
			findings = append(findings, LostEffect{call: c})
		}
	}
	return findings
}

// succeeded reports whether the call has a 2xx status.
func succeeded(c record.Call) bool { return c.Status >= 200 && c.Status < 300 }

// checkBodies reports responses that belong to another request and truncated bodies that
// ended as complete.
func (h *History) checkBodies() []Finding {
	var findings []Finding
	for _, c := range h.calls {
		if c.EchoedRequestID != "" && c.EchoedRequestID != c.RequestID {
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

// checkConfigVersions reports daemons that went back to an older configuration version. It
// compares only calls that did not overlap, since the responses to overlapping calls may
// arrive in any order.
func (h *History) checkConfigVersions() []Finding {
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

// checkAcceptedVersions reports requests that were done under a version older than the
// accepted one. It ignores other outcomes, since a daemon without a lease may refuse
// requests under an older version.
func (h *History) checkAcceptedVersions() []Finding {
	var findings []Finding
	for _, c := range h.calls {
		if c.Outcome != "done" || c.ConfigVersion == 0 {
			continue
		}
		for _, a := range h.acceptedVersions {
			if c.SentUnixMicros >= a.unixMicros && c.ConfigVersion < a.version {
				findings = append(findings, AcceptedNotInForce{call: c, version: a.version})
				break
			}
		}
	}
	return findings
}
