package command_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"briarwell.dev/sidecar/command"
)

// TestCheckManifestSession guards against a session whose output or exit codes change unnoticed,
// and against a manual that shows another one.
func TestCheckManifestSession(t *testing.T) {
	is := is.New(t)
	var transcript bytes.Buffer
	for _, line := range []string{
		"check-manifest draft.json --against before.json --regions lagos,kano",
		"check-manifest corrected.json --against before.json --regions lagos,kano",
	} {
		fmt.Fprintf(&transcript, "$ sidecar %s\n", line)
		arguments := strings.Fields(strings.NewReplacer("draft", "testdata/draft", "corrected", "testdata/corrected", "before", "testdata/before").Replace(line))
		code := command.Run(arguments, &transcript)
		fmt.Fprintf(&transcript, "$ echo $?\n%d\n", code)
	}
	goldie.New(t).Assert(t, "check-manifest", transcript.Bytes())
	manual, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(manual), "    "+strings.ReplaceAll(strings.TrimSpace(transcript.String()), "\n", "\n    ")+"\n"))
	var encoded bytes.Buffer
	is.Equal(command.Run([]string{"check-manifest", "testdata/draft.json", "--json"}, &encoded), 1)
	goldie.New(t).Assert(t, "check-manifest-json", encoded.Bytes())
}

// TestCheckManifestUsage guards against a misspelled or empty argument that is ignored, so that a
// script takes a check for made that was not.
func TestCheckManifestUsage(t *testing.T) {
	for _, line := range []string{
		"", "nowhere.json", "testdata", "testdata/before.json --against nowhere.json", "testdata/before.json --against=",
		"testdata/before.json --against testdata/check-manifest.golden", "testdata/before.json --regions lagos,,kano",
		"testdata/before.json --regions EMPTY", "EMPTY", "testdata/before.json -- x", "testdata/before.json testdata/draft.json",
		"testdata/before.json --region lagos", "testdata/before.json --against", "testdata/before.json --json=maybe",
	} {
		process := exec.Command(os.Args[0])
		process.Env = append(os.Environ(), argumentsVariable+"=check-manifest "+line)
		output, err := process.CombinedOutput()
		var exited *exec.ExitError
		if !errors.As(err, &exited) || exited.ExitCode() != 2 || len(output) == 0 || bytes.Contains(output, []byte("goroutine")) {
			t.Errorf("%q: %v, output %q", line, err, output)
		}
	}
	var out bytes.Buffer
	is.New(t).Equal(command.Run([]string{"--check", "check-manifest", "testdata/before.json"}, &out), 2)
}
