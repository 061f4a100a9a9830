// Package logs makes the daemons' logger: one line of key=value pairs for each
// event. Logging never waits for the writer.
package logs

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// maxBufferedLines is how many lines may wait for the writer. Further ones are
// dropped and counted, so that no request waits for a slow reader of the log.
const maxBufferedLines = 4096

// initialLineBytes is the initial size of a line's buffer in bytes.
const initialLineBytes = 256

// Writer buffers lines for a slower reader and counts the dropped ones.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	// mu is held for reading while a line is buffered, so that Close waits for it.
	mu     sync.RWMutex
	closed bool
}

// New returns a logger that writes lines of the given level or above to out, and
// its writer, which must be closed to write what is still buffered.
func New(out io.Writer, level string) (*log.Logger, *Writer) {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.writeLines(out)
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.ConsoleWriter{Formatter: formatLine, Writer: w}}, w
}

// writeLines writes the buffered lines until Close.
func (w *Writer) writeLines(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			// There is nowhere else to tell it.
			w.dropped.Add(1)
		}
	}
}

// Write buffers a line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if !w.closed {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines. Later ones are dropped.
func (w *Writer) Close() error {
	w.mu.Lock()
	open := !w.closed
	w.closed = true
	w.mu.Unlock()
	if open {
		close(w.lines)
	}
	<-w.done
	return nil
}

// formatLine writes "time=... level=... event=... key=value ...". The formatter of
// the library prints true as a bare key and the message without one.
func formatLine(out io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, initialLineBytes)
	line = append(line, "time="...)
	line = append(line, args.Time...)
	line = appendPair(line, "level", args.Level)
	line = appendPair(line, "event", args.Message)
	for _, pair := range args.KeyValues {
		line = appendPair(line, pair.Key, valueText(pair.ValueType, pair.Value))
	}
	line = append(line, '\n')
	return out.Write(line)
}

// valueText returns the text of a value; booleans and null carry theirs in the
// type alone.
func valueText(kind byte, value string) string {
	switch kind {
	case 't':
		return "true"
	case 'f':
		return "false"
	default:
		return value
	}
}

func appendPair(line []byte, key, value string) []byte {
	line = append(line, ' ')
	line = append(line, key...)
	line = append(line, '=')
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}
