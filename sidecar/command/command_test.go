package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/sidecar/command"
)

// TestExitCodes guards against an invalid command line or file that is accepted, and
// against output that doesn't name what is invalid.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	invalidSettings := filepath.Join(t.TempDir(), "wrong.json")
	is.NoErr(os.WriteFile(invalidSettings, []byte(`{"instance":""}`), 0o600))
	logs := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(logs, []byte("time=2026-07-31T15:11:13.100Z level=info event=requestEnded request=r1 reason=no-owner outcome=not-run\n"), 0o600))
	for _, c := range []struct {
		arguments []string
		code      int
		text      string
	}{
		{nil, 2, "--settings"},
		{[]string{"--settings", "/nowhere"}, 2, "/nowhere"},
		{[]string{"--settings", invalidSettings, "--check"}, 2, "upstreamAddress"},
		{[]string{"explain", "--log", logs}, 2, "--request"},
		{[]string{"explain", "--request", "r1"}, 2, "--log"},
		{[]string{"explain", "--request", "r2", "--log", logs}, 1, "r2"},
		{[]string{"explain", "--request", "r1", "--log", logs}, 0, "no instance owned the key"},
	} {
		var out bytes.Buffer
		code := command.Run(c.arguments, &out)
		if code != c.code || !strings.Contains(out.String(), c.text) {
			t.Errorf("%v: code %d, output %q", c.arguments, code, out.String())
		}
	}
}
