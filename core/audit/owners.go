package audit

import (
	"cmp"
	"slices"

	"briarwell.dev/core/audit/record"
)

// unit is what has one owner: a shard, or a hot key.
type unit struct {
	service string
	shard   uint32
	key     string
}

// checkOwners checks each shard and each hot key on its own. Orders without an
// epoch belong to services without keys and have no owner.
func (h *History) checkOwners() []Finding {
	units := make(map[unit][]record.Acceptance)
	for _, a := range h.acceptances {
		if a.Epoch == 0 {
			continue
		}
		u := unit{service: a.Service, shard: a.Shard}
		if h.hotKeys[keyName{service: a.Service, key: a.Key}] {
			u.key = a.Key
		}
		units[u] = append(units[u], a)
	}
	findings := make([]Finding, 0, len(units))
	for _, orders := range units {
		findings = append(findings, checkUnit(orders)...)
	}
	return findings
}

// pair bounds the findings to one for each pair of conflicting ownerships.
type pair struct {
	firstUpstream, secondUpstream string
	firstEpoch, secondEpoch       uint64
}

func checkUnit(orders []record.Acceptance) []Finding {
	slices.SortStableFunc(orders, func(a, b record.Acceptance) int {
		return cmp.Or(cmp.Compare(a.StartUnixMicros, b.StartUnixMicros), cmp.Compare(a.Epoch, b.Epoch))
	})
	var findings []Finding
	var running []record.Acceptance
	var newest record.Acceptance
	owners := make(map[uint64]record.Acceptance)
	reported := make(map[pair]bool)
	report := func(first, second record.Acceptance, finding Finding) {
		p := pair{first.Upstream, second.Upstream, first.Epoch, second.Epoch}
		if !reported[p] {
			reported[p] = true
			findings = append(findings, finding)
		}
	}
	for _, order := range orders {
		running = slices.DeleteFunc(running, func(r record.Acceptance) bool { return r.EndUnixMicros <= order.StartUnixMicros })
		if owner, ok := owners[order.Epoch]; !ok {
			owners[order.Epoch] = order
		} else if owner.Upstream != order.Upstream {
			report(owner, order, TwoOwners{first: owner, second: order})
		}
		if order.Epoch < newest.Epoch {
			report(newest, order, EpochBack{first: newest, second: order})
		}
		for _, earlier := range running {
			if conflict(earlier, order) {
				report(earlier, order, TwoOwners{first: earlier, second: order})
			}
		}
		if order.Epoch >= newest.Epoch {
			newest = order
		}
		running = append(running, order)
	}
	return findings
}

// conflict tells whether an order may not start while an earlier one runs. A
// read of an older epoch that was in flight at the change of owner may end
// later.
func conflict(earlier, order record.Acceptance) bool {
	if earlier.Upstream == order.Upstream {
		return false
	}
	readBefore := isRead(earlier.Method) && earlier.Epoch < order.Epoch
	return !readBefore
}

func isRead(method string) bool { return method == "GET" || method == "HEAD" }
