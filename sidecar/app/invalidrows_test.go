package app_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deflated returns a text in the compression of assignment rows.
func deflated(t *testing.T, text string) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, err = w.Write([]byte(text))
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestInvalidRowsOfOtherWriters guards against sidecars that end, that no longer follow the store,
// or that use an upstream that doesn't exist, since another writer has left entries in their
// table: deeply nested ones, numbers that are too large, ports out of range.
func TestInvalidRowsOfOtherWriters(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 76, "wardrobe", "wardrobe", "ledger")
	c.eventually("assignment of all keys", c.allKeysHeld)
	listener, err := net.Listen("tcp", "127.76.0.9:9002")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int64 // to the address of the invalid entries
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			_ = conn.Close()
		}
	}()
	nested := strings.Repeat(`[`, 20_000) + strings.Repeat(`]`, 20_000)
	entry := func(address, slots, more string) string {
		return fmt.Sprintf(`{"requestAddress":%q,"peerAddress":%q,"region":"r","failureDomain":"d0","incarnation":"0000000000000077","service":"ledger","slots":%s,"serving":true%s}`, address, address, slots, more)
	}
	for i, value := range []string{
		nested, `{"slots":` + nested + `}`, entry("127.76.0.9:99999", "4", ""), entry("127.76.0.9:0", "4", ""), entry("127.76.0.9", "4", ""),
		entry("127.76.0.9:9002", "1e999", ""), entry("127.76.0.9:9002", "9223372036854775807", ""), entry("127.76.0.9:9002", "-4", ""),
		entry("127.76.0.9:9002", "4", `,"strength":9223372036854775807`), entry("127.76.0.9:9002", "4", `,"incarnation":1e30`), "\xff\x00", "", "null", "{}", "7",
	} {
		c.store.Put("briarwell", fmt.Sprintf("member/invalid%d", i), []byte(value))
	}
	c.store.Put("briarwell", "member/", []byte(entry("127.76.0.9:9002", "4", "")))
	for i, value := range []string{
		nested, `{"ranges":` + nested + `}`, `{"ranges":{"lengths":[1,9223372036854775807,9223372036854775807,65537],"owners":[0,0,0,0],"nexts":[0,0,0,0],"epochs":[1,0,0,0]}}`,
		`{"epoch":1e40}`, "null", "",
	} {
		for _, service := range []string{"wardrobe", "unknown"} {
			c.store.Put("briarwell", fmt.Sprintf("division/%s", service), deflated(t, value))
		}
		c.store.Put("briarwell", fmt.Sprintf("unknown%d", i), []byte(value))
	}
	time.Sleep(2 * time.Second) // several sync rounds
	c.store.WriteManifest(5, "/new/")
	for _, in := range c.instances {
		c.within(5*time.Second, "use of the new manifest at "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodGet, "/new/", 1)
			return status == http.StatusOK
		})
		for key := 0; key < 65536; key += 4096 {
			status, _ := c.sendRequest(in, http.MethodGet, "/browse/x", key)
			is.Equal(status, http.StatusOK)
			status, _ = c.sendRequest(in, http.MethodPost, fmt.Sprintf("/book/x-%d", key), key)
			is.Equal(status, http.StatusOK)
		}
	}
	c.logs.mu.Lock()
	defer c.logs.mu.Unlock()
	is.True(!strings.Contains(c.logs.buf.String(), "event=panic"))
	is.Equal(connections.Load(), int64(0))
}
