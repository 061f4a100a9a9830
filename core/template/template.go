package template

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/settings"
	"briarwell.dev/core/upstream"
)

const (
	// DefaultQueueLimit is the queue limit of a service that sets none. At 12 slots
	// and 20 ms per request, a queue of 64 requests takes about 100 ms.
	DefaultQueueLimit = 64
	// DefaultTimeoutMillis is the timeout of a route that sets none.
	DefaultTimeoutMillis = 10_000
	// maxShards limits the ownership rows of a service to 2,048 groups of 32 shards.
	maxShards = 65_536
	// maxQueueLimit bounds the memory of the queue of an upstream.
	maxQueueLimit = 10_000
	// maxTimeoutMillis limits timeouts and settle times to 10 minutes, the retention
	// of request IDs. A longer request would outlive the record of its ID.
	maxTimeoutMillis = 600_000
)

// Document is a Template or an Organisation.
type Document interface {
	isDocument()
	// Source returns the JSON text; callers must not modify it.
	Source() []byte
}

// Template describes the services of one kind of organisation.
type Template struct {
	kind       string
	parameters []Parameter
	source     []byte
}

// Organisation sets the parameters of a template for one organisation.
type Organisation struct {
	name   string
	kind   string
	source []byte
}

func (Template) isDocument()     {}
func (Organisation) isDocument() {}

// Kind returns the kind of organisation that the template is for.
func (t Template) Kind() string { return t.kind }

// Parameters returns the declared parameters; callers must not modify them.
func (t Template) Parameters() []Parameter { return t.parameters }

// Source returns the JSON text; callers must not modify it.
func (t Template) Source() []byte { return t.source }

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Kind returns the kind of the organisation's template.
func (o Organisation) Kind() string { return o.kind }

// Source returns the JSON text; callers must not modify it.
func (o Organisation) Source() []byte { return o.source }

// Parse reads a template or an organisation. A document with the field "services"
// is a template. It returns a *settings.ValidationError with all errors.
func Parse(data []byte) (Document, error) {
	object := settings.ParseDocument(data, &settings.ErrorCollector{}).Object()
	if object.Optional("services").IsPresent() {
		return ParseTemplate(data)
	}
	return ParseOrganisation(data)
}

// ParseTemplate reads a template and validates it with the defaults of its
// parameters. It returns a *settings.ValidationError with all errors.
func ParseTemplate(data []byte) (Template, error) {
	collector := &settings.ErrorCollector{}
	template, _ := readTemplate(data, nil, collector)
	if err := collector.Err(); err != nil {
		return Template{}, err
	}
	return template, nil
}

// ParseOrganisation reads an organisation. Render validates the values of its
// parameters. It returns a *settings.ValidationError with all errors.
func ParseOrganisation(data []byte) (Organisation, error) {
	collector := &settings.ErrorCollector{}
	object := settings.ParseDocument(data, collector).Object()
	organisation := Organisation{
		name:   object.Required("name").Text(nameRule()),
		kind:   object.Required("kind").Text(nameRule()),
		source: data,
	}
	parameters := object.Optional("parameters")
	if parameters.IsPresent() {
		checkScalars(parameters)
	}
	object.RejectUnknownFields()
	if err := collector.Err(); err != nil {
		return Organisation{}, err
	}
	return organisation, nil
}

// checkScalars reports fields of an object that are no string, integer or boolean.
func checkScalars(field settings.Value) {
	object := field.Object()
	for _, name := range object.FieldNames() {
		value := object.Required(name)
		switch decodeScalar(value.Raw()).(type) {
		case string, int64, bool:
		default:
			value.Reject("a string, an integer or a boolean")
		}
	}
}

