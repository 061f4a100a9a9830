package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// pollInterval is the pause between two readiness checks.
	pollInterval = 50 * time.Millisecond
	// requestTimeout bounds a single request or connection attempt.
	requestTimeout = time.Second
)

// FreeAddress returns an address with a free port. It does not reserve the port:
// another process can take it before the caller listens.
func FreeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// WaitListening waits until connections to address succeed. It returns an error if
// the process or ctx ends first.
func WaitListening(ctx context.Context, p *Process, address string) error {
	return pollUntilReady(ctx, p, func() error {
		connection, err := net.DialTimeout("tcp4", address, requestTimeout)
		if err != nil {
			return err
		}
		return connection.Close()
	})
}

// WaitReady waits until a GET of the URL returns status 200. It returns an error if
// the process or ctx ends first.
func WaitReady(ctx context.Context, p *Process, url string) error {
	return pollUntilReady(ctx, p, func() error {
		status, body, err := fasthttp.GetTimeout(nil, url, requestTimeout)
		if err != nil {
			return err
		}
		if status != fasthttp.StatusOK {
			return fmt.Errorf("GET %s: status %d: %.200s", url, status, body)
		}
		return nil
	})
}

// postJSON sends a body as JSON to an administration path of a stand-in. Statuses of
// 400 and above are errors.
func postJSON(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(text)
	if err := fasthttp.DoTimeout(request, response, requestTimeout); err != nil {
		return fmt.Errorf("POST %s: %w", url, err)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("POST %s: status %d: %.200s", url, response.StatusCode(), response.Body())
	}
	return nil
}

// pollUntilReady repeats check until it succeeds, or until the process or ctx ends.
func pollUntilReady(ctx context.Context, p *Process, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("process %s did not become ready: %w", p.Name(), ctx.Err()), err)
		case <-p.Done():
			return fmt.Errorf("process %s ended before it was ready: %w", p.Name(), errors.Join(p.ExitError(), err))
		case <-time.After(pollInterval):
		}
	}
}
