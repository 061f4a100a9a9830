package app_test

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// stopClient sends bookings to a sidecar, one after another, and keeps what it was told.
type stopClient struct {
	client   *http.Client
	mu       sync.Mutex
	statuses map[string]int
}

// send sends a booking. Status 0 means that the connection ended without a whole response.
func (s *stopClient) send(t *testing.T, in *instance, id string) {
	r, err := platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Address: in.ip + ":9001", Host: "h", Path: "/book/x", Timeout: 2 * time.Second, Body: "body",
	}.HTTPRequest(t.Context())
	if err != nil {
		t.Error(err)
		return
	}
	status := 0
	if response, err := s.client.Do(r); err == nil {
		if _, err := io.ReadAll(response.Body); err == nil {
			status = response.StatusCode
		}
		_ = response.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[id] = status
}

// TestPlannedStopUnderLoad guards against requests that were accepted and run, and whose
// connection is closed without a response when their sidecar stops, at any moment of a
// request's way, on kept and on new connections. The callers ignore the readiness probe and
// go on until the process is gone.
func TestPlannedStopUnderLoad(t *testing.T) {
	is := is.New(t)
	c := newClusterWithGrace(t, 47, "6s", "ledger", "ledger")
	stopped := c.instances[0]
	for _, in := range c.instances {
		in.upstream.ServiceTime = 30 * time.Millisecond
		c.eventually("serving of bookings", func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
			return status == http.StatusOK
		})
	}
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // The pauses must repeat.
	var clients sync.WaitGroup
	kept := &stopClient{client: &http.Client{Transport: &http.Transport{}}, statuses: make(map[string]int)}
	fresh := &stopClient{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, statuses: make(map[string]int)}
	for i := range 12 {
		pause := time.Duration(random.IntN(20)) * time.Millisecond
		sender := kept
		if i%2 == 1 {
			sender = fresh
		}
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped.done:
					return
				default:
				}
				sender.send(t, stopped, fmt.Sprintf("stop-%d-%d", i, n))
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped.stop()
	clients.Wait()
	counts := map[int]int{}
	maps.Copy(kept.statuses, fresh.statuses)
	for id, status := range kept.statuses {
		counts[status]++
		runs := 0
		for _, in := range c.instances {
			runs += in.upstream.RunCount(id)
		}
		if runs > 1 || runs > 0 && status != http.StatusOK || runs == 0 && status == http.StatusOK {
			t.Errorf("request %s: status %d after %d runs", id, status, runs)
		}
	}
	t.Logf("requests by status: %v", counts)
	is.True(counts[http.StatusOK] > 100)
}
