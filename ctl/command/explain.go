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

func runExplain(ctx context.Context, c *invocation) error {
	versions, rows, err := c.loadConfig(ctx)
	if err != nil {
		return err
	}
	catalog, err := rollout.RenderRows(rows)
	if err != nil {
		return err
	}
	rules, err := c.findService(catalog)
	if err != nil {
		return err
	}
	current, err := c.readMembers(ctx)
	if err != nil {
		return err
	}
	result := explanationJSON{
		Service: c.service, Version: versions.Head().Version(), Keyed: rules.IsKeyed(), Key: c.key,
		Fencing: string(rules.Fencing()), SettleMillis: int64(rules.SettleTime()), QueueLimit: rules.QueueLimit(),
	}
	if versions.Accepted() < result.Version {
		result.addReason("version %d is stored but not accepted: some daemons may still apply version %d or later", result.Version, versions.Accepted())
	}
	if rules.IsKeyed() {
		owners, err := c.readOwnership(ctx)
		if err != nil {
			return err
		}
		result.explainOwner(rules, owners, current)
	} else {
		result.explainUnkeyed(current)
	}
	c.explainRoutes(&result, rules)
	if c.jsonOutput {
		return c.printJSON(result)
	}
	c.printExplanation(result)
	return nil
}

func (e *explanationJSON) addReason(format string, arguments ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, arguments...))
}

func (c *invocation) findService(catalog template.Catalog) (template.ServiceRules, error) {
	rules, ok := catalog.Service(c.service)
	if !ok {
		names := make([]string, 0, len(catalog.Services()))
		for name := range catalog.Services() {
			names = append(names, name)
		}
		slices.Sort(names)
		return rules, newInputError("ORGANISATION/SERVICE: found %q, allowed: one of %s", c.service, strings.Join(names, ", "))
	}
	if rules.IsKeyed() && c.key == "" {
		return rules, newInputError("KEY: found nothing, allowed: a key, since %s is divided by key", c.service)
	}
	if !rules.IsKeyed() && c.key != "" {
		return rules, newInputError("KEY: found %q, allowed: nothing, since %s is not divided by key", c.key, c.service)
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
		e.addReason("the key has an entry of its own, since it is or was hot")
	}
	if entry.Owner() == 0 {
		e.addReason("the shard has no owner yet: the planner of the service assigns it")
		return
	}
	if entry.Lapsed() {
		e.addReason("the former owner was replaced and did not hand over%s", settleTimeSuffix(rules))
	}
	for _, member := range current.members {
		if member.Incarnation() == entry.Owner() {
			e.setOwner(member)
			return
		}
	}
	e.addReason("the table has no row of the owner: the planner of the service assigns the shard to another member")
}

func settleTimeSuffix(rules template.ServiceRules) string {
	if rules.SettleTime() == 0 {
		return ""
	}
	return fmt.Sprintf(", so the new owner waits %d ms", rules.SettleTime())
}

func (e *explanationJSON) setOwner(member membership.Member) {
	e.Owner = member.Instance().Name()
	e.HTTPAddress, e.PeerAddress = member.Instance().HTTPAddress(), member.Instance().PeerAddress()
	switch member.State() {
	case membership.StateDead:
		e.addReason("the owner is dead: the planner of the service assigns the shard to another member")
	case membership.StateDraining:
		e.addReason("the owner is leaving and hands its shards over")
	default:
		e.addReason("the owner is %s in the table", member.State())
	}
}

func (e *explanationJSON) explainUnkeyed(current memberSnapshot) {
	for _, member := range current.members {
		if member.Alive() && member.Announcement().Service() == e.serviceIdentity() {
			e.ServedBy = append(e.ServedBy, member.Instance().Name())
		}
	}
	e.addReason("a service without keys has no owner: each request goes to the less loaded of two of its upstreams, in the same failure domain first, then in the same region")
}

// explainRoutes lists the routes that apply to the request, or all.
func (c *invocation) explainRoutes(result *explanationJSON, rules template.ServiceRules) {
	routes := rules.Routes()
	if c.method != "" || c.path != "" {
		route, ok := rules.MatchRoute(c.method, c.path)
		routes = []template.RouteRules{route}
		if !ok {
			routes = nil
			result.addReason("no route matches %s %s", c.method, c.path)
		} else {
			result.addReason("%s %s: the first route that matches applies", c.method, c.path)
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

func (c *invocation) printExplanation(e explanationJSON) {
	c.printf("service: %s, version %d\n", e.Service, e.Version)
	if e.Keyed {
		c.printf("key: %s\nshard: %d\nowner: %s\nepoch: %d\naddress: %s\n", e.Key, e.Shard, formatOwner(e), e.Epoch, e.HTTPAddress)
	} else {
		c.printf("served by: %s\n", strings.Join(e.ServedBy, ", "))
	}
	c.printf("fencing: %s, settle %d ms, queue limit %d\n", e.Fencing, e.SettleMillis, e.QueueLimit)
	rows := make([][]string, 0, 1+len(e.Routes))
	rows = append(rows, []string{"METHOD", "PATH SUFFIX", "IDEMPOTENT", "PRIORITY", "TIMEOUT"})
	for _, route := range e.Routes {
		rows = append(rows, []string{valueOrAny(route.Method), valueOrAny(route.PathSuffix), fmt.Sprint(route.Idempotent), route.Priority, fmt.Sprintf("%d ms", route.TimeoutMillis)})
	}
	c.printTable(rows)
	c.printf("why:\n")
	for _, reason := range e.Reasons {
		c.printf("  %s\n", reason)
	}
}

func formatOwner(e explanationJSON) string {
	if e.Incarnation == 0 {
		return "none"
	}
	return fmt.Sprintf("%s (%s)", e.Owner, e.Incarnation)
}

func valueOrAny(text string) string {
	if text == "" {
		return "any"
	}
	return text
}
