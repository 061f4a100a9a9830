package explain_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/sidecar/explain"
)

const logText = `  28.3 sidecar-b time=2026-07-31T15:11:11.000Z level=info event=rowWritten row=division/shop reason=handover base=1 revision=2
  28.4 sidecar-c time=2026-07-31T15:11:11.000Z level=info event=rowWritten row=member/other reason=member base=1 revision=3
  30.1 sidecar-b time=2026-07-31T15:11:13.100Z level=info event=requestNotServed request=r1 service=shop life=u@1 reason=overloaded outcome=not-run running=12 waiting=4
  30.1 sidecar-a time=2026-07-31T15:11:13.101Z level=info event=requestEnded request=r1 service=shop instance=b attempts=1 manifest=4 outcome=not-run reason=overloaded status=503 callerLeft=false
  30.1 sidecar-a time=2026-07-31T15:11:13.101Z level=info event=requestEnded request=r2 service=shop instance=b attempts=1 manifest=4 outcome=not-run reason=overloaded status=503
not a log line
`

// TestReadSelectsLinesOfRequest guards against an explanation that lacks a line about the
// request, or includes one about another request.
func TestReadSelectsLinesOfRequest(t *testing.T) {
	is := is.New(t)
	explanation, err := explain.Read("r1", strings.NewReader(logText))
	is.NoErr(err)
	var out bytes.Buffer
	explanation.Write(&out)
	text := out.String()
	is.True(strings.Contains(text, "requestNotServed"))
	is.True(strings.Contains(text, "queue was too long"))
	is.True(strings.Contains(text, "division/shop"))
	is.True(!strings.Contains(text, "member/other"))
	is.True(!strings.Contains(text, "r2"))
}

// TestUnknownRequest guards against an empty explanation without an error.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	_, err := explain.Read("r9", strings.NewReader(logText))
	var unknown *explain.UnknownRequestError
	is.True(errors.As(err, &unknown))
}
