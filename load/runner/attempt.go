package runner

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"briarwell.dev/core/audit/record"
	"briarwell.dev/core/outcome"
	"briarwell.dev/load/workload"
)

const (
	// statusOlderEpoch is the status of the response to a retry whose first attempt
	// carried the stamp of an older epoch. Further retries get the same response.
	statusOlderEpoch = fasthttp.StatusConflict
	// configVersionHeader is the response header with the configuration version of the
	// daemon.
	configVersionHeader = "Briarwell-Config-Version"
)

// attemptInfo describes one attempt of a request. Attempts are numbered from 1.
type attemptInfo struct {
	requestID    string
	number       int
	stamp        string
	intendedTime time.Time
}

// sendAttempt sends one attempt and returns its record. It also reports whether any byte
// may have been sent. It avoids the target for a while if the attempt failed or the
// daemon had no lease.
func (r *Runner) sendAttempt(request workload.Request, t *target, info attemptInfo) (record.Call, bool) {
	outgoing, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(outgoing)
	defer fasthttp.ReleaseResponse(response)
	r.prepareRequest(outgoing, request, t, info)
	result := record.Call{
		RequestID: info.requestID, Attempt: info.number, Service: request.Service().Name, Route: request.Route().Name,
		Method: request.Route().Method, Key: request.Key(), Shard: uint32(request.Shard()),
		Idempotent: request.Route().Idempotent, Daemon: t.address,
		IntendedUnixMicros: info.intendedTime.UnixMicro(), SentUnixMicros: time.Now().UnixMicro(),
	}
	delay := r.oneWayDelay(request, t)
	time.Sleep(delay)
	timeout := time.Duration(r.workload.TimeoutMillis) * time.Millisecond
	err := t.client(request.Route().Stream).DoTimeout(outgoing, response, timeout)
	if err == nil {
		r.readResponse(&result, request, response)
	}
	time.Sleep(delay)
	result.ReceivedUnixMicros = time.Now().UnixMicro()
	if err != nil {
		t.avoid(time.Now())
		result.Reason = err.Error()
		return result, !failedBeforeSend(err)
	}
	if result.Reason == string(outcome.ReasonNoLease) {
		t.avoid(time.Now())
	}
	return result, true
}

// prepareRequest sets the method, URI, headers and body of an attempt. Idempotent
// requests carry no stamp.
func (r *Runner) prepareRequest(outgoing *fasthttp.Request, request workload.Request, t *target, info attemptInfo) {
	route := request.Route()
	path := "/" + request.Service().Name
	if request.Key() != "" {
		path += "/" + request.Key()
	}
	outgoing.Header.SetMethod(route.Method)
	outgoing.SetRequestURI(path + route.Path)
	outgoing.Header.SetHost(t.address)
	outgoing.Header.Set(outcome.HeaderRequestID, info.requestID)
	outgoing.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(r.workload.TimeoutMillis, 10))
	if !route.Idempotent && info.stamp != "" {
		outgoing.Header.Set(outcome.HeaderStamp, info.stamp)
	}
	if route.BodyBytes > 0 {
		outgoing.SetBodyRaw(requestBody(info.requestID, route.BodyBytes))
	}
}

// readResponse copies the headers of a response to result, updates the known stamps, and
// reads the body.
func (r *Runner) readResponse(result *record.Call, request workload.Request, response *fasthttp.Response) {
	header := func(name string) string { return string(response.Header.Peek(name)) }
	result.Outcome = header(outcome.HeaderOutcome)
	result.Reason = header(outcome.HeaderReason)
	result.ServedBy = header(outcome.HeaderServedBy)
	result.Status = response.StatusCode()
	result.Epoch, _ = strconv.ParseUint(header(outcome.HeaderEpoch), 10, 64)
	result.ConfigVersion, _ = strconv.ParseUint(header(configVersionHeader), 10, 64)
	r.stamps.update(request, result.Epoch, header(outcome.HeaderStamp))

	if result.Outcome != (outcome.Done{}).String() || result.Status != fasthttp.StatusOK {
		result.Bytes, result.Complete = readBody(response, io.Discard)
		return
	}
	r.verifyResponse(result, request, response)
}
