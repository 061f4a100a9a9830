package settings_test

import (
	"testing"

	"briarwell.dev/sidecar/settings"
)

// FuzzParse guards against a settings file that stops the process instead of being rejected.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"retrySlack":1e400,"memoryMB":-1,"cpuShare":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err == nil && (s.Instance() == "" || s.RetrySlack() < 0 || s.BodyMemoryBytes() < 0) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
