// Package recovery contains the effect of a panic: one in the work of a request ends that
// request, one in a background task is returned as an error to whoever relies on the task.
package recovery

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// PanicError reports a panic.
type PanicError struct {
	value any
	stack []byte
}

// Value returns the value that was passed to panic.
func (e *PanicError) Value() any { return e.value }

// Stack returns the stack trace of the goroutine that panicked.
func (e *PanicError) Stack() string { return string(e.stack) }

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// Call calls f and returns a *PanicError if f panics.
func Call(f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{value: value, stack: debug.Stack()}
		}
	}()
	f()
	return nil
}

// Handler returns a handler that calls onPanic if next panics. If next has not begun the
// response, onPanic writes it; if it has, the connection is closed, so that the part that
// was sent does not look complete. onPanic must not write to a nil ResponseWriter.
func Handler(next http.Handler, onPanic func(w http.ResponseWriter, r *http.Request, err *PanicError)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackingWriter{ResponseWriter: w}
		defer func() {
			value := recover()
			switch {
			case value == nil:
			case value == http.ErrAbortHandler: //nolint:errorlint // net/http compares it in the same way.
				panic(value)
			case tracked.begun:
				onPanic(nil, r, &PanicError{value: value, stack: debug.Stack()})
				panic(http.ErrAbortHandler)
			default:
				clear(w.Header())
				onPanic(w, r, &PanicError{value: value, stack: debug.Stack()})
			}
		}()
		next.ServeHTTP(tracked, r)
	})
}

// trackingWriter records whether the response has begun.
type trackingWriter struct {
	http.ResponseWriter

	begun bool
}

func (w *trackingWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *trackingWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *trackingWriter) Flush() {
	w.begun = true
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap returns the writer that http.ResponseController uses.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
