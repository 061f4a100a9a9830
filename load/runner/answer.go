package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/load/workload"
)

// keyResponse is the answer of the upstream stand-in on a key: the IDs of the requests
// that took effect.
type keyResponse struct {
	Key      string   `json:"key"`
	Requests []string `json:"requests"`
}

// uploadResponse is the answer of the upstream stand-in to an upload.
type uploadResponse struct {
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// patternReader is the stream that the upstream stand-in sends for downloads: the byte
// at offset i is byte(i*31 + i/251).
type patternReader struct {
	offset int64
}

func (p *patternReader) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = byte(p.offset*31 + p.offset/251)
		p.offset++
	}
	return len(into), nil
}

// expectedBody is what a complete answer of a pattern route holds.
type expectedBody struct {
	bytes  int64
	digest string
}

// newExpectedBody computes the answer of a route whose path is
// /pattern?bytes=N. Other routes give the zero value.
func newExpectedBody(route *workload.Route) expectedBody {
	path, query, _ := strings.Cut(route.Path, "?")
	if !strings.HasSuffix(path, "/pattern") || route.Method != fasthttp.MethodGet {
		return expectedBody{}
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return expectedBody{}
	}
	length, err := strconv.ParseInt(values.Get("bytes"), 10, 64)
	if err != nil {
		return expectedBody{}
	}
	digest := sha256.New()
	_, _ = io.CopyN(digest, &patternReader{}, length)
	return expectedBody{bytes: length, digest: hex.EncodeToString(digest.Sum(nil))}
}

// verifyResponse compares a complete answer of an upstream with the request that it
// should belong to. A repeated answer may have an empty body.
func (r *Runner) verifyResponse(result *record.Call, request workload.Request, response *fasthttp.Response) {
	if expected := r.expectedBodies[request.Route()]; expected.bytes > 0 {
		digest := sha256.New()
		result.Bytes, result.Complete = readBody(response, digest)
		result.Digest = hex.EncodeToString(digest.Sum(nil))
		result.ExpectedBytes, result.ExpectedDigest = expected.bytes, expected.digest
		return
	}
	var body strings.Builder
	result.Bytes, result.Complete = readBody(response, &body)
	if !result.Complete || body.Len() == 0 {
		return
	}
	if request.Route().Method == fasthttp.MethodPut {
		var answer uploadResponse
		if json.Unmarshal([]byte(body.String()), &answer) == nil {
			sent := sha256.Sum256(requestBody(result.RequestID, request.Route().BodyBytes))
			result.Digest, result.ExpectedDigest = answer.SHA256, hex.EncodeToString(sent[:])
		}
		return
	}
	var answer keyResponse
	if json.Unmarshal([]byte(body.String()), &answer) != nil {
		return
	}
	result.EchoedRequestID = result.RequestID
	if answer.Key != request.Key() {
		result.EchoedRequestID = "key " + answer.Key
	}
	if request.Route().Method == fasthttp.MethodPost && !slices.Contains(answer.Requests, result.RequestID) {
		result.EchoedRequestID = "list without " + result.RequestID
	}
}

// requestBody returns the bytes of a request body: the ID, repeated.
func requestBody(id string, length int) []byte {
	return []byte(strings.Repeat(id+"\n", length/(len(id)+1)+1)[:length])
}
