package httpupstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/outcome"
	"briarwell.dev/core/upstream"
	"briarwell.dev/core/upstream/httpupstream"
)

// Guards against a response that ended early and is taken for a complete one.
func TestTruncatedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		text     string
		complete bool
	}{
		"length":               {okResponse, true},
		"body too short":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		"body empty":           {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false},
		"chunked":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"no last chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		"truncated last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", false},
		"truncated chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", false},
		"no chunk":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, startServer(t, replyWith(false, c.text)).address)
			response, err := u.Do(context.Background(), newRequest("GET"))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			var truncated *httpupstream.TruncatedError
			is.Equal(errors.As(err, &truncated), !c.complete)
			is.True(!c.complete || string(body) == "ok")
			_, errAgain := response.Body.Read(make([]byte, 1))
			is.Equal(errors.Is(errAgain, io.EOF) && !errors.As(errAgain, &truncated), c.complete) // later reads return the same result
			is.NoErr(response.Body.Close())
		})
	}
}

// slowBody is a body whose second read is delayed.
type slowBody struct{ reads int }

func (s *slowBody) Read(p []byte) (int, error) {
	if s.reads++; s.reads == 2 {
		time.Sleep(700 * time.Millisecond)
	}
	return copy(p, "x"), map[bool]error{true: io.EOF}[s.reads == 2]
}

// Guards against a slow caller that counts as an inactive upstream, for both the request
// and the response body.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
		_, _ = io.CopyN(conn, &zeroBody{}, 1000000)
		return true
	})
	put := newRequest("PUT")
	put.Body, put.ContentLength = &slowBody{}, -1
	response, err := newUpstream(t, s.address, httpupstream.InactivityTimeout(350*time.Millisecond)).Do(context.Background(), put)
	is.NoErr(err)
	_, err = response.Body.Read(make([]byte, 10))
	is.NoErr(err)
	time.Sleep(700 * time.Millisecond)
	rest, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.True(rest >= 999990)
}

// Guards against a response that stops halfway and blocks its caller forever.
func TestStalledResponse(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		return waitForClose(conn, r)
	})
	response, err := newUpstream(t, s.address, httpupstream.InactivityTimeout(50*time.Millisecond)).Do(context.Background(), newRequest("GET"))
	is.NoErr(err)
	start := time.Now()
	_, err = io.ReadAll(response.Body)
	var truncated *httpupstream.TruncatedError
	is.True(errors.As(err, &truncated))
	is.True(time.Since(start) < time.Second)
}

// zeroBody is an endless body of zeros that counts the bytes read.
type zeroBody struct{ read atomic.Int64 }

func (z *zeroBody) Read(p []byte) (int, error) {
	clear(p)
	z.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against losing a refusal that the upstream sent before it had read the request
// body.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nBriarwell-Refused: overloaded\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
		return false
	})
	u := newUpstream(t, s.address, httpupstream.MaxConnections(1))
	body := &zeroBody{}
	put := newRequest("PUT")
	put.Body, put.ContentLength = body, 1<<40
	for range 3 {
		_, err := u.Do(context.Background(), put)
		checkSendError(t, err, "not-run", outcome.ReasonUpstreamRefused)
	}
	is.True(body.read.Load() < 1<<30) // the rest of the body was not sent
}

// blockedBody is a body whose reads block until the channel is closed.
type blockedBody chan struct{}

func (b blockedBody) Read([]byte) (int, error) {
	<-b
	return 0, io.EOF
}

// Guards against holding back an early response until the caller has sent its body.
func TestResponseBeforeBodyIsSent(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.CopyN(io.Discard, r.Body, 100_000)
		_, _ = io.WriteString(conn, okResponse)
		_, _ = io.Copy(io.Discard, conn)
		return false
	})
	body := make(blockedBody)
	put := newRequest("PUT")
	put.Body, put.ContentLength = io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), body), -1
	response, err := newUpstream(t, s.address).Do(context.Background(), put)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(text), "ok")
	close(body)
	is.NoErr(response.Body.Close())
}

// Guards against a caller that fails halfway through a request body, where the upstream
// takes the part that it got for the complete body.
func TestBrokenRequestBody(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		is := is.New(t)
		bodyComplete := make(chan bool, 1)
		s := startServer(t, func(_ net.Conn, r *http.Request) bool {
			_, err := io.ReadAll(r.Body)
			bodyComplete <- err == nil
			return false
		})
		put := newRequest("PUT")
		put.ContentLength = length
		start := time.Now()
		put.Body = io.MultiReader(strings.NewReader(strings.Repeat("x", 10)), errorReader{})
		_, err := newUpstream(t, s.address).Do(context.Background(), put)
		var failed *upstream.SendError
		is.True(errors.As(err, &failed))
		is.True(time.Since(start) < 2*time.Second) // not the inactivity timeout
		select {
		case found := <-bodyComplete:
			is.True(!found)
			is.Equal(failed.Outcome().String(), "unknown")
		case <-time.After(50 * time.Millisecond):
			is.Equal(failed.Outcome().String(), "not-run") // no byte was flushed
		}
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("caller disconnected") }

// heapProbe measures the live heap after each quarter of a body. It does not count
// allocations in total, because sync.Pool drops buffers under the race detector.
type heapProbe struct {
	source               io.Reader
	remaining, measureAt int64
	maxHeap              *uint64
}

func (h *heapProbe) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	if h.remaining -= int64(n); h.remaining <= h.measureAt {
		h.measureAt -= bodySize / 4
		*h.maxHeap = max(*h.maxHeap, liveHeap())
	}
	return n, err
}

func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

const bodySize = 256 << 20

// Guards against buffering complete bodies: 256 MiB are sent in each direction while the
// heap grows by less than 4 MiB.
func TestBodiesStreamInBoundedMemory(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 268435456\r\n\r\n")
		_, _ = io.CopyN(conn, &zeroBody{}, bodySize)
		return true
	})
	u := newUpstream(t, s.address)
	for _, length := range []int64{bodySize, -1} {
		var maxHeap uint64
		before := liveHeap()
		probe := func(r io.Reader) io.Reader {
			return &heapProbe{source: r, remaining: bodySize, measureAt: bodySize * 3 / 4, maxHeap: &maxHeap}
		}
		put := newRequest("PUT")
		put.Body, put.ContentLength = probe(io.LimitReader(&zeroBody{}, bodySize)), length
		response, err := u.Do(context.Background(), put)
		is.NoErr(err)
		received, err := io.Copy(io.Discard, probe(response.Body))
		is.NoErr(err)
		is.Equal(received, int64(bodySize))
		t.Logf("content length %d: heap %d bytes before, at most %d during the transfer", length, before, maxHeap)
		is.True(maxHeap < before+4<<20)
	}
}

// TestResponseCutAtEachByte guards against a response that breaks off in its head, or in a body
// whose end is known, and is read as complete with an empty or short body.
func TestResponseCutAtEachByte(t *testing.T) {
	for name, raw := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunks": "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"head":   "HTTP/1.1 200 OK\r\nSignature: s\r\nConnection: close\r\n\r\n",
	} {
		for cut := range len(raw) + 1 {
			u := newUpstream(t, startServer(t, replyWith(false, raw[:cut])).address)
			response, err := u.Do(t.Context(), newRequest("GET"))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			if (err == nil) != (cut == len(raw)) {
				t.Errorf("%s cut after %d of %d bytes: error %v, status %d, body %q", name, cut, len(raw), err, response.Status, body)
			}
		}
	}
}
