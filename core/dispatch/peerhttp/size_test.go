package peerhttp_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/dispatch/peerhttp"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/outcome"
)

// countingListener counts the bytes that its connections carry in each direction.
type countingListener struct {
	net.Listener

	received, sent atomic.Int64
}

type countingConn struct {
	net.Conn

	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sent.Add(int64(n))
	return n, err
}

const typicalBody = 400

// typicalRequest is a request as callers of the platform send it: a short GET of a keyed service,
// whose key is in a header field as well.
func typicalRequest() (*dispatch.Request, dispatch.RequestPolicy) {
	return &dispatch.Request{
			ID: "d30e19b7739bd7eb", Method: http.MethodGet, RequestURI: "/browse/31269?size=m", Host: "shop.example",
			Header:        http.Header{"Accept-Encoding": {"gzip"}, "User-Agent": {"Go-http-client/1.1"}},
			OriginService: "ledger", Key: 31269, Keyed: true, KeyOmitted: true,
		},
		dispatch.RequestPolicy{Idempotent: true, Rank: 2, LatencyBudget: 400, Class: "catalogue-browse"}
}

// typicalReply is the reply with an upstream's response to it.
func typicalReply() dispatch.Reply {
	reply := dispatch.Done(dispatch.Response{
		Status: http.StatusOK, Body: bytes.Repeat([]byte("x"), typicalBody),
		Header: http.Header{"Content-Type": {"application/octet-stream"}, "Date": {"Sun, 06 Dec 2026 09:00:00 GMT"}, "Content-Length": {"400"}},
	})
	reply.Load, reply.HasLoad = balance.Load{Running: 7, Waiting: 2, Slots: 12, ServiceTime: 94, ClassServiceTime: 61, DemandPercent: 83, LinkMbps: 100, Capacity: 110}, true
	return reply
}

// exchange sends the typical request to a server that answers it with the given reply, and
// returns the decoded reply and the bytes in each direction.
func exchange(t testing.TB, answer dispatch.Reply) (reply dispatch.Reply, requestBytes, replyBytes int64) {
	t.Helper()
	is := is.New(t)
	var clk system.Clock
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, _, _, err := peerhttp.DecodeRequest(r, clk.Now())
		if err != nil {
			t.Error(err)
			return
		}
		peerhttp.WriteReply(w, request.ID, answer, clk)
	}))
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	client := httpclient.New(listener.Addr().String(), nil)
	defer client.Close()
	request, policy := typicalRequest()
	response, err := client.Do(context.Background(), peerhttp.EncodeRequest(request, "catalogue", policy, 947))
	is.NoErr(err)
	server.Close() // Waits for the handler, so that all bytes are counted.
	return peerhttp.DecodeReply(response), listener.received.Load(), listener.sent.Load()
}

// TestMessageSize guards against a forwarded request and its reply that carry more than they
// need: bytes between regions are billed by volume.
func TestMessageSize(t *testing.T) {
	is := is.New(t)
	reply, requestBytes, replyBytes := exchange(t, typicalReply())
	withoutLoad := typicalReply()
	withoutLoad.HasLoad = false
	_, _, withoutLoadBytes := exchange(t, withoutLoad)
	t.Logf("forwarded request %d bytes, reply %d bytes, %d without a load report, with a body of %d", requestBytes, replyBytes, withoutLoadBytes, typicalBody)
	// The caller's and the upstream's own fields are 112 and 80 bytes of that. In the format
	// with one field for each value, the key was sent twice, and the others were 226 and 225 bytes.
	is.True(requestBytes <= 112+226/2)
	is.True(replyBytes <= typicalBody+80+225/2)
	is.Equal(reply.Outcome, outcome.Done{})
	is.Equal(len(reply.Response.Body), typicalBody)
	is.Equal(reply.Load, typicalReply().Load)
}

// BenchmarkMessages measures the encoding and decoding of a forwarded request and its reply.
func BenchmarkMessages(b *testing.B) {
	request, policy := typicalRequest()
	reply := typicalReply()
	var clk system.Clock
	for b.Loop() {
		encoded := peerhttp.EncodeRequest(request, "catalogue", policy, 947)
		received := &http.Request{Method: encoded.Method, RequestURI: encoded.RequestURI, Host: encoded.Host, Header: encoded.Header}
		decoded, _, _, err := peerhttp.DecodeRequest(received, 100)
		if err != nil {
			b.Fatal(err)
		}
		w := httptest.NewRecorder()
		peerhttp.WriteReply(w, decoded.ID, reply, clk)
		peerhttp.DecodeReply(httpclient.Response{Status: w.Code, Header: w.Header(), Body: reply.Response.Body})
	}
}
