// Package explain finds what collected log lines say of one request: the lines
// that name it, and the changes that the instances on its way logged around it.
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
	// windowBefore and after bound the changes that are shown around a request.
	windowBefore = 6 * time.Second
	windowAfter  = 2 * time.Second
	// maxLineBytes bounds a line in bytes.
	maxLineBytes = 64 << 10
)

// logLine is a log line, which may stand behind other text.
type logLine struct {
	at     time.Time
	fields map[string]string
	text   string
}

// Explanation is what the logs say of a request.
type Explanation struct {
	request      string
	requestLines []logLine
	relatedLines []logLine
}

// UnknownRequestError reports a request that no line names. A request that was served
// at the first attempt and in time has none, and under load lines are omitted.
type UnknownRequestError struct{ request string }

// Request returns the ID.
func (e *UnknownRequestError) Request() string { return e.request }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line names request %q", e.request)
}

// Read looks for a request in collected lines. The error is an *UnknownError, or
// one of reading.
func Read(request string, logs ...io.Reader) (Explanation, error) {
	var all []logLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := parse(scanner.Text()); ok {
				all = append(all, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return Explanation{}, err
		}
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	story := Explanation{request: request}
	for _, l := range all {
		if l.fields["request"] == request {
			story.requestLines = append(story.requestLines, l)
		}
	}
	if len(story.requestLines) == 0 {
		return Explanation{}, &UnknownRequestError{request: request}
	}
	story.relatedLines = findRelated(all, story.requestLines)
	return story, nil
}

// findRelated returns the lines without a request that lie around the own ones and
// concern a service, instance or row on their way.
func findRelated(all, own []logLine) []logLine {
	first, last := own[0].at.Add(-windowBefore), own[len(own)-1].at.Add(windowAfter)
	words := make(map[string]bool)
	for _, l := range own {
		for _, name := range []string{"instance", "service", "life"} {
			if value := l.fields[name]; value != "" {
				words[value] = true
			}
		}
	}
	var found []logLine
	for _, l := range all {
		if _, named := l.fields["request"]; named || l.at.Before(first) || l.at.After(last) {
			continue
		}
		if l.mentions(words) {
			found = append(found, l)
		}
	}
	return found
}

// mentions tells whether a field, or the last part of a row's key, is one of the
// words.
func (l logLine) mentions(words map[string]bool) bool {
	for _, value := range l.fields {
		if words[value] || words[value[strings.LastIndexByte(value, '/')+1:]] {
			return true
		}
	}
	return false
}

// parse reads "... time=T level=L event=E key=value ...".
func parse(text string) (logLine, bool) {
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

// nextPair cuts the first pair off; a quoted value may have spaces.
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

// Write writes the story: the request's way, a sentence for what decided it, and
// the changes around it.
func (s Explanation) Write(w io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("request %s", s.request)
	for _, l := range s.requestLines {
		p("  %s", l.text)
	}
	p("%s", s.summary())
	if len(s.relatedLines) > 0 {
		p("changes around it")
	}
	for _, l := range s.relatedLines {
		p("  %s", l.text)
	}
}

// summary says in a sentence why the request ended as it did.
func (s Explanation) summary() string {
	last := s.requestLines[len(s.requestLines)-1].fields
	for _, l := range s.requestLines {
		if l.fields["event"] == "requestEnded" {
			last = l.fields
		}
	}
	text, ok := reasonTexts()[last["reason"]]
	if !ok {
		text = "outcome " + last["outcome"] + ", reason " + last["reason"]
	}
	if last["callerLeft"] == "true" {
		text += "; the caller had left by then"
	}
	return fmt.Sprintf("%s (attempts %s, instance %s, manifest %s)", text, last["attempts"], last["instance"], last["manifest"])
}

func reasonTexts() map[string]string {
	return map[string]string{
		"no-owner":          "not run: no instance owned the key, or its owner did not answer, within a quarter of the objective",
		"moved":             "not run: the upstream that was asked did not hold the key at that moment",
		"overloaded":        "not run: the upstream's queue was longer than helps (running, waiting and serviceMillis of requestNotServed)",
		"queue-timeout":     "not run: its time was over before a slot was free",
		"unreachable":       "not run: no daemon answered, or the upstream refused connections",
		"draining":          "not run: the upstream or its daemon was leaving",
		"upstream-refused":  "not run: the upstream itself said so",
		"deadline-exceeded": "not run: its time was over, or its caller left, while it waited",
		"timeout":           "unknown: it was sent to the upstream and its time was over without an answer",
		"connection-lost":   "unknown: the connection broke after it was sent",
		"":                  "answered by the upstream, late or after another attempt, or with a failure of its own",
	}
}
