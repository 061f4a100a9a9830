package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/rollout"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
)

type routeJSON struct {
	Method        string `json:"method,omitempty"`
	PathSuffix    string `json:"pathSuffix,omitempty"`
	Idempotent    bool   `json:"idempotent"`
	Priority      string `json:"priority"`
	TimeoutMillis int64  `json:"timeoutMillis"`
}

type explanationJSON struct {
	Service      string               `json:"service"`
	Version      uint64               `json:"version"`
	Keyed        bool                 `json:"keyed"`
	Key          string               `json:"key,omitempty"`
	Shard        shard.ID             `json:"shard"`
	HotKey       bool                 `json:"hotKey"`
	Owner        string               `json:"owner,omitempty"`
	Incarnation  identity.Incarnation `json:"incarnation,omitempty"`
	Epoch        identity.Epoch       `json:"epoch"`
	HTTPAddress  string               `json:"httpAddress,omitempty"`
	PeerAddress  string               `json:"peerAddress,omitempty"`
	Fencing      string               `json:"fencing"`
	SettleMillis int64                `json:"settleMillis"`
	QueueLimit   int                  `json:"queueLimit"`
	Routes       []routeJSON          `json:"routes"`
	Reasons      []string             `json:"reasons"`
	ServedBy     []string             `json:"servedBy,omitempty"`
}

func runExplain(ctx context.Context, inv *invocation) error {
	versions, rows, err := inv.loadConfig(ctx)
	if err != nil {
		return err
	}
	catalog, err := rollout.RenderRows(rows)
	if err != nil {
		return err
	}
	rules, err := inv.findService(catalog)
	if err != nil {
		return err
	}
	current, err := inv.readMembers(ctx)
	if err != nil {
		return err
	}
	result := explanationJSON{
		Service: inv.service, Version: versions.Head().Version(), Keyed: rules.IsKeyed(), Key: inv.key,
		Fencing: string(rules.Fencing()), SettleMillis: int64(rules.SettleTime()), QueueLimit: rules.QueueLimit(),
	}
	if versions.Accepted() < result.Version {
		result.addReason("version %d is stored but not accepted: some daemons may still have version %d or a later one in force", result.Version, versions.Accepted())
	}
	if rules.IsKeyed() {
		owners, err := inv.readOwnership(ctx)
		if err != nil {
			return err
		}
		result.explainOwner(rules, owners, current)
	} else {
		result.explainUnkeyed(current)
	}
	inv.explainRoutes(&result, rules)
	if inv.jsonOutput {
		return inv.printJSON(result)
	}
	inv.printExplanation(result)
	return nil
}

func (e *explanationJSON) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (inv *invocation) findService(catalog template.Catalog) (template.ServiceRules, error) {
	rules, ok := catalog.Service(inv.service)
	if !ok {
		allowed := make([]string, 0, len(catalog.Services()))
		for name := range catalog.Services() {
			allowed = append(allowed, name)
		}
		slices.Sort(allowed)
		return rules, newInputError("ORGANISATION/SERVICE: found %q, allowed: one of %s", inv.service, strings.Join(allowed, ", "))
	}
	if rules.IsKeyed() && inv.key == "" {
		return rules, newInputError("KEY: found nothing, allowed: a key, because %s is a keyed service", inv.service)
	}
	if !rules.IsKeyed() && inv.key != "" {
		return rules, newInputError("KEY: found %q, allowed: nothing, because %s is not a keyed service", inv.key, inv.service)
	}
	return rules, nil
}

func (e *explanationJSON) serviceIdentity() identity.Service {
	organisation, name, _ := strings.Cut(e.Service, "/")
	return identity.NewService(organisation, name)
}

func (e *explanationJSON) explainOwner(rules template.ServiceRules, owners ownership.Table, current memberSnapshot) {
	e.Shard = shard.ForKey(e.Key, rules.Shards())
	e.addReason("xxhash of the key modulo %d shards is %d", rules.Shards(), e.Shard)
	unit, entry := owners.EntryForKey(e.serviceIdentity(), e.Shard, e.Key)
	e.HotKey = unit.HotKey() != ""
	e.Epoch, e.Incarnation = entry.Epoch(), entry.Owner()
	if e.HotKey {
		e.addReason("the key has its own ownership entry, because it is or was a hot key")
	}
	if entry.Owner() == 0 {
		e.addReason("the shard has no owner yet: the planner of the service will assign it")
		return
	}
	if entry.Lapsed() {
		e.addReason("the previous owner was replaced without a handover%s", settleTimeSuffix(rules))
	}
	for _, member := range current.members {
		if member.Incarnation() == entry.Owner() {
			e.setOwner(member)
			return
		}
	}
	e.addReason("the table has no member row for the owner: the planner of the service will assign the shard to another member")
}

