package settings_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"briarwell.dev/core/settings"
)

// TestParseDaemonExample guards against a change of names or defaults that breaks
// existing settings files.
func TestParseDaemonExample(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../examples/daemon.json")
	is.NoErr(err)
	daemon, err := settings.ParseDaemon(data)
	is.NoErr(err)
	is.Equal(daemon.Instance(), "lagos-a-1")
	is.Equal(daemon.Region(), "lagos")
	is.Equal(daemon.FailureDomain(), "lagos-a")
	is.Equal(daemon.AdvertiseHTTPAddress(), daemon.HTTPAddress())
	is.Equal(daemon.AdvertisePeerAddress(), "127.0.1.1:9090")
	is.Equal(daemon.LocalAddress(), "127.0.0.1:9191")
	is.Equal(daemon.TableURL(), "http://127.0.0.1:7100")
	is.Equal(daemon.ObjectURL(), "http://127.0.0.1:7200")
	is.Equal(daemon.LogLevel(), "info")
	is.Equal(daemon.MaxHeaderBytes(), 16384)
	is.Equal(daemon.StopTimeout().Duration().Seconds(), 30.0)
	is.Equal(daemon.Placement(), settings.PlacementStatic)
	is.Equal(daemon.HotKeys(), false)
}

// TestParseDaemonErrors guards against errors that are reported one at a time, or
// without the path, the found value or the allowed values.
func TestParseDaemonErrors(t *testing.T) {
	cases := map[string]string{
		"empty":     ``,
		"truncated": "{\n  \"instance\": \"a\",\n",
		"twoDocs":   `{} {}`,
		"missing":   `{}`,
		"wrong": `{"instance": "", "region": 5, "failureDomain": null, "httpAddress": "8080", "peerAddress": "host:9090",
			"localAddress": "127.0.0.1:0", "tableUrl": "ftp://x", "objectUrl": "http://u@x/?q", "logLevel": "loud",
			"maxHeaderBytes": 1.5, "stopTimeoutMillis": 600001, "logLevle": "info", "placement": "random", "hotKeys": 1, "region": {}}`,
		"unspecified": `{"instance": "a", "region": "r", "failureDomain": "f", "httpAddress": "0.0.0.0:80", "peerAddress": "[::]:9090",
			"localAddress": "127.0.0.1:1", "tableUrl": "http://t", "objectUrl": "http://o"}`,
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ParseDaemon([]byte(document))
			var invalid *settings.ValidationError
			is.New(t).True(errors.As(err, &invalid))
			goldie.New(t).Assert(t, "daemon-"+name, []byte(invalid.Error()+"\n"))
		})
	}
}

// TestParseDaemonArbitraryText guards against a panic, or an error that does not state
// what is allowed.
func TestParseDaemonArbitraryText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"{", "}", "[", "]", ",", ":", `"instance"`, `"region"`, "null", "1e99", "-", " ", "\x00"}))
		_, err := settings.ParseDaemon([]byte(strings.Join(parts.Draw(t, "parts"), "")))
		var invalid *settings.ValidationError
		if !errors.As(err, &invalid) || len(invalid.Fields()) == 0 || invalid.Fields()[0].Allowed() == "" {
			t.Fatalf("got error %v, expected a ValidationError with field errors", err)
		}
	})
}

// TestParseDocumentMatchesEncodingJSON guards against values that differ from those of
// encoding/json, which is the reference for documents without duplicate fields.
func TestParseDocumentMatchesEncodingJSON(t *testing.T) {
	scalar := rapid.SampledFrom([]any{nil, true, "", "a\u2028\"b", json.Number("-1.5e3"), json.Number("12345678901234567890")})
	var tree func(depth int) *rapid.Generator[any]
	tree = func(depth int) *rapid.Generator[any] {
		return rapid.Custom(func(t *rapid.T) any {
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 && depth > 0:
				return rapid.MapOfN(rapid.StringN(0, 3, -1), tree(depth-1), 0, 4).Draw(t, "object")
			case kind == 1 && depth > 0:
				return rapid.SliceOfN(tree(depth-1), 0, 4).Draw(t, "array")
			default:
				return scalar.Draw(t, "scalar")
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		data, _ := json.Marshal(tree(4).Draw(t, "tree"))
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.UseNumber()
		var want any
		if err := decoder.Decode(&want); err != nil {
			t.Fatal(err)
		}
		collector := &settings.ErrorCollector{}
		if found := settings.ParseDocument(data, collector).Raw(); collector.Err() != nil || !reflect.DeepEqual(found, want) {
			t.Fatalf("%s: read %v (%v), expected %v", data, found, collector.Err(), want)
		}
	})
}
