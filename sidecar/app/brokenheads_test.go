package app_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// brokenHeads returns responses to the request with an ID whose heads are not valid, by the reason for
// which they are not passed on.
func brokenHeads(id string) map[string][]string {
	fields := "X-Request-Id: " + id + "\r\nX-Server-Signature: s\r\n"
	valid := "HTTP/1.1 200 OK\r\n" + fields
	forged := valid + "Content-Length: 6\r\n\r\nforged"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(forged))
	return map[string][]string{
		"invalid-status": {
			"HTTP/1.1 000 Trouble\r\n" + fields + length + "\r\n" + forged,
			"HTTP/1.1 099 Trouble\r\n" + fields + length + "\r\n" + forged,
			"HTTP/1.1 101 Trouble\r\n" + fields + length + "\r\n" + forged,
			"HTTP/1.1 999 Trouble\r\n" + fields + length + "\r\n" + forged,
		},
		"invalid-field": {
			valid + "Content-Length : 4\r\n\r\nbodyrest",
			valid + " Content-Length: 4\r\n\r\nbodyrest",
			valid + "X Name: v\r\nContent-Length: 4\r\n\r\nbody",
			valid + "X\tName: v\r\nContent-Length: 4\r\n\r\nbody",
			valid + "X\x01Name: v\r\nContent-Length: 4\r\n\r\nbody",
			valid + "Content-Length: 4\r\n\nX-Name: v\r\n\r\nbody",
			"HTTP/1.1 103 Early Hints\r\nX Link: v\r\n\r\n" + valid + "Content-Length: 4\r\n\r\nbody",
		},
		"invalid-framing": {
			valid + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		},
		"incomplete": {
			valid + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Name: v\r\n\r\n",
		},
	}
}

// TestBrokenHeads guards against a response of an upstream whose head or trailers are not valid, and that
// reaches the caller as a success, with a line that is no field or with another body.
func TestBrokenHeads(t *testing.T) {
	c := newCluster(t, 161, "ledger", "other")
	upstream := c.instances[0].upstream
	upstream.RawResponse = func(id string) string {
		var i int
		reason, rest, _ := strings.Cut(id, "/")
		if _, err := fmt.Sscanf(rest, "%d/", &i); err != nil {
			return ""
		}
		return brokenHeads(id)[reason][i]
	}
	for _, in := range c.instances {
		c.eventually("serving by "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
			return status == http.StatusOK
		})
	}
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Second}}
	for reason, responses := range brokenHeads("") {
		for i := range responses {
			for _, in := range c.instances {
				for _, expect := range []string{"", "100-continue"} {
					id := fmt.Sprintf("%s/%d/%s/%s", reason, i, in.name, expect)
					r, err := platformtest.CallerRequest{
						ID: id, Method: http.MethodPost, Address: in.ip + ":9001", Host: "h", Path: "/book/x", Timeout: 2 * time.Second,
						Body: strings.Repeat("x", 20<<10),
					}.HTTPRequest(t.Context())
					if err != nil {
						t.Fatal(err)
					}
					if expect != "" {
						r.Header.Set("Expect", expect)
					}
					response, err := client.Do(r)
					if err != nil {
						t.Fatal(err)
					}
					body, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if err != nil || response.StatusCode != http.StatusBadGateway || response.Header.Get("X-Server-Signature") != "" {
						t.Errorf("%s: status %d, header %v, body %q, error %v", id, response.StatusCode, response.Header, body, err)
					}
					if n := upstream.RunCount(id); n != 1 {
						t.Errorf("%s: run %d times", id, n)
					}
				}
			}
		}
		c.eventually("metric of "+reason, func() bool {
			return c.metric(c.instances[0], `responses_not_passed_on_total{reason="`+reason+`"}`) == fmt.Sprint(4*len(responses))
		})
	}
	c.logs.mu.Lock()
	defer c.logs.mu.Unlock()
	if text := c.logs.buf.String(); !strings.Contains(text, "event=responseNotPassedOn request=invalid-") {
		t.Error("no line names a request")
	}
}

// TestBrokenReplyOfPeer guards against a reply of another sidecar whose head is not valid, and that
// reaches the caller.
func TestBrokenReplyOfPeer(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 162, "other")
	caller, address := c.instances[0], "127.162.0.9:9002"
	listener, err := net.Listen("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 x\r\nBw: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Bw"))
			}
			_ = conn.Close()
		}
	}()
	c.store.Put("briarwell", "member/i9", fmt.Appendf(nil, `{"requestAddress":%q,"peerAddress":%q,"region":"r","failureDomain":"d0",
		"incarnation":"0000000000000077","service":"ledger","slots":4,"serving":true}`, address, address))
	c.eventually("a request that is sent to the peer", func() bool {
		response, _ := c.sendForResponse(caller, http.MethodGet, "/book/x", "request")
		is.True(response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusServiceUnavailable)
		return response.StatusCode == http.StatusBadGateway
	})
	c.eventually("metric of replies that are not passed on", func() bool {
		return c.metric(caller, `replies_not_passed_on_total{reason="invalid-status"}`) != ""
	})
}
