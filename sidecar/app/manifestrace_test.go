package app_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// TestNewRouteDeniedWhileBodyArrives guards against 404 by the manifest from before a slow body,
// although a newer one that has the route came into force while the body arrived.
func TestNewRouteDeniedWhileBodyArrives(t *testing.T) {
	is := is.New(t)
	c := newServingCluster(t, 150)
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	c.store.WriteManifest(5, "/new/")
	in := c.instances[0]
	c.eventually("refusal of the new route", func() bool {
		status, _ := c.sendRequest(in, http.MethodGet, "/new/", 1)
		return status == http.StatusServiceUnavailable
	})
	body, sender := io.Pipe()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s:9001/new/", in.ip), body)
	is.NoErr(err)
	r.Host, r.ContentLength = "h", 2
	r.Header.Set("X-Request-Id", "slow-body")
	r.Header.Set("X-Deadline-Ms", "20000")
	statuses := make(chan int, 1)
	go func() {
		status := 0
		if response, err := http.DefaultClient.Do(r); err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		statuses <- status
	}()
	_, err = sender.Write([]byte("a"))
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // The sidecar reads the body.
	c.store.SetFaults(platformtest.StoreFaults{})
	c.eventually("use of the new manifest by every sidecar", c.allServe("/new/"))
	time.Sleep(time.Second) // It is also known to be the newest.
	_, err = sender.Write([]byte("b"))
	is.NoErr(err)
	is.Equal(<-statuses, http.StatusOK)
}
