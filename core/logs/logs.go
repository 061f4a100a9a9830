// Package logs provides a logger that writes one line of key=value pairs for each
// event. Logging never blocks on the output.
package logs

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// maxBufferedLines bounds the lines that wait to be written. Further lines are dropped
// and counted, so that a slow reader of the log does not delay requests.
const maxBufferedLines = 4096

// maxBufferedBytes bounds the memory for these lines.
const maxBufferedBytes = 4 << 20

// maxValueBytes bounds a value in a line, which may be a client's text of any length, and
// maxStackBytes that of stackKey. What is cut off is replaced by cutMark.
const (
	maxValueBytes = 512
	maxStackBytes = 16 << 10
	stackKey      = "stack"
	cutMark       = "..."
)

// initialLineBytes is the initial capacity of the buffer of a line.
const initialLineBytes = 256

// Writer buffers lines for an output that may be slower, and counts the lines that it
// drops.
type Writer struct {
	lines chan []byte
	// done is closed when all buffered lines were written after Close.
	done    chan struct{}
	dropped atomic.Int64
	// buffered is the number of bytes in lines.
	buffered atomic.Int64
	// mu is read-locked while a line is added, so that Close does not close lines
	// meanwhile.
	mu     sync.RWMutex
	closed bool
}

// New returns a logger that writes lines of the given level or above to out, and its
// writer, which must be closed to flush the buffered lines.
func New(out io.Writer, level string) (*log.Logger, *Writer) {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.writeLines(out)
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.ConsoleWriter{Formatter: formatLine, Writer: w}}, w
}

// writeLines writes buffered lines to out until Close.
func (w *Writer) writeLines(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		w.buffered.Add(-int64(len(line)))
		if _, err := out.Write(line); err != nil {
			// The log itself failed, so that the error can only be counted.
			w.dropped.Add(1)
		}
	}
}

// Write buffers a line, or drops it if the buffer is full or the writer is closed. It
// never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if !w.closed && w.buffered.Add(int64(len(line))) <= maxBufferedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	if !w.closed {
		w.buffered.Add(-int64(len(line)))
	}
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close flushes the buffered lines. Later lines are dropped.
func (w *Writer) Close() error {
	w.mu.Lock()
	wasOpen := !w.closed
	w.closed = true
	w.mu.Unlock()
	if wasOpen {
		close(w.lines)
	}
	<-w.done
	return nil
}

// formatLine writes "time=... level=... event=... key=value ...". The default formatter
// of the library writes true as a key without a value, and the message without a key.
func formatLine(out io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, initialLineBytes)
	line = append(line, "time="...)
	line = append(line, args.Time...)
	line = appendPair(line, "level", args.Level)
	line = appendPair(line, "event", args.Message)
	for _, pair := range args.KeyValues {
		line = appendPair(line, pair.Key, boundedText(pair.Key, valueText(pair.ValueType, pair.Value)))
	}
	line = append(line, '\n')
	return out.Write(line)
}

// valueText returns the text of a value. The library encodes booleans and null in
// the type, with an empty value.
func valueText(valueType byte, value string) string {
	switch valueType {
	case 't':
		return "true"
	case 'f':
		return "false"
	default:
		return value
	}
}

// boundedText returns the beginning of a long value.
func boundedText(key, value string) string {
	limit := maxValueBytes
	if key == stackKey {
		limit = maxStackBytes
	}
	if len(value) <= limit {
		return value
	}
	return value[:limit] + cutMark
}

// appendPair appends " key=value", with the value quoted if it is empty or has
// characters that separate pairs.
func appendPair(line []byte, key, value string) []byte {
	line = append(line, ' ')
	line = append(line, key...)
	line = append(line, '=')
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}
