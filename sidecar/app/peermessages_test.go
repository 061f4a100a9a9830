package app_test

import (
	"encoding/json"
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

// post sends a control message to a sidecar and returns the status and the body.
func post(t *testing.T, in *instance, path, body string) (int, string) {
	t.Helper()
	response, err := http.Post("http://"+in.ip+":9005"+path, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// TestMalformedPeerMessages guards against a message of another sidecar that stops this one,
// or replaces what it knows.
func TestMalformedPeerMessages(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 49, "wardrobe", "ledger")
	c.eventually("assignment of all keys", c.allKeysHeld)
	in := c.instances[1]
	c.eventually("serving of keys", func() bool {
		status, _ := c.sendRequest(in, http.MethodGet, "/browse/first", 7)
		return status == http.StatusOK
	})
	for _, path := range []string{"/renew", "/lapse", "/sync", "/rows", "/propose", "/load", "/fetch"} {
		for _, body := range []string{"", "\x00\xff", "[]", "null", "7", `{"rows":7}`, `{"service":"wardrobe","holder":"x"}`, `{"versions":[]}`, strings.Repeat("[", 20_000)} {
			post(t, in, path, body)
		}
	}
	for _, rows := range []string{
		`[{"key":"division/wardrobe","version":9223372036854775807,"value":"AAAA"}]`,
		`[{"key":"division/wardrobe","version":9223372036854775807}]`,
		`[{"key":"manifest","version":9223372036854775807,"value":"AAAA"}]`,
		`[{"key":"division/ledger","version":9,"base":3,"delta":"AQ=="}]`,
		`[{"key":"member/i1","version":3,"value":"bm90aGluZw=="},{"key":"","version":1,"value":""}]`,
	} {
		status, _ := post(t, in, "/rows", `{"rows":`+rows+`}`)
		is.Equal(status, http.StatusOK)
	}
	status, _ := c.sendRequest(in, http.MethodGet, "/browse/after", 7)
	is.Equal(status, http.StatusOK)
	// Rows of lower versions than the invalid ones are still accepted.
	c.store.WriteManifest(5, "/new/")
	c.eventually("use of the new manifest", func() bool {
		status, _ := c.sendRequest(in, http.MethodGet, "/new/", 1)
		return status == http.StatusOK
	})
}

// TestChangeOfUnknownRevision guards against a change of an assignment that is applied to
// another revision than its base: the sidecar must report the revision that it has, so that
// it gets what it lacks.
func TestChangeOfUnknownRevision(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 50, "wardrobe", "ledger")
	c.eventually("assignment of all keys", c.allKeysHeld)
	in := c.instances[1]
	var response struct {
		Missing map[string]uint64 `json:"missing"`
	}
	c.eventually("report of the stored revision", func() bool {
		status, body := post(t, in, "/rows", `{"rows":[{"key":"division/wardrobe","version":1000000,"base":999999,"delta":"AQ=="}]}`)
		is.Equal(status, http.StatusOK)
		is.NoErr(json.Unmarshal([]byte(body), &response))
		known, stored := response.Missing["division/wardrobe"], c.store.Row("briarwell", "division/wardrobe").Version
		// The newest revision takes some time to arrive; one that was never written must
		// not be reported meanwhile.
		is.True(known <= stored)
		return known > 0 && known == stored
	})
	status, _ := c.sendRequest(in, http.MethodGet, "/browse/after", 7)
	is.Equal(status, http.StatusOK)
}

// TestMessagesWithoutEnd guards against a report or a control message whose body goes on
// without end, in trickles, and holds a connection for good.
func TestMessagesWithoutEnd(t *testing.T) {
	c := newCluster(t, 53, "ledger")
	in := c.instances[0]
	for _, target := range []string{in.ip + ":9004" + platformtest.HeartbeatPath("u0"), in.ip + ":9005/rows"} {
		address, path, _ := strings.Cut(target, "/")
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err = fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", path)
		for err == nil && time.Since(began) < 10*time.Second {
			time.Sleep(20 * time.Millisecond)
			_, err = conn.Write([]byte("x"))
		}
		if err == nil {
			t.Errorf("%s: the connection is open after 10 s", target)
		}
		_ = conn.Close()
	}
}
