package explain_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/sidecar/explain"
)

const collected = `  28.3 sidecar-b time=2026-07-31T15:11:11.000Z level=info event=rowWritten row=division/shop reason=handover base=1 revision=2
  28.4 sidecar-c time=2026-07-31T15:11:11.000Z level=info event=rowWritten row=member/other reason=member base=1 revision=3
  30.1 sidecar-b time=2026-07-31T15:11:13.100Z level=info event=requestNotServed request=r1 service=shop life=u@1 reason=overloaded outcome=not-run running=12 waiting=4
  30.1 sidecar-a time=2026-07-31T15:11:13.101Z level=info event=requestEnded request=r1 service=shop instance=b attempts=1 manifest=4 outcome=not-run reason=overloaded status=503 callerLeft=false
  30.1 sidecar-a time=2026-07-31T15:11:13.101Z level=info event=requestEnded request=r2 service=shop instance=b attempts=1 manifest=4 outcome=not-run reason=overloaded status=503
not a log line
`

// TestRead guards against a story that lacks a line of the request or takes one of
// another.
func TestRead(t *testing.T) {
	is := is.New(t)
	story, err := explain.Read("r1", strings.NewReader(collected))
	is.NoErr(err)
	var out bytes.Buffer
	story.Write(&out)
	text := out.String()
	is.True(strings.Contains(text, "requestNotServed"))
	is.True(strings.Contains(text, "queue was longer than helps"))
	is.True(strings.Contains(text, "division/shop"))
	is.True(!strings.Contains(text, "member/other"))
	is.True(!strings.Contains(text, "r2"))
}

// TestUnknown guards against an empty story.
func TestUnknown(t *testing.T) {
	is := is.New(t)
	_, err := explain.Read("r9", strings.NewReader(collected))
	var unknown *explain.UnknownRequestError
	is.True(errors.As(err, &unknown))
}
