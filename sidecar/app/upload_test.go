package app_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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

// newUploadCluster starts two instances; uploads that callers send to the first one run on
// the upstream of the second one. Each sidecar has 512 kB for the bodies of messages, of
// which one body may take 128 kB.
func newUploadCluster(t *testing.T, subnet int) (*cluster, *instance, *platformtest.Upstream) {
	t.Helper()
	c := newCluster(t, subnet, "wardrobe", "ledger")
	c.eventually("serving of bookings", func() bool {
		status, _ := c.sendRequest(c.instances[0], http.MethodPost, "/book/first", 1)
		return status == http.StatusOK
	})
	return c, c.instances[0], c.instances[1].upstream
}

// sendUpload sends an upload and returns the status, the body, and the response header. A
// chunked upload has no length.
func (c *cluster) sendUpload(ctx context.Context, in *instance, id string, body []byte, chunked bool) (int, string, http.Header) {
	r, err := platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Address: in.ip + ":9001", Host: "h", Path: "/photos/" + id, Timeout: 2 * time.Second,
	}.HTTPRequest(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	if chunked {
		r.ContentLength = -1
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return response.StatusCode, string(text), response.Header
}

// TestUpload guards against a large body that arrives changed or runs twice, against 413 for one that
// only this instance can't hold, and against another answer to one that the manifest forbids.
func TestUpload(t *testing.T) {
	is := is.New(t)
	c, in, upstream := newUploadCluster(t, 43)
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{0, 1, 16 << 10, 50_000} {
			id := fmt.Sprintf("up-%t-%d", chunked, size)
			body := bytes.Repeat([]byte("p"), size)
			status, text, _ := c.sendUpload(t.Context(), in, id, body, chunked)
			is.Equal(status, http.StatusOK)
			is.True(strings.HasSuffix(text, ": "+string(body)))
			is.Equal(upstream.RunCount(id), 1)
		}
		id := fmt.Sprintf("large-%t", chunked)
		status, _, header := c.sendUpload(t.Context(), in, id, make([]byte, 200_000), chunked)
		is.True(status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" || status == 0) // 0: closed while the body was sent
		is.Equal(upstream.RunCount(id), 0)
	}
	// The chunks of a body over the limit are read only as far as this instance can hold them.
	status, _, _ := c.sendUpload(t.Context(), in, "forbidden", make([]byte, 1_000_001), false)
	is.True(status == http.StatusRequestEntityTooLarge || status == 0)
	is.Equal(upstream.RunCount("forbidden"), 0)
	c.eventually("statuses", func() bool {
		return c.metric(in, `own_statuses_total{reason="body-too-large",status="413"}`) == "1" &&
			c.metric(in, `own_statuses_total{reason="body-capacity",status="503"}`) == "2"
	})
}

// TestUploadsExceedMemory guards against uploads that together take more memory than a
// sidecar has for them, and against refusals of uploads that ran.
func TestUploadsExceedMemory(t *testing.T) {
	is := is.New(t)
	c, in, upstream := newUploadCluster(t, 44)
	upstream.ServiceTime = 100 * time.Millisecond
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 30 {
		wait.Go(func() {
			id := fmt.Sprintf("many-%d", i)
			status, _, header := c.sendUpload(t.Context(), in, id, make([]byte, 60_000), false)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if status == http.StatusServiceUnavailable && (upstream.RunCount(id) != 0 || header.Get("Retry-After") == "") {
				t.Errorf("upload %s was refused with header %v after %d runs", id, header, upstream.RunCount(id))
			}
		})
	}
	wait.Wait()
	t.Logf("statuses: %v", statuses)
	is.True(statuses[http.StatusOK] > 0)
	is.True(statuses[http.StatusServiceUnavailable] > 0)
	// The memory is free again, and small requests are served.
	status, _, _ := c.sendUpload(t.Context(), in, "after", make([]byte, 100_000), false)
	is.Equal(status, http.StatusOK)
}

// sendHalf sends the head of an upload of 50 kB with the given time limit, and half of its
// body.
func sendHalf(t *testing.T, in *instance, id string, timeoutMillis int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", in.ip+":9001")
	if err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "POST /photos/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 50000\r\n\r\n%s",
		id, id, timeoutMillis, strings.Repeat("h", 25_000))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestUnfinishedUploads guards against an upload that stalls or breaks off and that runs,
// that keeps memory, or that counts as denied.
func TestUnfinishedUploads(t *testing.T) {
	is := is.New(t)
	c, in, upstream := newUploadCluster(t, 45)
	stalled := sendHalf(t, in, "stalled", 400)
	defer func() { _ = stalled.Close() }()
	startedAt := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
	is.True(time.Since(startedAt) < time.Second)
	for i := range 20 {
		is.NoErr(sendHalf(t, in, fmt.Sprintf("left-%d", i), 2000).Close())
	}
	c.eventually("memory for another upload", func() bool {
		status, _, _ := c.sendUpload(t.Context(), in, "after", make([]byte, 100_000), false)
		return status == http.StatusOK
	})
	is.Equal(upstream.RunCount("stalled"), 0)
	is.Equal(upstream.RunCount("left-0"), 0)
	c.eventually("metrics of uploads", func() bool {
		return c.metric(in, "requests_broken_off_total") == "20" && c.metric(in, `own_statuses_total{reason="body-timeout",status="408"}`) == "1" &&
			c.metric(in, `own_statuses_total{reason="body-incomplete",status="400"}`) == ""
	})
}

// TestUpstreamRespondsBeforeUploadEnds guards against a response to an upload that is lost,
// or given to another request, since the upstream sent it before it had read the body.
func TestUpstreamRespondsBeforeUploadEnds(t *testing.T) {
	is := is.New(t)
	c, in, upstream := newUploadCluster(t, 46)
	for _, status := range []int{http.StatusOK, http.StatusTeapot, http.StatusServiceUnavailable} {
		upstream.EarlyStatus = status
		got, text, _ := c.sendUpload(t.Context(), in, fmt.Sprintf("early-%d", status), make([]byte, 120_000), false)
		is.Equal(got, status)
		is.True(status == http.StatusServiceUnavailable || text == "early")
		upstream.EarlyStatus = 0
		got, text, _ = c.sendUpload(t.Context(), in, fmt.Sprintf("next-%d", status), []byte("own"), false)
		is.Equal(got, http.StatusOK)
		is.True(strings.HasSuffix(text, ": own"))
	}
}

// TestSmallRequestsBesideUploads guards against small requests that wait for large bodies: 12
// callers upload without a pause through the sidecars that also serve the small requests. It
// logs the times of these with and without the uploads, and the memory of the process.
func TestSmallRequestsBesideUploads(t *testing.T) {
	is := is.New(t)
	c, in, _ := newUploadCluster(t, 55)
	const smallRequests = 200
	const targetLatency = 400 * time.Millisecond // of the route
	measure := func(name string) time.Duration {
		times := make([]time.Duration, 0, smallRequests)
		for i := range smallRequests {
			began := time.Now()
			status, _ := c.sendRequest(in, http.MethodPost, fmt.Sprintf("/book/%s-%d", name, i), 1)
			is.Equal(status, http.StatusOK)
			times = append(times, time.Since(began))
			time.Sleep(5 * time.Millisecond)
		}
		slices.Sort(times)
		return times[smallRequests*99/100]
	}
	alone := measure("alone")
	var before, during runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(t.Context())
	var uploads sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 12 {
		uploads.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				status, _, _ := c.sendUpload(t.Context(), in, fmt.Sprintf("beside-%d-%d", i, n), make([]byte, 100_000), false)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	beside := measure("beside")
	runtime.ReadMemStats(&during)
	cancel()
	uploads.Wait()
	t.Logf("p99 %v alone, %v beside uploads; uploads by status %v; memory of the process %d to %d kB", alone, beside, statuses, before.Sys>>10, during.Sys>>10)
	is.True(statuses[http.StatusOK] > 0)
	is.Equal(statuses[http.StatusBadGateway], 0) // An upload runs only if there is memory for its response.
	is.True(beside < targetLatency)
}
