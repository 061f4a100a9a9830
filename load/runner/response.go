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

// keyResponse is the body of an upstream stand-in's response for a key: the key and the
// IDs of the requests that took effect on it.
type keyResponse struct {
	Key      string   `json:"key"`
	Requests []string `json:"requests"`
}

// uploadResponse is the body of an upstream stand-in's response to an upload.
type uploadResponse struct {
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// patternReader generates the endless byte stream that the upstream stand-in sends for
// downloads: the byte at offset i is byte(i*31 + i/251).
type patternReader struct {
	offset int64
}

// Read fills the buffer and never fails.
func (p *patternReader) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = byte(p.offset*31 + p.offset/251)
		p.offset++
	}
	return len(buffer), nil
}

// expectedBody holds the length and the SHA-256 digest of the complete response body of
// a pattern route. The zero value means that the body is not known in advance.
type expectedBody struct {
	bytes  int64
	digest string
}

// newExpectedBody returns the expected response body of a GET route whose path ends
// with /pattern?bytes=N, or the zero value for any other route.
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

// verifyResponse reads the body of a response with outcome done, and records in result
// what an audit needs to find a response that belongs to another request, key or body.
// An empty body is not checked: the response to a retry may have none.
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
		var decoded uploadResponse
		if json.Unmarshal([]byte(body.String()), &decoded) == nil {
			sent := sha256.Sum256(requestBody(result.RequestID, request.Route().BodyBytes))
			result.Digest, result.ExpectedDigest = decoded.SHA256, hex.EncodeToString(sent[:])
		}
		return
	}
	var decoded keyResponse
	if json.Unmarshal([]byte(body.String()), &decoded) != nil {
		return
	}
	result.EchoedRequestID = result.RequestID
	if decoded.Key != request.Key() {
		result.EchoedRequestID = "key " + decoded.Key
	}
	if request.Route().Method == fasthttp.MethodPost && !slices.Contains(decoded.Requests, result.RequestID) {
		result.EchoedRequestID = "list without " + result.RequestID
	}
}

// requestBody returns a request body of the given length: the ID, repeated on lines of
// its own.
func requestBody(id string, length int) []byte {
	return []byte(strings.Repeat(id+"\n", length/(len(id)+1)+1)[:length])
}
