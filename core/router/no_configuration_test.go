package router_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/template"
	"briarwell.dev/core/upstream"
)

// TestUnknownServiceWithoutConfiguration guards against 404 from a daemon that has a lease but no
// configuration yet.
func TestUnknownServiceWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	d := newCluster(1, upstream.FencingNone)[0]
	d.catalog = template.Catalog{}
	response := d.entry.Serve(t.Context(), getRequest("/attire/catalogue/x"))
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.Equal(outcome.ReasonOf(response.Outcome), outcome.ReasonConfigurationLags)
}
