package app_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarwell.dev/platform/platformtest"
)

// sendHead sends bytes to a sidecar as a caller, and returns the status of the response, 0 if none.
func (c *cluster) sendHead(in *instance, text string) int {
	c.t.Helper()
	conn, err := net.Dial("tcp", in.ip+":9001")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		c.t.Fatal(err)
	}
	if _, err = conn.Write([]byte(text)); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestProperRequestDeniedForItsForm guards against a 4xx for a request that the protocol and the
// manifest allow, against a success that no upstream gave, and against a status that isn't counted.
func TestProperRequestDeniedForItsForm(t *testing.T) {
	c := newCluster(t, 140, "ledger")
	in := c.instances[0]
	c.eventually("serving", c.allServe("/book/first"))
	for name, want := range map[string]struct {
		line, fields string
		status       int
	}{
		"plain":            {"GET /book/a", "Host: h\r\n", http.StatusOK},
		"spent time":       {"GET /book/a", "Host: h\r\nX-Deadline-Ms: -1\r\n", http.StatusServiceUnavailable},
		"key of no number": {"GET /book/a", "Host: h\r\nX-Shard-Key: +5\r\n", http.StatusOK},
		"absolute form":    {"GET http://h:80/book/a", "Host: other\r\n", http.StatusOK},
		"host with port":   {"GET /book/a", "Host: H:9001\r\n", http.StatusOK},
		"host with dot":    {"GET /book/a", "Host: h.\r\n", http.StatusOK},
		"connection":       {"GET /book/a", "Host: h\r\nConnection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n", http.StatusOK},
		"version 1.0":      {"GET /book/a", "Host: h\r\nConnection: keep-alive\r\n", http.StatusOK},
		"unusual path":     {"GET /book//a;b=1,|\"<>[]{}^`\\?x=%zz&<>", "Host: h\r\n", http.StatusOK},
		"path in UTF-8":    {"GET /book/\xc3\xa9", "Host: h\r\n", http.StatusOK},
		"expect":           {"POST /book/a", "Host: h\r\nExpect: 100-Continue\r\nContent-Length: 0\r\n", http.StatusOK},
		"trailer":          {"POST /book/a", "Host: h\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n1;e=x\r\nb\r\n0\r\nX-End: 1\r\n", http.StatusOK},
		"options":          {"OPTIONS /book/a", "Host: h\r\n", http.StatusOK},
		"options asterisk": {"OPTIONS *", "Host: h\r\n", http.StatusNotFound},
		"bad escape":       {"GET /book/%zz", "Host: h\r\n", http.StatusBadRequest},
		"other expect":     {"GET /book/a", "Host: h\r\nExpect: x\r\n", http.StatusExpectationFailed},
		"no host":          {"GET /book/a", "", http.StatusBadRequest},
		"spaces":           {"GET /book/a", "Host:  h \r\nX-Deadline-Ms:  900 \r\nX-Shard-Key:  7 \r\n", http.StatusOK},
	} {
		minor := 1
		if name == "version 1.0" {
			minor = 0
		}
		status := c.sendHead(in, fmt.Sprintf("%s HTTP/1.%d\r\nX-Request-Id: %s\r\n%s\r\n", want.line, minor, strings.ReplaceAll(name, " ", "-"), want.fields))
		if status != want.status {
			t.Errorf("%s: status %d, not %d", name, status, want.status)
		}
	}
	c.eventually("metrics of statuses by net/http", func() bool {
		return c.metric(in, `own_statuses_total{reason="http-protocol",status="400"}`) == "2" &&
			c.metric(in, `own_statuses_total{reason="http-protocol",status="417"}`) == "1"
	})
}

// TestBodyDeniedByOldLimit guards against 413 from a sidecar that can't know whether the newest
// manifest allows the body: the store refuses it.
func TestBodyDeniedByOldLimit(t *testing.T) {
	c := newCluster(t, 141, "ledger")
	in := c.instances[0]
	c.eventually("serving", c.allServe("/book/first"))
	const head = "POST /book/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nContent-Length: 1000001\r\n\r\n"
	if status := c.sendHead(in, head); status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d by the newest limit", status)
	}
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	c.eventually("refusal by a limit that may be old", func() bool { return c.sendHead(in, head) == http.StatusServiceUnavailable })
	c.store.SetFaults(platformtest.StoreFaults{})
	c.eventually("413 again", func() bool { return c.sendHead(in, head) == http.StatusRequestEntityTooLarge })
}

// TestHeaderDeniedByServerBound guards against 431 for a header that the manifest allows, from the
// sidecar of the caller or from the one that runs the request, and against a limit of the manifest
// that is not applied, or applied while a newer one may allow more.
func TestHeaderDeniedByServerBound(t *testing.T) {
	c := newCluster(t, 143, "wardrobe", "ledger")
	in := c.instances[0]
	c.eventually("serving", func() bool { return c.sendHead(in, bookingWithHeader(10)) == http.StatusOK })
	send := func(bytes, want int) {
		t.Helper()
		if status := c.sendHead(in, bookingWithHeader(bytes)); status != want {
			t.Errorf("header of %d bytes: status %d, not %d", bytes, status, want)
		}
	}
	send(200_000, http.StatusOK)
	c.store.WriteLimitsManifest(5, `{"max_header_bytes":300000}`)
	c.eventually("limit in force", func() bool {
		return c.sendHead(in, bookingWithHeader(300_001)) == http.StatusRequestHeaderFieldsTooLarge
	})
	send(299_900, http.StatusOK)
	c.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	c.eventually("refusal by a limit that may be old", func() bool {
		return c.sendHead(in, bookingWithHeader(300_001)) == http.StatusServiceUnavailable
	})
}

// bookingWithHeader returns a booking with a header field of the given size.
func bookingWithHeader(bytes int) string {
	return "GET /book/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nCookie: " + strings.Repeat("c", bytes) + "\r\n\r\n"
}
