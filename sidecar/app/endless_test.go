package app_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// endlessResponses are responses without end. Their heads belong to the request with an ID.
func endlessResponses(id string) map[string]*platformtest.EndlessBytes {
	filler := strings.Repeat("x", 16<<10)
	const status = "HTTP/1.1 200 OK\r\n"
	head := status + "X-Request-Id: " + id + "\r\nX-Server-Signature: s\r\n"
	return map[string]*platformtest.EndlessBytes{
		"noise":      {First: "\x00\x01\x02", Repeated: filler},
		"statusline": {First: "HTTP/1.1 200 ", Repeated: filler},
		"headline":   {First: head + "X-Filler: ", Repeated: filler},
		"headlines":  {First: head, Repeated: "X-Filler: " + filler[:100] + "\r\n"},
		"interim":    {First: "", Repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		"close":      {First: head + "\r\n", Repeated: filler},
		"length":     {First: head + "Content-Length: 9000000000\r\n\r\n", Repeated: filler},
		"chunks":     {First: head + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "4000\r\n" + filler + "\r\n"},
		"tinychunks": {First: head + "Transfer-Encoding: chunked\r\n\r\n", Repeated: strings.Repeat("1\r\nx\r\n", 1000)},
		"extension":  {First: head + "Transfer-Encoding: chunked\r\n\r\n1;", Repeated: filler},
		"extensions": {First: head + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "1;" + filler[:2000] + "\r\nx\r\n"},
		"trailers":   {First: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeated: "X-Filler: " + filler[:100] + "\r\n"},
		"late":       {First: status + "X-Request-Id: another\r\n\r\n", Repeated: filler},
		"copies":     {First: "", Repeated: status + "X-Request-Id: another\r\nContent-Length: 5\r\n\r\nhello"},
		"trickle":    {First: head + "\r\n", Repeated: "x", Pause: 10 * time.Millisecond},
		"slowhead":   {First: head, Repeated: "X: x\r\n", Pause: 10 * time.Millisecond},
		"slowlate":   {First: status + "X-Request-Id: another\r\n\r\n", Repeated: "x", Pause: 10 * time.Millisecond},
	}
}

// answerEndlessly makes an upstream send the endless response that an ID names before its first
// dash.
func answerEndlessly(u *platformtest.Upstream) {
	u.EndlessResponse = func(id string) *platformtest.EndlessBytes {
		kind, _, _ := strings.Cut(id, "-")
		return endlessResponses(id)[kind]
	}
}

// sendWithID sends a request with an ID and returns the status and the body of a complete
// response, 0 if there is none.
func (c *cluster) sendWithID(ctx context.Context, in *instance, method, path, id string, timeout time.Duration) (int, string) {
	r, err := platformtest.CallerRequest{ID: id, Method: method, Address: in.ip + ":9001", Host: "h", Path: path, Timeout: timeout}.HTTPRequest(ctx)
	if err != nil {
		c.t.Error(err)
		return 0, ""
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// TestEndlessResponses guards against a response of an upstream without end that reaches its
// caller as a success, or without an answer, or that goes on after the answer.
func TestEndlessResponses(t *testing.T) {
	const timeout = time.Second
	c := newCluster(t, 130, "ledger", "other")
	upstream := c.instances[0].upstream
	answerEndlessly(upstream)
	for _, in := range c.instances {
		c.eventually("serving of bookings by "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
			return status == http.StatusOK
		})
	}
	for kind := range endlessResponses("") {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			for _, in := range c.instances {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					sends := 0
					c.eventually("run of a request by "+in.name, func() bool { // It is refused while its upstream counts as failing.
						sends++
						id := fmt.Sprintf("%s-%s-%s-%d", kind, in.name, method, sends)
						began := time.Now()
						status, body := c.sendWithID(t.Context(), in, method, "/book/x", id, timeout)
						is.True(time.Since(began) < timeout+500*time.Millisecond)
						runs := upstream.RunCount(id)
						if ran := status == http.StatusBadGateway || status == http.StatusGatewayTimeout; !ran && status != http.StatusServiceUnavailable || ran != (runs == 1) {
							t.Errorf("%s: the caller got status %d and the body %.100q, %d runs", id, status, body, runs)
						}
						return runs == 1
					})
				}
			}
			c.within(time.Second, "end of the responses", func() bool { return upstream.EndlessResponses() == 0 })
		})
	}
	for _, in := range c.instances {
		c.eventually("serving after endless responses by "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/last", 1)
			return status == http.StatusOK
		})
	}
}

