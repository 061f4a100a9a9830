package peerhttp_test

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
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
	r := peerhttp.EncodeRequest(&dispatch.Request{ID: "1", Method: "POST", RequestURI: "/x", Host: "h", Key: 7, Keyed: true, Header: http.Header{"Cookie": {"c"}, "Bw": {"theirs"}}},
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
	is.Equal(request.Header, http.Header{"Cookie": {"c"}, "Bw": {"theirs"}}) // a caller may use the name of the added field
}

// TestFlags guards against a property of a request that is lost or taken for another.
func TestFlags(t *testing.T) {
	is := is.New(t)
	for i := range 7 {
		flags := [7]bool{}
		flags[i] = true
		sent := &dispatch.Request{ID: "1", Nested: flags[0], Keyed: flags[1], KeyOmitted: flags[2], Header: http.Header{}}
		policy := dispatch.RequestPolicy{Idempotent: flags[3], LargeResponse: flags[4], LoadKnown: flags[5], CallerRetry: flags[6]}
		r := peerhttp.EncodeRequest(sent, "s", policy, 900)
		request, _, decoded, err := peerhttp.DecodeRequest(&http.Request{Header: r.Header}, 0)
		is.NoErr(err)
		is.Equal(decoded, policy)
		is.Equal([]bool{request.Nested, request.Keyed, request.KeyOmitted}, flags[:3])
	}
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
	for _, text := range []string{"abcde,d,1,2,3,,5,6,7,8,9", "abcde,noverloaded:30,1,2,3", "abcde,Nupstream-refused,0", "abcde,uconnection-lost", "abcde,U:x", ",d,", "d", ""} {
		f.Add(text)
	}
	letters := map[string]string{"done": "dD", "not-run": "nN"}
	f.Fuzz(func(t *testing.T, text string) {
		reply := peerhttp.DecodeReply(httpclient.Response{Status: 200, Header: http.Header{"Bw": {text}}})
		if _, unknown := reply.Outcome.(outcome.Unknown); unknown {
			return
		}
		_, rest, found := strings.Cut(text, ",")
		if !found || rest == "" || !strings.Contains(letters[reply.Outcome.String()], rest[:1]) {
			t.Fatalf("%q read as %s", text, reply.Outcome)
		}
		if _, done := reply.Outcome.(outcome.Done); done && outcome.ReasonOf(reply.Outcome) != "" {
			t.Fatalf("%q read with a reason", text)
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

// FuzzTexts guards against an ID, service or route name that changes the other values of a
// forwarded request, or itself on its way.
func FuzzTexts(f *testing.F) {
	f.Add("1", "s", "o", "r", 900)
	f.Add("a,b%2C", "\x00\r\n", " ", "\xff,", 0)
	f.Fuzz(func(t *testing.T, id, service, origin, class string, millis int) {
		is := is.New(t)
		policy := dispatch.RequestPolicy{Rank: 2, LatencyBudget: clock.Millis(max(millis%100_000, 0)), Class: class}
		r := peerhttp.EncodeRequest(&dispatch.Request{ID: id, OriginService: origin, Key: 7, Keyed: true}, service, policy, 900)
		request, decodedService, decodedPolicy, err := peerhttp.DecodeRequest(&http.Request{Header: r.Header}, 100)
		is.NoErr(err)
		is.Equal(decodedPolicy, policy)
		is.Equal([]string{request.ID, decodedService, request.OriginService}, []string{id, service, origin})
		is.Equal(int(request.Key), 7)
	})
}

// TestReplyRoundTrip guards against a reply whose outcome, reason, retry time or load is lost,
// and against one that is not that of the request with the expected ID.
func TestReplyRoundTrip(t *testing.T) {
	is := is.New(t)
	withLoad := func(r dispatch.Reply, load balance.Load) dispatch.Reply {
		r.Load, r.HasLoad = load, true
		return r
	}
	done := dispatch.Done(dispatch.Response{Status: 404, Header: http.Header{"Bw": {"theirs"}, "X": {"1", "2"}}})
	reached := dispatch.NotRun(outcome.ReasonUpstreamRefused)
	reached.ReachedUpstream = true
	notReached := dispatch.Unknown(outcome.ReasonTimeout)
	notReached.ReachedUpstream = false
	all := balance.Load{
		Running: 1, Waiting: 2, Slots: 3, ServiceTime: 4, ClassServiceTime: 5, DemandPercent: 6, LinkMbps: 7, LinkBacklog: 8, InboundBacklog: 9,
		FailurePercent: 10, Capacity: 11, ColdRate: 12, ColdFor: 13,
	}
	expected := peerhttp.EncodeRequest(&dispatch.Request{ID: "1.2"}, "s", dispatch.RequestPolicy{}, 1)
	for _, reply := range []dispatch.Reply{
		done, withLoad(done, balance.Load{}), withLoad(done, all), withLoad(done, balance.Load{Slots: 4}),
		dispatch.NotRun(outcome.ReasonOverloaded).WithRetryAfter(300), withLoad(reached, all), notReached, dispatch.Unknown(outcome.ReasonConnectionLost),
	} {
		w := httptest.NewRecorder()
		peerhttp.WriteReply(w, "1.2", reply, system.Clock{})
		id, _, _ := strings.Cut(w.Header().Get(expected.ResponseIDHeader), expected.ResponseIDEnd)
		is.Equal(id, expected.ResponseID)
		w.Header().Del("Content-Length")
		decoded := peerhttp.DecodeReply(httpclient.Response{Status: w.Code, Header: w.Header()})
		delete(decoded.Response.Header, "Content-Type") // A nil value, which is not sent.
		is.Equal(decoded, reply)
	}
	is.True(expected.ResponseID != peerhttp.EncodeRequest(&dispatch.Request{ID: "1.3"}, "s", dispatch.RequestPolicy{}, 1).ResponseID)
}

// TestInvalidMessages guards against a message with missing, further, repeated or invalid values that
// is taken as a request or as a definite outcome.
func TestInvalidMessages(t *testing.T) {
	is := is.New(t)
	for _, texts := range [][]string{
		nil,
		{""},
		{"1,s,o,900,1,2,400,7"},
		{"1,s,o,900,1,2,400,7,r,more"},
		{"1,s,o,900,1,2,400,7,r", "1,s,o,900,1,2,400,7,r"},
		{"1,s,o,-900,1,2,400,7,r"},
		{"1,s,o,99999999999,1,2,400,7,r"},
		{"1,s,o,900,128,2,400,7,r"},
		{"1,s,o,900,1,x,400,7,r"},
		{"1,s,o,900,1,2,400,65536,r"},
		{"1,s,o,900,1,2,400,7,r%2"},
		{"1,s,o o,900,1,2,400,7,r"},
	} {
		_, _, _, err := peerhttp.DecodeRequest(&http.Request{Header: http.Header{"Bw": texts}}, 100)
		var rejected *peerhttp.Error
		is.True(errors.As(err, &rejected))
	}
	for _, texts := range [][]string{
		nil,
		{""},
		{"abcde"},
		{"abcde,"},
		{"abcde,x"},
		{"abcde,dreason"},
		{"abcde,d:x"},
		{"abcde,n"},
		{"abcde,noverloaded:"},
		{"abcde,noverloaded:-1"},
		{"abcde,d", "abcde,d"},
	} {
		reply := peerhttp.DecodeReply(httpclient.Response{Status: 200, Header: http.Header{"Bw": texts}})
		is.Equal(reply, dispatch.Unknown(outcome.ReasonConnectionLost))
	}
	// The outcome counts without its load.
	reply := peerhttp.DecodeReply(httpclient.Response{Status: 200, Header: http.Header{"Bw": {"abcde,d,1,x"}}})
	is.Equal(reply.Outcome, outcome.Done{})
	is.True(!reply.HasLoad)
}
