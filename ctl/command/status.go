package command

import (
	"context"
	"fmt"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
)

type memberJSON struct {
	Instance      string               `json:"instance"`
	Incarnation   identity.Incarnation `json:"incarnation"`
	Region        string               `json:"region"`
	FailureDomain string               `json:"failureDomain"`
	Service       string               `json:"service,omitempty"`
	HTTPAddress   string               `json:"httpAddress"`
	PeerAddress   string               `json:"peerAddress"`
	// RowState is the state in the member row, State the one reported by the daemon.
	RowState      string `json:"rowState"`
	State         string `json:"state,omitempty"`
	ConfigVersion uint64 `json:"configVersion"`
	LeaseMillis   int64  `json:"leaseMillis"`
	Units         int    `json:"units"`
	InFlight      uint32 `json:"inFlight"`
	Queued        uint32 `json:"queued"`
	Problem       string `json:"problem,omitempty"`
}

type statusJSON struct {
	StoredVersion   uint64       `json:"storedVersion"`
	AcceptedVersion uint64       `json:"acceptedVersion"`
	Author          string       `json:"author,omitempty"`
	UnixMillis      int64        `json:"unixMillis,omitempty"`
	Members         []memberJSON `json:"members"`
	Dead            int          `json:"dead"`
}

func runStatus(ctx context.Context, inv *invocation) error {
	versions, _, err := inv.loadConfig(ctx)
	if err != nil {
		return err
	}
	current, err := inv.readMembers(ctx)
	if err != nil {
		return err
	}
	owners, err := inv.readOwnership(ctx)
	if err != nil {
		return err
	}
	result := statusJSON{StoredVersion: versions.Head().Version(), AcceptedVersion: versions.Accepted(), Author: versions.Head().Author(), UnixMillis: versions.Head().UnixMillis(), Members: []memberJSON{}}
	alive := make([]membership.Member, 0, len(current.members))
	for _, member := range current.members {
		if member.Alive() {
			alive = append(alive, member)
		}
	}
	result.Dead = len(current.members) - len(alive)
	units := countUnits(owners)
	for _, status := range inv.requestStatuses(ctx, alive) {
		result.Members = append(result.Members, describeMember(status, units[status.member.Incarnation()]))
	}
	if inv.jsonOutput {
		return inv.printJSON(result)
	}
	inv.printStatus(result)
	return nil
}

// countUnits returns the number of shards and hot keys of each owner.
func countUnits(owners ownership.Table) map[identity.Incarnation]int {
	counts := make(map[identity.Incarnation]int)
	for _, service := range owners.Services() {
		for owner, count := range owners.UnitCounts(service) {
			counts[owner] += count
		}
	}
	return counts
}

func describeMember(status statusResult, units int) memberJSON {
	instance := status.member.Instance()
	result := memberJSON{
		Instance:      instance.Name(),
		Incarnation:   status.member.Incarnation(),
		Region:        instance.Location().Region(),
		FailureDomain: instance.Location().FailureDomain(),
		HTTPAddress:   instance.HTTPAddress(),
		PeerAddress:   instance.PeerAddress(),
		RowState:      string(status.member.State()),
		Units:         units,
	}
	if service := status.member.Announcement().Service(); service != (identity.Service{}) {
		result.Service = service.String()
	}
	switch {
	case status.err != nil:
		result.Problem = "no response: " + statusMessage(status.err)
	case !status.isFromMember():
		result.Problem = "another incarnation responds at its address: " + identity.Incarnation(status.response.GetIncarnation()).String()
	default:
		result.State = status.response.GetState()
		result.ConfigVersion = status.response.GetConfigVersion()
		result.LeaseMillis = status.response.GetLeaseMillis()
		for _, owned := range status.response.GetServices() {
			result.InFlight += owned.GetInFlight()
			result.Queued += owned.GetQueued()
		}
	}
	return result
}

func (inv *invocation) printStatus(result statusJSON) {
	if result.StoredVersion == 0 {
		inv.printf("no version is stored\n")
	} else {
		inv.printf("stored: version %d by %s at %s\n", result.StoredVersion, result.Author, formatTime(result.UnixMillis))
		inv.printf("accepted: version %d\n", result.AcceptedVersion)
	}
	inv.printf("members: %d, dead: %d\n", len(result.Members), result.Dead)
	if len(result.Members) == 0 {
		return
	}
	rows := [][]string{{"INSTANCE", "INCARNATION", "REGION", "FAILURE DOMAIN", "SERVICE", "STATE", "VERSION", "LEASE", "SHARDS", "IN FLIGHT", "QUEUED", "ADDRESS"}}
	for _, m := range result.Members {
		row := []string{
			m.Instance, m.Incarnation.String(), m.Region, m.FailureDomain, m.Service, m.State, fmt.Sprint(m.ConfigVersion),
			fmt.Sprintf("%d ms", m.LeaseMillis), fmt.Sprint(m.Units), fmt.Sprint(m.InFlight), fmt.Sprint(m.Queued), m.HTTPAddress,
		}
		if m.Problem != "" {
			row[5] = m.RowState + " (" + m.Problem + ")"
			row[6], row[7], row[9], row[10] = "?", "?", "?", "?"
		}
		rows = append(rows, row)
	}
	inv.printTable(rows)
}