// TestEndlessResponsesBesideSmallRequests guards against many responses without end that take the
// memory of a sidecar, or keep the requests of other callers from being served. It logs the
// memory of the process.
func TestEndlessResponsesBesideSmallRequests(t *testing.T) {
	is := is.New(t)
	const targetLatency = time.Second // of the routes
	const sidecarBytes = 40 << 20     // allowed for one, without bodies
	c := newCluster(t, 131, "ledger", "wardrobe")
	faulty, second := c.instances[0], c.instances[1]
	answerEndlessly(faulty.upstream)
	c.eventually("assignment of all keys", c.allKeysHeld)
	for _, in := range c.instances {
		c.eventually("serving of all routes by "+in.name, func() bool {
			booked, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
			browsed, _ := c.sendRequest(in, http.MethodGet, "/browse/first", 1)
			return booked == http.StatusOK && browsed == http.StatusOK
		})
	}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	var mu sync.Mutex
	endless := map[int]int{}
	for i := range 24 {
		senders.Go(func() {
			kinds := []string{"close", "chunks", "tinychunks", "headlines", "late", "trickle", "slowhead", "noise"}
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%s-%d-%d", kinds[(i+n)%len(kinds)], i, n)
				status, _ := c.sendWithID(t.Context(), c.instances[i%2], http.MethodPost, "/book/x", id, time.Second)
				mu.Lock()
				endless[status]++
				mu.Unlock()
				if status == http.StatusServiceUnavailable {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	var peak uint64
	small := map[string][]time.Duration{}
	failed := map[string]int{}
	for n := range 100 {
		for name, send := range map[string]func() int{
			"same upstream": func() int {
				status, _ := c.sendWithID(t.Context(), second, http.MethodPost, "/book/x", fmt.Sprintf("small-%d", n), 2*time.Second)
				return status
			},
			"other upstream": func() int {
				status, _ := c.sendRequest(faulty, http.MethodGet, fmt.Sprintf("/browse/%d", n), n)
				return status
			},
		} {
			began := time.Now()
			if status := send(); status != http.StatusOK {
				failed[fmt.Sprintf("%s: %d", name, status)]++
			}
			small[name] = append(small[name], time.Since(began))
		}
		var during runtime.MemStats
		runtime.ReadMemStats(&during)
		peak = max(peak, during.HeapInuse)
	}
	cancel()
	senders.Wait()
	for name, times := range small {
		slices.Sort(times)
		t.Logf("%s: median %v, p99 %v", name, times[len(times)/2], times[len(times)*99/100])
	}
	t.Logf("endless by status %v, small ones not served %v, heap %d kB before, at most %d kB", endless, failed, before.HeapInuse>>10, peak>>10)
	is.True(endless[http.StatusBadGateway] > 0)
	is.Equal(endless[http.StatusOK], 0)
	is.Equal(failed["other upstream: 502"]+failed["other upstream: 503"]+failed["other upstream: 504"]+failed["other upstream: 0"], 0)
	is.True(small["other upstream"][len(small["other upstream"])*99/100] < targetLatency)
	is.True(peak-before.HeapInuse < sidecarBytes)
	c.eventually("memory for an upload", func() bool {
		status, _, _ := c.sendUpload(t.Context(), second, "after", make([]byte, 100_000), false)
		return status == http.StatusOK
	})
}
