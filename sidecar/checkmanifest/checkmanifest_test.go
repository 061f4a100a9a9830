package checkmanifest_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/manifestcheck"
	"briarwell.dev/platform/manifest"
	"briarwell.dev/sidecar/checkmanifest"
)

const validManifest = `{"version":"0c","routes":{"r":{"host":"h","prefix":"/r/","kind":"idempotent","timeout":"1s","target_latency":"400ms",
	"traffic_split":[{"service":"s","weight":9},{"service":"t","weight":1}],"max_attempts":2}},"services":{"s":{"sharded":true},"t":{}},
	"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3s","idle_timeout":"15s"}}`

func write(t *testing.T, data string, o checkmanifest.Options) string {
	t.Helper()
	report, err := checkmanifest.Check([]byte(data), o)
	is.New(t).NoErr(err)
	var out bytes.Buffer
	report.Write(&out)
	return out.String()
}

// TestCheck guards against findings about a valid manifest, a rejected manifest that passes, and
// text that only a reader of the decoder's source understands.
func TestCheck(t *testing.T) {
	is := is.New(t)
	is.Equal(write(t, validManifest, checkmanifest.Options{}), "errors 0, warnings 0, notes 0, changes 0\n")
	for data, want := range map[string]string{
		`{"version":"0c",`:                                            "error   manifest: is not valid JSON (byte 16: unexpected end of JSON input); the sidecar rejects the manifest",
		`{"version":"0c","routes":7}`:                                 "error   manifest: is a JSON number; an object is expected; the sidecar rejects",
		`{"version":"0x"}`:                                            `error   version: can't be read: "0x" is not a positive hexadecimal number; the sidecar rejects`,
		`{"version":"1","routes":{"r\n\u001b[1m":7}}`:                 `error   routes.r\n\x1b[1m: is a JSON number; an object is expected`,
		strings.Replace(validManifest, `"400ms"`, `"soon"`, 1):        `error   routes.r.target_latency: can't be read: invalid duration "soon"; the route has no target latency`,
		strings.Replace(validManifest, `"400ms"`, `"-1s"`, 1):         "error   routes.r.target_latency: can't be read: must not be negative; the route has no target latency",
		strings.Replace(validManifest, `{"sharded":true}`, `null`, 1): "error   services.s: has no settings",
		strings.Replace(validManifest, `"t":{}`, `"t":{},"t":{}`, 1):  "warning services.t: occurs more than once",
	} {
		text := write(t, data, checkmanifest.Options{})
		if !strings.HasPrefix(text, want) {
			t.Errorf("%s: %s", data, text)
		}
	}
	text := write(t, strings.Replace(validManifest, `{"sharded":true}`, `{"sharded":1}`, 1), checkmanifest.Options{})
	is.True(strings.HasSuffix(text, "errors 1, warnings 0, notes 0, changes 0\n")) // not reported twice
	_, err := checkmanifest.Check([]byte(validManifest), checkmanifest.Options{Against: []byte("{}")})
	var against *checkmanifest.AgainstError
	is.True(errors.As(err, &against))
}

// FuzzCheck guards against a manifest that stops the check, passes although the sidecar rejects it
// or can't read a part, breaks the lines of the output, or has another result the next time.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(validManifest), []byte(validManifest), "lagos")
	f.Add([]byte(`{"version":"1","routes":{"r":null,"a\nb":{"host":"h:1","prefix":"r","traffic_split":[{"weight":9223372036854775807},{}]}},"services":{"s":[]},"limits":7}`), []byte(nil), "")
	f.Add([]byte(`{"version":"2","version":"1","routes":{"r":{"allowed_regions":["a"]}},"routes":[]}`), []byte(`{"version":"1"}`), "a")
	f.Fuzz(func(t *testing.T, data, against []byte, region string) {
		report, err := checkmanifest.Check(data, checkmanifest.Options{Against: against, Regions: []string{region}})
		if err != nil {
			if _, _, decodeErr := manifest.Decode(against); decodeErr == nil {
				t.Fatalf("error %v", err)
			}
			return
		}
		_, problems, decodeErr := manifest.Decode(data)
		failed := report.Count(manifestcheck.SeverityError) > 0
		if !failed && (decodeErr != nil || len(problems) > 0) {
			t.Fatalf("no error although the decoder reports %v, %v", decodeErr, problems)
		}
		var text, encoded, again bytes.Buffer
		report.Write(&text)
		if err := report.WriteJSON(&encoded); err != nil {
			t.Fatal(err)
		}
		var decoded struct {
			Findings, Changes []struct{ Place, Text string }
		}
		if err := json.Unmarshal(encoded.Bytes(), &decoded); err != nil {
			t.Fatal(err)
		}
		if want := len(decoded.Findings) + len(decoded.Changes) + 1; strings.Count(text.String(), "\n") != want {
			t.Fatalf("%d lines wanted: %q", want, text.String())
		}
		report, _ = checkmanifest.Check(data, checkmanifest.Options{Against: against, Regions: []string{region}})
		if report.Write(&again); again.String() != text.String() {
			t.Fatalf("output differs: %q, %q", text.String(), again.String())
		}
	})
}