// readTemplate reads a template and its services with the values of an
// organisation's parameters; nil values mean the defaults.
func readTemplate(data []byte, values map[string]any, collector *settings.ErrorCollector) (Template, []ServiceRules) {
	object := settings.ParseDocument(data, collector).Object()
	defer object.RejectUnknownFields()
	template := Template{kind: object.Required("kind").Text(nameRule()), source: data}
	if parameters := object.Optional("parameters"); parameters.IsPresent() {
		template.parameters = readParameters(parameters)
	}
	services := object.Required("services")
	return template, readServices(services.Resolve(newReferenceResolver(template.parameters, values)))
}

func readServices(field settings.Value) []ServiceRules {
	items := field.Items()
	if field.IsPresent() && len(items) == 0 {
		field.Reject("at least one service")
	}
	services := make([]ServiceRules, 0, len(items))
	for _, item := range items {
		service := readService(item)
		for _, earlier := range services {
			if earlier.name == service.name && service.name != "" {
				item.Collector().Add(item.Path()+".name", "the name "+service.name+" of an earlier service", "a unique name")
			}
		}
		services = append(services, service)
	}
	return services
}

func readService(item settings.Value) ServiceRules {
	object := item.Object()
	defer object.RejectUnknownFields()
	rules := ServiceRules{name: object.Required("name").Text(nameRule())}
	keyed := object.Required("keyed")
	rules.keyed = keyed.Bool()
	rules.shards = readShards(object, keyed, rules.keyed)
	rules.fencing, rules.settleTime = readFencing(object, keyed, rules.keyed)
	rules.queueLimit = int(object.Optional("queueLimit").IntOr(DefaultQueueLimit, settings.NewIntRange(0, maxQueueLimit, "requests")))
	routes := object.Required("routes")
	for _, route := range routes.Items() {
		rules.routes = append(rules.routes, readRoute(route))
	}
	if _, isArray := routes.Raw().([]any); isArray && len(rules.routes) == 0 {
		routes.Reject("at least one route")
	}
	return rules
}

func readShards(object *settings.Object, keyed settings.Value, isKeyed bool) uint32 {
	allowed := settings.NewIntRange(1, maxShards, "shards")
	if isKeyed {
		return uint32(object.Required("shards").Int(allowed))
	}
	shards := object.Optional("shards")
	if shards.IsPresent() && keyed.IsPresent() && keyed.IsResolved() {
		shards.Reject("no shards for a service without keys")
	}
	return 0
}

func readFencing(object *settings.Object, keyed settings.Value, isKeyed bool) (upstream.Fencing, clock.Millis) {
	field := object.Optional("fencing")
	if isKeyed {
		field = object.Required("fencing")
	}
	none := string(upstream.FencingNone)
	allowed := settings.OneOf(string(upstream.FencingEpoch), string(upstream.FencingDeadline), none)
	if !isKeyed && keyed.IsResolved() {
		// A service without keys has no owner and therefore no epoch to check.
		allowed = settings.OneOf(string(upstream.FencingDeadline), none)
	}
	fencing := field.Text(allowed)
	settleTime := object.Optional("settleMillis")
	if isKeyed && fencing == none {
		// A new owner can't know how long requests of the previous owner stay in
		// the buffers of the upstream.
		settleTime = object.Required("settleMillis")
	}
	if fencing == "" {
		fencing = none
	}
	return upstream.Fencing(fencing), clock.Millis(settleTime.Int(settings.NewIntRange(0, maxTimeoutMillis, "ms")))
}

func readRoute(item settings.Value) RouteRules {
	object := item.Object()
	defer object.RejectUnknownFields()
	methods := settings.OneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
	route := RouteRules{
		method:     object.Optional("method").Text(methods),
		pathSuffix: object.Optional("pathSuffix").Text(settings.NonEmpty()),
		idempotent: object.Required("idempotent").Bool(),
	}
	priority := object.Optional("priority").TextOr(PriorityNormal.String(), settings.OneOf(priorityNames()...))
	route.priority, _ = ParsePriority(priority)
	route.timeout = clock.Millis(object.Optional("timeoutMillis").IntOr(DefaultTimeoutMillis, settings.NewIntRange(1, maxTimeoutMillis, "ms")))
	return route
}
