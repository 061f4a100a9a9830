package app_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/platform/platformtest"
)

// rawResponse returns a response with the further header lines.
func rawResponse(status int, lines ...string) string {
	lines = append([]string{"HTTP/1.1 " + strconv.Itoa(status) + " x", "Connection: close", "Content-Length: 4"}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\nbody"
}

// sendForResponse sends a request and returns the response with its body.
func (c *cluster) sendForResponse(in *instance, method, path, id string) (*http.Response, string) {
	c.t.Helper()
	r, err := platformtest.CallerRequest{
		ID: id, Method: method, Address: in.ip + ":9001", Host: "h", Path: path, Key: 1, Timeout: 2 * time.Second,
	}.HTTPRequest(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	r.Header.Set("Accept-Encoding", "identity")
	response, err := (&http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}).Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.t.Fatal(err)
	}
	return response, string(body)
}

// TestForeignResponses guards against a response that is not certainly the upstream's and reaches
// the caller as such: a 3xx or 4xx that ends a proper request, a status that promises that a
// request was not run although it may have been, and a success without the upstream's signature.
func TestForeignResponses(t *testing.T) {
	c := newCluster(t, 145, "ledger", "other")
	upstream := c.instances[0].upstream
	var raw atomic.Value
	raw.Store("")
	upstream.RawResponse = func(id string) string {
		text, _ := raw.Load().(string)
		return strings.ReplaceAll(text, "ID", id)
	}
	for _, in := range c.instances {
		c.eventually("serving by "+in.name, func() bool {
			status, _ := c.sendRequest(in, http.MethodPost, "/book/first", 1)
			return status == http.StatusOK
		})
	}
	const id, signature, encoding = "X-Request-Id: ID", "X-Server-Signature: s", "Content-Encoding: gzip"
	for i, lines := range [][]string{nil, {signature}, {id}, {id, signature, encoding}, {id, signature}} {
		owned := i == 4
		for _, status := range []int{200, 302, 400, 401, 403, 404, 408, 413, 417, 421, 429, 431, 500, 503} {
			if status == http.StatusMisdirectedRequest && slices.Contains(lines, id) {
				continue // The upstream says that it has not run the request.
			}
			raw.Store(rawResponse(status, lines...))
			want := http.StatusBadGateway
			falsePromise := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
			if owned && !falsePromise || slices.Equal(lines, []string{id}) && status == http.StatusInternalServerError {
				want = status
			}
			for _, in := range c.instances {
				id := fmt.Sprintf("%s-%d-%d", in.name, i, status)
				response, body := c.sendForResponse(in, http.MethodPost, "/book/x", id)
				signed := response.Header.Get("X-Server-Signature") != ""
				if response.StatusCode != want || signed != (owned && !falsePromise) || signed && body != "body" {
					t.Errorf("upstream's status %d with %q: the caller of %s got %d %q", status, lines, in.name, response.StatusCode, body)
				}
				if n := upstream.RunCount(id); n != 1 {
					t.Errorf("%s: run %d times", id, n)
				}
			}
		}
	}
	c.eventually("metrics of responses that are not passed on", func() bool {
		return c.metric(c.instances[0], `responses_not_passed_on_total{reason="encoded"}`) == "20" &&
			c.metric(c.instances[0], `responses_not_passed_on_total{reason="no-id"}`) == "56"
	})
	c.logs.mu.Lock()
	defer c.logs.mu.Unlock()
	if text := c.logs.buf.String(); !strings.Contains(text, "event=responseNotPassedOn request=i0-0-302 life=u0") {
		t.Error("no line names the status and the reason")
	}
}

// TestGarbledStatuses guards against garbled status lines that end requests which may be repeated,
// or that make other requests run twice or count as not run.
func TestGarbledStatuses(t *testing.T) {
	c := newCluster(t, 146, "wardrobe", "ledger", "ledger")
	c.eventually("assignment of all keys", c.allKeysHeld)
	runs := func(id string) int {
		n := 0
		for _, in := range c.instances {
			n += in.upstream.RunCount(id)
		}
		return n
	}
	var garbled atomic.Value // the first response to each request, "" for the usual one
	garbled.Store("")
	for _, in := range c.instances {
		in.upstream.RawResponse = func(id string) string {
			raw, _ := garbled.Load().(string)
			if runs(id) > 1 {
				return ""
			}
			return raw
		}
		for _, path := range []string{"/browse/", "/book/"} {
			c.eventually("serving of "+path+" by "+in.name, func() bool {
				status, _ := c.sendRequest(in, http.MethodPost, path+"first", 1)
				return status == http.StatusOK
			})
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	statuses, lines := []int{302, 400, 404, 408, 413, 421, 429, 503}, []string{"X-Server-Signature: s", "Server: x"}
	served := 0
	for _, share := range []float64{0.05, 0.3, 1} {
		for i := range 30 {
			raw := ""
			if random.Float64() < share {
				raw = rawResponse(statuses[random.IntN(len(statuses))], lines[random.IntN(len(lines))])
			}
			garbled.Store(raw)
			for _, path := range []string{"/browse/x", "/book/x"} {
				id := fmt.Sprintf("%s-%g-%d", path, share, i)
				response, body := c.sendForResponse(c.instances[i%2], http.MethodPost, path, id)
				n := runs(id)
				switch {
				case response.StatusCode == http.StatusOK && response.Header.Get("X-Server-Signature") != "":
					served++
				case response.StatusCode == http.StatusBadGateway && n > 0, response.StatusCode == http.StatusServiceUnavailable && n == 0:
				default:
					t.Errorf("%s, %d runs, garbled %q: got %d %q", id, n, raw, response.StatusCode, body)
				}
				if path == "/book/x" && n > 1 {
					t.Errorf("%s was run %d times", id, n)
				}
			}
		}
	}
	if served < 60 {
		t.Errorf("served %d requests", served)
	}
}

// TestOtherServerAtPeerAddress guards against a status of another program that listens at the
// address of a sidecar that has ended, and is taken for that of the upstream there.
func TestOtherServerAtPeerAddress(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 147, "ledger", "other")
	gone, caller := c.instances[0], c.instances[1]
	c.eventually("serving", func() bool {
		status, _ := c.sendRequest(caller, http.MethodPost, "/book/first", 1)
		return status == http.StatusOK
	})
	gone.stop()
	<-gone.done
	var asked atomic.Int64
	listener, err := net.Listen("tcp", gone.ip+":9005")
	is.NoErr(err)
	other := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := asked.Add(1)
		for name, values := range r.Header { // It repeats the request's fields, as echo servers do.
			if n%2 == 0 {
				w.Header()[name] = values
			}
		}
		w.WriteHeader([]int{302, 400, 404, 429, 503}[n%5])
	})}
	go func() { _ = other.Serve(listener) }()
	t.Cleanup(func() { _ = other.Close() })
	for i := range 20 {
		response, _ := c.sendForResponse(caller, http.MethodPost, "/book/x", strings.Repeat("x", i+1))
		is.True(response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusServiceUnavailable)
		time.Sleep(50 * time.Millisecond)
	}
	is.True(asked.Load() > 0)
}
