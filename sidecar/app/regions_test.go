package app_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRestrictedRoutes guards against a request that runs at an upstream outside the allowed regions of
// its route, with or without a key, against one that runs although it is unknown where it
// may, and against a version that lifts a restriction without effect.
func TestRestrictedRoutes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 63, "wardrobe", "ledger") // both in region r
	c.eventually("assignment of all keys", c.allKeysHeld)
	paths := []string{"/browse/x", "/book/x"}
	serve := func(status int) func() bool {
		return func() bool {
			for _, path := range paths {
				for _, in := range c.instances {
					if got, _ := c.sendRequest(in, http.MethodGet, path, 7); got != status {
						return false
					}
				}
			}
			return true
		}
	}
	manifest := string(c.store.Row("op", "config").Value)
	version := 4
	writeManifest := func(allowed string) {
		version++
		restricted := strings.ReplaceAll(manifest, `"host":"h"`, `"host":"h","allowed_regions":`+allowed)
		c.store.Put("op", "config", []byte(strings.Replace(restricted, "00000004", fmt.Sprintf("%08x", version), 1)))
	}
	for _, test := range []struct {
		allowed string
		refused string
	}{
		{"[]", ""},
		{`["elsewhere"]`, "not run: region-not-allowed"},
		{`["elsewhere","r"]`, ""},
		{"null", "not run: unsupported-route"},
		{`["r"]`, ""},
	} {
		writeManifest(test.allowed)
		if test.refused == "" {
			c.eventually("requests served with "+test.allowed, serve(http.StatusOK))
			continue
		}
		c.eventually("requests refused with "+test.allowed, serve(http.StatusServiceUnavailable))
		runs := c.instances[0].upstream.TotalRuns() + c.instances[1].upstream.TotalRuns()
		for _, path := range paths {
			_, body := c.sendRequest(c.instances[1], http.MethodGet, path, 7)
			is.Equal(strings.TrimSpace(body), test.refused)
		}
		is.Equal(c.instances[0].upstream.TotalRuns()+c.instances[1].upstream.TotalRuns(), runs)
	}
}
