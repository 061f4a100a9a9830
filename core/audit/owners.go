package audit

import (
	"cmp"
	"slices"

	"briarwell.dev/core/audit/record"
)

// unit is a shard or a hot key. It has at most one owner at a time.
type unit struct {
	service string
	shard   uint32
	key     string
}

// checkOwners checks the ownership of each shard and each hot key. It skips requests
// without an epoch: they belong to services without keys and have no owner.
func (h *History) checkOwners() []Finding {
	units := make(map[unit][]record.Acceptance)
	for _, a := range h.acceptances {
		if a.Epoch == 0 {
			continue
		}
		u := unit{service: a.ServiceName(), shard: a.Shard}
		if h.hotKeys[serviceKey{service: u.service, key: a.Key}] {
			u.key = a.Key
		}
		units[u] = append(units[u], a)
	}
	findings := make([]Finding, 0, len(units))
	for u, acceptances := range units {
		findings = append(findings, checkUnit(acceptances, h.deadlineOnly[u.service])...)
	}
	return findings
}

// ownerPair is a pair of conflicting ownerships. Each pair is reported once only.
type ownerPair struct {
	firstUpstream, secondUpstream string
	firstEpoch, secondEpoch       uint64
}

// checkUnit checks the requests of one unit for ownerships that overlap and epochs that go
// backwards. The parameter deadlineOnly is set if the upstreams check deadlines but no
// epochs.
func checkUnit(acceptances []record.Acceptance, deadlineOnly bool) []Finding {
	slices.SortStableFunc(acceptances, func(a, b record.Acceptance) int {
		return cmp.Or(cmp.Compare(a.StartUnixMicros, b.StartUnixMicros), cmp.Compare(a.Epoch, b.Epoch))
	})
	var findings []Finding
	var running []record.Acceptance
	var newest record.Acceptance
	owners := make(map[uint64]record.Acceptance)
	reported := make(map[ownerPair]bool)
	report := func(first, second record.Acceptance, finding Finding) {
		p := ownerPair{first.Upstream, second.Upstream, first.Epoch, second.Epoch}
		if !reported[p] {
			reported[p] = true
			findings = append(findings, finding)
		}
	}
	for _, a := range acceptances {
		running = slices.DeleteFunc(running, func(r record.Acceptance) bool { return r.EndUnixMicros <= a.StartUnixMicros })
		if owner, ok := owners[a.Epoch]; !ok {
			owners[a.Epoch] = a
		} else if owner.Upstream != a.Upstream {
			report(owner, a, TwoOwners{first: owner, second: a})
		}
		mayBeLate := deadlineOnly && isIdempotent(a.Method)
		if a.Epoch < newest.Epoch && !mayBeLate {
			report(newest, a, EpochBack{first: newest, second: a})
		}
		for _, earlier := range running {
			if conflicts(earlier, a, deadlineOnly) {
				report(earlier, a, TwoOwners{first: earlier, second: a})
			}
		}
		if a.Epoch >= newest.Epoch {
			newest = a
		}
		running = append(running, a)
	}
	return findings
}

// conflicts reports whether a request must not start while an earlier one is running.
// Requests at the same upstream never conflict.
func conflicts(earlier, later record.Acceptance, deadlineOnly bool) bool {
	if earlier.Upstream == later.Upstream {
		return false
	}
	older, newer := earlier, later
	if later.Epoch < earlier.Epoch {
		older, newer = later, earlier
	}
	if older.Epoch == newer.Epoch {
		return true
	}
	mayEndLater := older.StartUnixMicros <= newer.StartUnixMicros && (isRead(older.Method) || !older.TookEffect)
	mayBeLate := deadlineOnly && isIdempotent(older.Method)
	return !mayEndLater && !mayBeLate
}

func isRead(method string) bool { return method == "GET" || method == "HEAD" }

// isIdempotent reports whether HTTP defines the method as idempotent.
func isIdempotent(method string) bool { return method != "POST" && method != "PATCH" }
