package app_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// writeWithoutEnd writes to a connection until the other side closes it, for at most the given
// time. It reports whether the other side closed it.
func writeWithoutEnd(conn net.Conn, repeated string, pause, limit time.Duration) bool {
	part := []byte(repeated)
	for began := time.Now(); time.Since(began) < limit; time.Sleep(pause) {
		if _, err := conn.Write(part); err != nil {
			return true
		}
	}
	return false
}

// TestManyMessagesWithoutEnd guards against reports and control messages without end that
// together take more memory than an instance has.
func TestManyMessagesWithoutEnd(t *testing.T) {
	const maxBytes = 40 << 20 // allowed for a sidecar without bodies
	c := newCluster(t, 133, "ledger")
	in := c.instances[0]
	for name, target := range map[string]string{
		"reports":  in.ip + ":9004" + platformtest.HeartbeatPath("u0"),
		"messages": in.ip + ":9005/rows",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.eventually("serving of bookings", func() bool {
				status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
				return status == http.StatusOK
			})
			address, path, _ := strings.Cut(target, "/")
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var senders sync.WaitGroup
			for range 64 {
				senders.Go(func() {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					part := `{"rows":[` + strings.Repeat(" ", 16<<10)
					_, _ = fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", path)
					writeWithoutEnd(conn, fmt.Sprintf("%x\r\n%s\r\n", len(part), part), 2*time.Millisecond, 5*time.Second)
				})
			}
			var peak uint64
			done := make(chan struct{})
			go func() { senders.Wait(); close(done) }()
			served, refused := 0, 0
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(10 * time.Millisecond):
				}
				if status, _ := c.sendRequest(in, http.MethodPost, fmt.Sprintf("/book/%s-%d", name, served+refused), 1); status == http.StatusOK {
					served++
				} else {
					refused++
				}
				var during runtime.MemStats
				runtime.ReadMemStats(&during)
				peak = max(peak, during.HeapInuse)
			}
			t.Logf("heap %d kB before, at most %d kB; %d small requests served, %d not", before.HeapInuse>>10, peak>>10, served, refused)
			is.True(peak-before.HeapInuse < maxBytes)
			is.Equal(refused, 0)
		})
	}
}
