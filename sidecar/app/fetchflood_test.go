package app_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sharedLink forwards connections to a target. Its responses share a link of bytesPerSecond.
func sharedLink(t *testing.T, target string, bytesPerSecond int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var link sync.Mutex
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
			go func() {
				defer func() { _ = near.Close() }()
				buffer := make([]byte, 4<<10)
				for {
					n, err := far.Read(buffer)
					if err != nil {
						return
					}
					link.Lock()
					time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
					link.Unlock()
					if _, err := near.Write(buffer[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestLargeRowFetchedByMany guards against a large manifest that never arrives anywhere, as so many
// sidecars fetch it at once over the link of one that no transfer ends in time.
func TestLargeRowFetchedByMany(t *testing.T) {
	is := is.New(t)
	const fetchers, fetchTime = 60, 15 * time.Second
	c := newCluster(t, 152, "ledger")
	c.store.WriteLargeManifest(5, 40_000, "/new/")
	c.eventually("use of the large manifest", c.allServe("/new/"))
	link := sharedLink(t, c.instances[0].ip+":9005", 10_000_000/8)
	ctx, cancel := context.WithTimeout(t.Context(), fetchTime)
	defer cancel()
	var fetched, bytes atomic.Int64
	var fetches sync.WaitGroup
	for range fetchers {
		fetches.Go(func() {
			response, err := postRow(ctx, link)
			if err == nil && response.StatusCode == http.StatusOK {
				var n int64
				if n, err = io.Copy(io.Discard, response.Body); err == nil {
					fetched.Add(1)
					bytes.Store(n)
				}
			}
			if response != nil {
				_ = response.Body.Close()
			}
		})
	}
	fetches.Wait()
	t.Logf("%d of %d fetched %d bytes", fetched.Load(), fetchers, bytes.Load())
	is.True(fetched.Load() > 0)
}

func postRow(ctx context.Context, address string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/fetch", strings.NewReader(`{"key":"manifest"}`))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(r)
}
