package httpserver

import "bytes"

// headScanner finds the end of the head of a request. Bytes before the first one that it sees may be
// unknown to it.
type headScanner struct {
	// empty is set at the begin of a line.
	empty bool
	ended bool
}

// cut returns the beginning of part that belongs to the head.
func (h *headScanner) cut(part []byte) []byte {
	if h.ended {
		return nil
	}
	for i, b := range part {
		switch {
		case b == '\n' && h.empty:
			h.ended = true
			return part[:i+1]
		case b == '\n':
			h.empty = true
		case b != '\r':
			h.empty = false
		}
	}
	return part
}

func countLines(text []byte) int { return bytes.Count(text, []byte{'\n'}) }
