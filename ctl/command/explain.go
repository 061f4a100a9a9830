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

type explainJSON struct {
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

func runExplain(ctx context.Context, c *call) error {
	versions, rows, err := c.readVersions(ctx)
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
	current, err := c.readFleet(ctx)
	if err != nil {
		return err
	}
	result := explainJSON{
		Service: c.service, Version: versions.Head().Version(), Keyed: rules.IsKeyed(), Key: c.key,
		Fencing: string(rules.Fencing()), SettleMillis: int64(rules.SettleTime()), QueueLimit: rules.QueueLimit(),
	}
	if versions.Accepted() < result.Version {
		result.because("version %d is stored but not accepted: some daemons may still apply version %d or later", result.Version, versions.Accepted())
	}
	if rules.IsKeyed() {
		owners, err := c.readOwners(ctx)
		if err != nil {
			return err
		}
		result.explainOwner(rules, owners, current)
	} else {
		result.explainUnkeyed(current)
	}
	c.explainRoutes(&result, rules)
	if c.json {
		return c.printJSON(result)
	}
	c.printExplanation(result)
	return nil
}

func (e *explainJSON) because(format string, arguments ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, arguments...))
}

func (c *call) findService(catalog template.Catalog) (template.ServiceRules, error) {
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

func (e *explainJSON) identity() identity.Service {
	organisation, name, _ := strings.Cut(e.Service, "/")
	return identity.NewService(organisation, name)
}

func (e *explainJSON) explainOwner(rules template.ServiceRules, owners ownership.Table, current fleet) {
	e.Shard = shard.ForKey(e.Key, rules.Shards())
	e.because("xxhash of the key modulo %d shards is %d", rules.Shards(), e.Shard)
	unit, entry := owners.EntryForKey(e.identity(), e.Shard, e.Key)
	e.HotKey = unit.HotKey() != ""
	e.Epoch, e.Incarnation = entry.Epoch(), entry.Owner()
	if e.HotKey {
		e.because("the key has an entry of its own, since it is or was hot")
	}
	if entry.Owner() == 0 {
		e.because("the shard has no owner yet: the planner of the service assigns it")
		return
	}
	if entry.Lapsed() {
		e.because("the former owner was replaced and did not hand over%s", settleNote(rules))
	}
	for _, member := range current.members {
		if member.Incarnation() == entry.Owner() {
			e.setOwner(member)
			return
		}
	}
	e.because("the table has no row of the owner: the planner of the service assigns the shard to another member")
}

func settleNote(rules template.ServiceRules) string {
	if rules.SettleTime() == 0 {
		return ""
	}
	return fmt.Sprintf(", so the new owner waits %d ms", rules.SettleTime())
}

func (e *explainJSON) setOwner(member membership.Member) {
	e.Owner = member.Instance().Name()
	e.HTTPAddress, e.PeerAddress = member.Instance().HTTPAddress(), member.Instance().PeerAddress()
	switch member.State() {
	case membership.StateDead:
		e.because("the owner is dead: the planner of the service assigns the shard to another member")
	case membership.StateDraining:
		e.because("the owner is leaving and hands its shards over")
	default:
		e.because("the owner is %s in the table", member.State())
	}
}

func (e *explainJSON) explainUnkeyed(current fleet) {
	for _, member := range current.members {
		if member.Alive() && member.Announcement().Service() == e.identity() {
			e.ServedBy = append(e.ServedBy, member.Instance().Name())
		}
	}
	e.because("a service without keys has no owner: each request goes to the less loaded of two of its upstreams, in the same failure domain first, then in the same region")
}

// explainRoutes lists the routes that apply to the request, or all.
func (c *call) explainRoutes(result *explainJSON, rules template.ServiceRules) {
	routes := rules.Routes()
	if c.method != "" || c.path != "" {
		route, ok := rules.MatchRoute(c.method, c.path)
		routes = []template.RouteRules{route}
		if !ok {
			routes = nil
			result.because("no route matches %s %s", c.method, c.path)
		} else {
			result.because("%s %s: the first route that matches applies", c.method, c.path)
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

func (c *call) printExplanation(e explainJSON) {
	c.printf("service: %s, version %d\n", e.Service, e.Version)
	if e.Keyed {
		c.printf("key: %s\nshard: %d\nowner: %s\nepoch: %d\naddress: %s\n", e.Key, e.Shard, ownerText(e), e.Epoch, e.HTTPAddress)
	} else {
		c.printf("served by: %s\n", strings.Join(e.ServedBy, ", "))
	}
	c.printf("fencing: %s, settle %d ms, queue limit %d\n", e.Fencing, e.SettleMillis, e.QueueLimit)
	rows := make([][]string, 0, 1+len(e.Routes))
	rows = append(rows, []string{"METHOD", "PATH SUFFIX", "IDEMPOTENT", "PRIORITY", "TIMEOUT"})
	for _, route := range e.Routes {
		rows = append(rows, []string{orAny(route.Method), orAny(route.PathSuffix), fmt.Sprint(route.Idempotent), route.Priority, fmt.Sprintf("%d ms", route.TimeoutMillis)})
	}
	c.printTable(rows)
	c.printf("why:\n")
	for _, reason := range e.Reasons {
		c.printf("  %s\n", reason)
	}
}

func ownerText(e explainJSON) string {
	if e.Incarnation == 0 {
		return "none"
	}
	return fmt.Sprintf("%s (%s)", e.Owner, e.Incarnation)
}

func orAny(text string) string {
	if text == "" {
		return "any"
	}
	return text
}
