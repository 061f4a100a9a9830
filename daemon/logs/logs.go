// Package logs makes the daemon's logger: one line of key=value pairs for each
// event.
package logs

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// bufferedLines is how many lines may wait for the writer. A caller blocks
// when it is full, since a decision must not go unlogged.
const bufferedLines = 4096

// lineCapacity is the initial size of a line's buffer in bytes.
const lineCapacity = 256

// New returns a logger that writes lines of the given level or above to out,
// and a closer that writes what is still buffered.
func New(out io.Writer, level string) (*log.Logger, io.Closer) {
	writer := &log.AsyncWriter{
		ChannelSize: bufferedLines,
		Writer:      &log.ConsoleWriter{Formatter: format, Writer: out},
	}
	return &log.Logger{Level: log.ParseLevel(level), Writer: writer}, writer
}

// format writes "time=... level=... event=... key=value ...". The formatter of
// the library prints true as a bare key and the message without one.
func format(out io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, lineCapacity)
	line = append(line, "time="...)
	line = append(line, args.Time...)
	line = appendPair(line, "level", args.Level)
	line = appendPair(line, "event", args.Message)
	for _, pair := range args.KeyValues {
		line = appendPair(line, pair.Key, valueOf(pair.ValueType, pair.Value))
	}
	line = append(line, '\n')
	return out.Write(line)
}

// valueOf returns the text of a value; booleans and null carry theirs in the
// type alone.
func valueOf(kind byte, value string) string {
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