func settleTimeSuffix(rules template.ServiceRules) string {
	if rules.SettleTime() == 0 {
		return ""
	}
	return fmt.Sprintf(", so the new owner waits %d ms before it serves", rules.SettleTime())
}

func (e *explanationJSON) setOwner(member membership.Member) {
	e.Owner = member.Instance().Name()
	e.HTTPAddress, e.PeerAddress = member.Instance().HTTPAddress(), member.Instance().PeerAddress()
	switch member.State() {
	case membership.StateDead:
		e.addReason("the owner is dead: the planner of the service will assign the shard to another member")
	case membership.StateDraining:
		e.addReason("the owner is draining: it hands its shards over and then leaves")
	default:
		e.addReason("the state of the owner in the table is %s", member.State())
	}
}

func (e *explanationJSON) explainUnkeyed(current memberSnapshot) {
	for _, member := range current.members {
		if member.Alive() && member.Announcement().Service() == e.serviceIdentity() {
			e.ServedBy = append(e.ServedBy, member.Instance().Name())
		}
	}
	e.addReason("an unkeyed service has no owners: each request goes to the less loaded of two of its upstreams, preferably in the same failure domain, then in the same region")
}

// explainRoutes adds the first route that matches --method and --path, or all routes
// if neither is given.
func (inv *invocation) explainRoutes(result *explanationJSON, rules template.ServiceRules) {
	routes := rules.Routes()
	if inv.method != "" || inv.path != "" {
		route, ok := rules.MatchRoute(inv.method, inv.path)
		routes = []template.RouteRules{route}
		if !ok {
			routes = nil
			result.addReason("no route matches %s %s", inv.method, inv.path)
		} else {
			result.addReason("%s %s: the first matching route applies", inv.method, inv.path)
		}
	}
	result.Routes = make([]routeJSON, 0, len(routes))
	for _, route := range routes {
		result.Routes = append(result.Routes, routeJSON{
			Method: route.Method(), PathSuffix: route.PathSuffix(), Idempotent: route.Idempotent(),
			Priority: route.Priority().String(), TimeoutMillis: int64(route.Timeout()),
		})
	}
}

func (inv *invocation) printExplanation(e explanationJSON) {
	inv.printf("service: %s, version %d\n", e.Service, e.Version)
	if e.Keyed {
		inv.printf("key: %s\nshard: %d\nowner: %s\nepoch: %d\naddress: %s\n", e.Key, e.Shard, formatOwner(e), e.Epoch, e.HTTPAddress)
	} else {
		inv.printf("served by: %s\n", strings.Join(e.ServedBy, ", "))
	}
	inv.printf("fencing: %s, settle %d ms, queue limit %d\n", e.Fencing, e.SettleMillis, e.QueueLimit)
	rows := make([][]string, 0, 1+len(e.Routes))
	rows = append(rows, []string{"METHOD", "PATH SUFFIX", "IDEMPOTENT", "PRIORITY", "TIMEOUT"})
	for _, route := range e.Routes {
		rows = append(rows, []string{valueOrAny(route.Method), valueOrAny(route.PathSuffix), fmt.Sprint(route.Idempotent), route.Priority, fmt.Sprintf("%d ms", route.TimeoutMillis)})
	}
	inv.printTable(rows)
	inv.printf("reasons:\n")
	for _, reason := range e.Reasons {
		inv.printf("  %s\n", reason)
	}
}

func formatOwner(e explanationJSON) string {
	if e.Incarnation == 0 {
		return "none"
	}
	return fmt.Sprintf("%s (%s)", e.Owner, e.Incarnation)
}

func valueOrAny(value string) string {
	if value == "" {
		return "any"
	}
	return value
}
