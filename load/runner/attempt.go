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
	// statusOlderEpoch answers a repeat whose first attempt belongs to an older
	// epoch; further repeats get the same answer.
	statusOlderEpoch = fasthttp.StatusConflict
	// configVersionHeader carries the configuration version of the daemon.
	configVersionHeader = "Briarwell-Config-Version"
)

// attemptInfo identifies one attempt.
type attemptInfo struct {
	requestID    string
	number       int
	stamp        string
	intendedTime time.Time
}

// sendAttempt sends one attempt and tells whether a byte may have been sent.
func (r *Runner) sendAttempt(request workload.Request, t *target, c attemptInfo) (record.Call, bool) {
	outgoing, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(outgoing)
	defer fasthttp.ReleaseResponse(response)
	r.prepareRequest(outgoing, request, t, c)
	result := record.Call{
		RequestID: c.requestID, Attempt: c.number, Service: request.Service().Name, Route: request.Route().Name,
		Method: request.Route().Method, Key: request.Key(), Shard: uint32(request.Shard()),
		Idempotent: request.Route().Idempotent, Daemon: t.address,
		IntendedUnixMicros: c.intendedTime.UnixMicro(), SentUnixMicros: time.Now().UnixMicro(),
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

func (r *Runner) prepareRequest(outgoing *fasthttp.Request, request workload.Request, t *target, c attemptInfo) {
	route := request.Route()
	path := "/" + request.Service().Name
	if request.Key() != "" {
		path += "/" + request.Key()
	}
	outgoing.Header.SetMethod(route.Method)
	outgoing.SetRequestURI(path + route.Path)
	outgoing.Header.SetHost(t.address)
	outgoing.Header.Set(outcome.HeaderRequestID, c.requestID)
	outgoing.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(r.workload.TimeoutMillis, 10))
	if !route.Idempotent && c.stamp != "" {
		outgoing.Header.Set(outcome.HeaderStamp, c.stamp)
	}
	if route.BodyBytes > 0 {
		outgoing.SetBodyRaw(requestBody(c.requestID, route.BodyBytes))
	}
}

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
