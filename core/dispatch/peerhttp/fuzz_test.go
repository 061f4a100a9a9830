package peerhttp_test

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/balance"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/clock/system"
	"briarwell.dev/core/dispatch"
	"briarwell.dev/core/dispatch/peerhttp"
	"briarwell.dev/core/httpclient"
	"briarwell.dev/core/outcome"
)

// encodedRequest returns the bytes of a forwarded request.
func encodedRequest(t testing.TB) []byte {
	t.Helper()
	r := peerhttp.EncodeRequest(&dispatch.Request{ID: "1", Method: "POST", RequestURI: "/x", Host: "h", Key: 7, Keyed: true, Header: http.Header{"Cookie": {"c"}}},
		"s", dispatch.RequestPolicy{Rank: 2, LatencyBudget: 400, Class: "r"}, 900)
	var out bytes.Buffer
	out.WriteString("POST /x HTTP/1.1\r\nHost: h\r\n")
	if err := r.Header.Write(&out); err != nil {
		t.Fatal(err)
	}
	out.WriteString("Content-Length: 4\r\n\r\nbody")
	return out.Bytes()
}

// TestRequestRoundTrip guards against fields of a forwarded request that are lost.
func TestRequestRoundTrip(t *testing.T) {
	is := is.New(t)
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(encodedRequest(t))))
	is.NoErr(err)
	request, service, policy, err := peerhttp.DecodeRequest(r, 100)
	is.NoErr(err)
	is.Equal(service, "s")
	is.Equal(policy, dispatch.RequestPolicy{Rank: 2, LatencyBudget: 400, Class: "r"})
	is.Equal(request.ID, "1")
	is.Equal(request.Deadline, clock.Millis(1000))
	is.True(request.Keyed)
	is.Equal(request.Header.Get("Cookie"), "c")
}

// FuzzDecodeRequest guards against a forwarded request that stops the process.
func FuzzDecodeRequest(f *testing.F) {
	f.Add(encodedRequest(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		request, _, _, err := peerhttp.DecodeRequest(r, 100)
		var rejected *peerhttp.Error
		if err != nil && !errors.As(err, &rejected) {
			t.Fatal(err)
		}
		if err == nil {
			_ = peerhttp.ReadBody(r, request, balance.Schedule{}, system.Clock{})
		}
	})
}

// FuzzDecodeReply guards against a reply that stops the process, or that claims that a
// request was run or not run without saying so.
func FuzzDecodeReply(f *testing.F) {
	f.Add("done", "", "1,2,3,4,5,6,7,8,9", "true", "30")
	f.Add("not-run", "overloaded", "1,2,3", "", "x")
	f.Fuzz(func(t *testing.T, result, reason, load, arrived, after string) {
		header := http.Header{
			"Briarwell-Outcome": {result}, "Briarwell-Reason": {reason}, "Briarwell-Load": {load},
			"Briarwell-Arrived": {arrived}, "Briarwell-Return-Millis": {after},
		}
		reply := peerhttp.DecodeReply(httpclient.Response{Status: 200, Header: header})
		if _, unknown := reply.Outcome.(outcome.Unknown); !unknown && reply.Outcome.String() != result {
			t.Fatalf("outcome %q read as %s", result, reply.Outcome)
		}
	})
}

// TestOptionalFields guards against a policy whose optional fields are lost between daemons,
// or that a daemon which doesn't send them can't express.
func TestOptionalFields(t *testing.T) {
	is := is.New(t)
	for sent, received := range map[dispatch.RequestPolicy]dispatch.RequestPolicy{
		{Class: "r", Demand: 1}:                       {Class: "r"},
		{Class: "r", Demand: 2.5, CallerRetry: true}:  {Class: "r", Demand: 2.5, CallerRetry: true},
		{Class: "r", Demand: 1e9, LatencyBudget: 300}: {Class: "r", Demand: 20, LatencyBudget: 300},
	} {
		encoded := peerhttp.EncodeRequest(&dispatch.Request{ID: "1"}, "s", sent, 900)
		_, _, policy, err := peerhttp.DecodeRequest(&http.Request{Header: encoded.Header}, 100)
		is.NoErr(err)
		is.Equal(policy, received)
	}
}
