package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is the end of one request, with its retry.
type result struct {
	sentAt time.Time
	served bool
}

// answer is a complete success.
type answer struct {
	sentAt time.Time
	text   string
}

// traffic sends requests to a service, from all machines that take requesters in turn.
type traffic struct {
	fleet   *fleet
	service string
	method  string
	perS    float64
	budget  time.Duration

	mu      sync.Mutex
	results []result
	answers []answer
	wait    sync.WaitGroup
}

// run sends requests until ctx ends, and waits for their answers.
func (t *traffic) run(ctx context.Context) {
	interval := time.Duration(float64(time.Second) / t.perS)
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(interval)
		var ready []*machine
		for _, m := range t.fleet.machines {
			if m.takesRequesters() {
				ready = append(ready, m)
			}
		}
		if len(ready) == 0 {
			continue
		}
		m := ready[rand.IntN(len(ready))]
		t.wait.Go(func() { t.request(m, n) })
	}
	t.wait.Wait()
}

// request sends a request, and once more after a refusal as the refusal says.
func (t *traffic) request(m *machine, n int) {
	began := time.Now()
	key := rand.IntN(keyCount)
	served := false
	for attempt := range 2 {
		left := t.budget - time.Since(began)
		if left <= 0 {
			break
		}
		status, retryAfter := t.send(m, fmt.Sprintf("%s-%d-%d", t.service, n, attempt), key, left)
		if served = status/100 == 2; served || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(min(retryAfter, (t.budget-time.Since(began))/3))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, result{sentAt: began, served: served})
}

// send sends one attempt on a new connection. The status is 0 without a complete answer.
func (t *traffic) send(m *machine, id string, key int, left time.Duration) (int, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	body := ""
	if t.method == http.MethodPost {
		body = strings.Repeat("b", 200)
	}
	r, err := http.NewRequestWithContext(ctx, t.method, "http://"+m.address(portOutbound)+"/"+t.service+"/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "fleet.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if t.fleet.keyed[t.service] {
		r.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	t.fleet.record.add("sent %s key %d to %s", id, key, m.name)
	sentAt := time.Now()
	response, err := freshConnections.RoundTrip(r)
	if err != nil {
		t.fleet.record.add("no answer to %s: %v", id, err)
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.fleet.record.add("answer to %s broke off: %v", id, err)
		return 0, 0
	}
	status := response.StatusCode
	if status/100 == 2 && response.Header.Get("X-Server-Signature") == "" {
		status = 0
	}
	if status/100 == 2 {
		t.mu.Lock()
		t.answers = append(t.answers, answer{sentAt: sentAt, text: string(text)})
		t.mu.Unlock()
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	t.fleet.record.add("answer to %s: %d %q", id, response.StatusCode, strings.TrimSpace(string(text)))
	return status, time.Duration(seconds * float64(time.Second))
}

var freshConnections = &http.Transport{DisableKeepAlives: true}

// share returns how many requests were sent in a time, and the share of them that was served.
func (t *traffic) share(from, to time.Time) (int, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served := 0, 0
	for _, r := range t.results {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, float64(served) / float64(max(sent, 1))
}

// attempts returns the attempts that ended with success.
func (t *traffic) attempts() []answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers
}
