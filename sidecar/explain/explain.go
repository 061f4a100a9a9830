// Package explain explains the outcome of one request from collected log lines: it selects
// the lines that name the request, and the lines about changes of the instances and
// services involved that were logged shortly before or after.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// windowBefore and windowAfter bound the time of related lines before the first and
	// after the last line that names the request.
	windowBefore = 6 * time.Second
	windowAfter  = 2 * time.Second
	// maxLineBytes bounds the length of a line.
	maxLineBytes = 64 << 10
)

// logLine is a parsed log line.
type logLine struct {
	at     time.Time
	fields map[string]string
	// text is the whole line, including text before the log line itself.
	text string
}

// Explanation holds the log lines about a request. Create it with Read.
type Explanation struct {
	request      string
	requestLines []logLine
	relatedLines []logLine
}

// UnknownRequestError reports a request that no log line names. A request that was served
// at the first attempt and in time has no line, and under load lines are omitted.
type UnknownRequestError struct{ request string }

// Request returns the ID of the request.
func (e *UnknownRequestError) Request() string { return e.request }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no log line names request %q", e.request)
}

// Read collects the log lines about a request. The error is an *UnknownRequestError if no
// line names the request, or an error from reading the logs.
func Read(request string, logs ...io.Reader) (Explanation, error) {
	var lines []logLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := parseLine(scanner.Text()); ok {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return Explanation{}, err
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	explanation := Explanation{request: request}
	for _, l := range lines {
		if l.fields["request"] == request {
			explanation.requestLines = append(explanation.requestLines, l)
		}
	}
	if len(explanation.requestLines) == 0 {
		return Explanation{}, &UnknownRequestError{request: request}
	}
	explanation.relatedLines = findRelated(lines, explanation.requestLines)
	return explanation, nil
}

// findRelated returns the lines that name no request, were logged within the window
// around requestLines, and mention an instance, service or life of these lines.
func findRelated(lines, requestLines []logLine) []logLine {
	first, last := requestLines[0].at.Add(-windowBefore), requestLines[len(requestLines)-1].at.Add(windowAfter)
	values := make(map[string]bool)
	for _, l := range requestLines {
		for _, name := range []string{"instance", "service", "life"} {
			if value := l.fields[name]; value != "" {
				values[value] = true
			}
		}
	}
	var related []logLine
	for _, l := range lines {
		if _, named := l.fields["request"]; named || l.at.Before(first) || l.at.After(last) {
			continue
		}
		if l.mentions(values) {
			related = append(related, l)
		}
	}
	return related
}

// mentions reports whether a field, or its part after the last slash as in the key of a
// row, is one of the values.
func (l logLine) mentions(values map[string]bool) bool {
	for _, value := range l.fields {
		if values[value] || values[value[strings.LastIndexByte(value, '/')+1:]] {
			return true
		}
	}
	return false
}

// parseLine parses "... time=T level=L event=E key=value ...". It returns false if the
// text has no log line.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{fields: make(map[string]string), text: strings.TrimSpace(text)}
	for rest := text[start:]; rest != ""; {
		var pair string
		pair, rest = nextPair(rest)
		if key, value, ok := strings.Cut(pair, "="); ok {
			l.fields[key] = strings.Trim(value, `"`)
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at = at
	return l, err == nil && l.fields["event"] != ""
}

// nextPair splits off the first key=value pair. A quoted value may contain spaces.
func nextPair(text string) (string, string) {
	quoted := false
	for i := range len(text) {
		switch {
		case text[i] == '"' && (i == 0 || text[i-1] != '\\'):
			quoted = !quoted
		case text[i] == ' ' && !quoted:
			return text[:i], strings.TrimLeft(text[i:], " ")
		}
	}
	return text, ""
}

// Write writes the lines that name the request, a sentence on what decided its outcome,
// and the related lines.
func (e Explanation) Write(w io.Writer) {
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printLine("request %s", e.request)
	for _, l := range e.requestLines {
		printLine("  %s", l.text)
	}
	printLine("%s", e.summary())
	if len(e.relatedLines) > 0 {
		printLine("related changes")
	}
	for _, l := range e.relatedLines {
		printLine("  %s", l.text)
	}
}

// summary returns a sentence on why the request ended as it did.
func (e Explanation) summary() string {
	last := e.requestLines[len(e.requestLines)-1].fields
	for _, l := range e.requestLines {
		if l.fields["event"] == "requestEnded" {
			last = l.fields
		}
	}
	text, ok := reasonTexts()[last["reason"]]
	if !ok {
		text = "outcome " + last["outcome"] + ", reason " + last["reason"]
	}
	if last["callerLeft"] == "true" {
		text += "; the caller had disconnected by then"
	}
	return fmt.Sprintf("%s (attempts %s, instance %s, manifest %s)", text, last["attempts"], last["instance"], last["manifest"])
}

// reasonTexts returns the explanation of each reason for an outcome.
func reasonTexts() map[string]string {
	return map[string]string{
		"region-not-allowed": "not run: the route is restricted to regions in which no upstream could be used, or the owner of the key is in another region",
		"no-owner":           "not run: no instance owned the key, or its owner was unreachable, for a quarter of the target latency",
		"moved":              "not run: the upstream that received the request did not hold the key at that moment",
		"overloaded":         "not run: the upstream's queue was too long (see running, waiting and serviceMillis of requestNotServed)",
		"queue-timeout":      "not run: its deadline passed before a slot was free",
		"unreachable":        "not run: the sidecar did not answer, or the upstream refused connections",
		"cold":               "not run: the upstream was cold and had got all requests that it tolerates then (see coldMillis of requestNotServed)",
		"draining":           "not run: the upstream or its sidecar was leaving",
		"upstream-refused":   "not run: the upstream itself refused the request",
		"deadline-exceeded":  "not run: its deadline passed, or its caller disconnected, while it waited",
		"unsupported-route":  "not run: the manifest's route or service was not understood (see manifestPartNotUnderstood)",
		"invalid-key":        "not run: its key is no number from 0 to 65535, and its service is divided by key",
		"malformed":          "not run: the other sidecar could not read the request, or not all of its body",
		"timeout":            "unknown: it was sent to the upstream, and its deadline passed without an answer",
		"connection-lost":    "unknown: the connection was lost after it was sent",
		"response-dropped":   "unknown: its response was too large, or there was no memory for it",
		"invalid-response":   "unknown: what came in place of the upstream's response was not certainly that (see responseNotPassedOn)",
		"":                   "answered by the upstream, but late, after another attempt, or with a server error",
	}
}
