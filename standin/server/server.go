// Package server provides listening, graceful shutdown and JSON bodies for the HTTP
// servers of the stand-ins.
package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// shutdownTimeout bounds the wait for requests in flight at shutdown.
	shutdownTimeout = 10 * time.Second
	// idleTimeout is how long a stand-in keeps an idle connection open. Clients use a
	// shorter timeout, so that they seldom write to a connection that is being closed.
	idleTimeout = 60 * time.Second
	// maxBodyBytes bounds request bodies that are buffered in memory.
	maxBodyBytes = 64 << 20
	// maxHeaderBytes bounds the request line and the headers together.
	maxHeaderBytes = 64 << 10
)

// ListenError reports a TCP address on which the program can't listen.
type ListenError struct {
	address string
	cause   error
}

// Address returns the IP:PORT that was passed to Listen.
func (e *ListenError) Address() string { return e.address }

func (e *ListenError) Error() string {
	return fmt.Sprintf("can't listen on %s: %v", e.address, e.cause)
}

func (e *ListenError) Unwrap() error { return e.cause }

// Listen listens on a TCP address. It returns a *ListenError if that fails.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address: address, cause: err}
	}
	return listener, nil
}

// New returns an HTTP server for handler with the limits and timeouts that all
// stand-ins share.
func New(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		Name:                  "briarwell-standin",
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
}

// discardLogger discards fasthttp's own log lines, which report each connection that
// a fault test closes.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// Serve serves until ctx ends, then waits up to shutdownTimeout for the requests in
// flight. It returns nil if that timeout passes.
func Serve(ctx context.Context, listener net.Listener, s *fasthttp.Server) error {
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.ShutdownWithContext(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// RespondError discards the response so far and responds with an error status and an
// ErrorBody.
func RespondError(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.Response.Reset()
	RespondJSON(ctx, status, ErrorBody{Error: text})
}

// RespondJSON responds with a status and body encoded as JSON. It responds with status
// 500 if the encoding fails.
func RespondJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// DecodeBody parses the request body into target by the rules of DecodeStrict. It
// responds with status 400 and returns false if the body is invalid.
func DecodeBody(ctx *fasthttp.RequestCtx, target any) bool {
	if err := DecodeStrict(ctx.PostBody(), target); err != nil {
		RespondError(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// DecodeStrict parses body, which must be one JSON value without unknown fields and
// without trailing text, into target.
func DecodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("malformed JSON body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("malformed JSON body: unexpected text after the JSON value")
	}
	return nil
}
