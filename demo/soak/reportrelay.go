package soak

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reportRelay carries the reports of the upstreams of an instance, and disturbs them. It is safe for
// concurrent use.
type reportRelay struct {
	mu sync.Mutex
	// late and copied count the faults of these kinds.
	late, copied int
	last         report
	// kept has the first reports since keepFirst.
	kept []report
	// sent is triggered as a report is sent.
	sent trigger
}

// report is a liveness report on its way.
type report struct{ url, body string }

// during applies a fault of the relay while a function runs.
func (l *reportRelay) during(f Fault, run func()) {
	counter := &l.late
	if f.Kind == CopiedReports {
		counter = &l.copied
	}
	l.mu.Lock()
	*counter++
	l.mu.Unlock()
	run()
	l.mu.Lock()
	*counter--
	l.mu.Unlock()
}

// keepFirst keeps the next reports.
func (l *reportRelay) keepFirst() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = nil
}

// first returns the first reports since keepFirst.
func (l *reportRelay) first() []report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.kept)
}

// newest returns the last report that an upstream has sent.
func (l *reportRelay) newest() report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// RoundTrip implements http.RoundTripper. A late report is delivered even if its sender no longer waits.
func (l *reportRelay) RoundTrip(request *http.Request) (*http.Response, error) {
	if !strings.Contains(request.URL.RawQuery, "instances.heartbeat") {
		return http.DefaultTransport.RoundTrip(request)
	}
	sent := report{url: request.URL.String(), body: readBody(request)}
	l.mu.Lock()
	late, copied := l.late > 0, l.copied > 0
	l.last = sent
	if len(l.kept) < keptReports {
		l.kept = append(l.kept, sent)
	}
	l.mu.Unlock()
	if copied {
		l.repeat(sent, randomDelay(maxReportDelay))
	}
	go l.sent.fire("")
	if !late {
		request.Body = io.NopCloser(strings.NewReader(sent.body))
		return http.DefaultTransport.RoundTrip(request)
	}
	delay := time.NewTimer(randomDelay(maxReportDelay))
	defer delay.Stop()
	select {
	case <-delay.C:
		request.Body = io.NopCloser(strings.NewReader(sent.body))
		return http.DefaultTransport.RoundTrip(request)
	case <-request.Context().Done():
		l.repeat(sent, randomDelay(maxReportDelay-heartbeatTimeout))
		return nil, request.Context().Err()
	}
}

// repeat delivers a report again after a delay. Nobody reads the answer.
func (l *reportRelay) repeat(sent report, delay time.Duration) {
	if sent.url == "" {
		return
	}
	time.AfterFunc(delay, func() {
		client := &http.Client{Timeout: heartbeatTimeout}
		response, err := client.Post(sent.url, "application/json", strings.NewReader(sent.body))
		if err != nil {
			return // The sidecar is down.
		}
		_ = response.Body.Close()
	})
}

// sendForeign delivers the last report as another writer sends it: with the next sequence, without the
// lists of keys.
func (l *reportRelay) sendForeign() {
	sent := l.newest()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(sent.body), &fields); err != nil {
		return // There is no report yet.
	}
	var sequence int
	if err := json.Unmarshal(fields["sequence"], &sequence); err != nil {
		return
	}
	fields["sequence"] = json.RawMessage(strconv.Itoa(sequence + 1))
	delete(fields, "holds")
	delete(fields, "released")
	body, err := json.Marshal(fields)
	if err != nil {
		return
	}
	l.repeat(report{url: sent.url, body: string(body)}, 0)
}

// readBody returns the body of a request, as far as it arrives.
func readBody(request *http.Request) string {
	var body bytes.Buffer
	_, _ = body.ReadFrom(request.Body) // A part of a body is no valid call.
	return body.String()
}
