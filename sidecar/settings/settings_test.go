package settings_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/sidecar/settings"
)

const validSettings = `{"instance":"i1","region":"r","failureDomain":"d","ip":"10.0.0.1","service":"s","upstreamAddress":"10.0.0.1:1",
	"callerAddress":"10.0.0.1:2","requestAddress":"10.0.0.1:3","readyAddress":"10.0.0.1:4","reportAddress":"10.0.0.1:5",
	"peerPort":7600,"metricsPort":7615,"storeAddress":"10.0.0.9:80","holdMax":"10000ms","drain":"2500ms","grace":"6s",
	"retryShare":0.2,"retrySlack":56,"retryWindow":"10s","linkMbps":100.5,"memoryMB":184,"logLevel":"info"}`

// TestParse guards against wrongly parsed values.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.PeerAddress(), "10.0.0.1:7600")
	is.Equal(s.PeerListenAddress(), "10.0.0.1:7600")
	is.Equal(s.Grace(), clock.Millis(6000))
	is.Equal(s.RetryShare(), 0.2)
	is.Equal(s.RetrySlack(), 56.0)
	is.Equal(s.MemoryMB(), 184.0)
}

// TestParsePeerListenAddress guards against a sidecar behind a proxy that tells others the address
// on which it listens.
func TestParsePeerListenAddress(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(strings.Replace(validSettings, `"peerPort"`, `"peerListenAddress":"10.0.0.2:7601","peerPort"`, 1)))
	is.NoErr(err)
	is.Equal(s.PeerAddress(), "10.0.0.1:7600")
	is.Equal(s.PeerListenAddress(), "10.0.0.2:7601")
}

// TestParseNumbers guards against numbers that the platform renders as fractions or with
// an exponent and that stop a sidecar from starting.
func TestParseNumbers(t *testing.T) {
	is := is.New(t)
	for text, slack := range map[string]float64{"30.714285714285715": 30.714285714285715, "5.6e1": 56, "0": 0, "56.0": 56} {
		s, err := settings.Parse([]byte(strings.Replace(validSettings, `"retrySlack":56`, `"retrySlack":`+text, 1)))
		is.NoErr(err)
		is.Equal(s.RetrySlack(), slack)
	}
	s, err := settings.Parse([]byte(strings.Replace(strings.Replace(validSettings, `"memoryMB":184`, `"memoryMB":1.84e2`, 1), "100.5", "0", 1)))
	is.NoErr(err)
	is.Equal(s.MemoryMB(), 184.0)
	_, err = settings.Parse([]byte(strings.Replace(validSettings, `"memoryMB":184,`, ``, 1)))
	is.NoErr(err)
}

// TestParseRejectsInvalidField guards against an invalid file that is accepted, and against
// an error that doesn't name the invalid field.
func TestParseRejectsInvalidField(t *testing.T) {
	for field, change := range map[string][2]string{
		"instance":        {`"i1"`, `""`},
		"upstreamAddress": {`"10.0.0.1:1"`, `"here"`},
		"peerPort":        {`7600`, `70000`},
		"drain":           {`"2500ms"`, `"soon"`},
		"grace":           {`"6s"`, `6`},
		"retryShare":      {`0.2`, `2`},
		"retrySlack":      {`56`, `-1`},
		"memoryMB":        {`184`, `"much"`},
		"storeAddress":    {`"storeAddress":"10.0.0.9:80",`, ``},
		"coldSlack":       {`"logLevel"`, `"coldSlack":-1,"logLevel"`},
		"coldProbes":      {`"logLevel"`, `"coldProbes":7,"logLevel"`},
		"outOfUseWithin":  {`"logLevel"`, `"outOfUseWithin":"0s","logLevel"`},
		"manifestWithin":  {`"logLevel"`, `"manifestWithin":"soon","logLevel"`},
		"other":           {`"logLevel"`, `"other":1,"logLevel"`},
	} {
		_, err := settings.Parse([]byte(strings.Replace(validSettings, change[0], change[1], 1)))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got error %v", field, err)
		}
	}
}

// TestDeployTemplateMatchesSettings guards against a settings field that the platform's
// template does not fill, and a field in the template that Parse does not know.
func TestDeployTemplateMatchesSettings(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../deploy/settings.json.tmpl")
	is.NoErr(err)
	text := string(data)
	values := strings.NewReplacer(
		"{{node_name|json}}", `"i1"`, "{{region|json}}", `"r"`, "{{zone|json}}", `"d"`, "{{ip|json}}", `"10.0.0.1"`,
		"{{service|json}}", `"s"`, "{{app_address|json}}", `"10.0.0.1:1"`, "{{listen_addresses.outbound|json}}", `"10.0.0.1:2"`,
		"{{listen_addresses.inbound|json}}", `"10.0.0.1:3"`, "{{listen_addresses.ready|json}}", `"10.0.0.1:4"`,
		"{{listen_addresses.control_plane|json}}", `"10.0.0.1:5"`, "{{internal_port_range.0|json}}", "7600",
		"{{platform.address|json}}", `"10.0.0.9:80"`,
		"{{bounds.hold_max|json}}", `"10000ms"`, "{{bounds.drain|json}}", `"2500ms"`, "{{bounds.grace|json}}", `"6s"`,
		"{{bounds.retry_budget_ratio|json}}", "0.2", "{{bounds.budget_slack|json}}", "56", "{{bounds.retry_window|json}}", `"10s"`,
		"{{limits.bandwidth_mbps|json}}", "1000.0", "{{limits.memory_mb|json}}", "284", "{{limits.cpu_share|json}}", "0.32",
		"{{limits.max_fds|json}}", "4100",
	)
	text = values.Replace(text)
	bounds := map[string]string{"bounds.evacuate": `"5000ms"`, "bounds.cold_overshoot": "1.5", "bounds.cold_slack": "8"}
	s, err := settings.Parse([]byte(renderSections(text, bounds)))
	is.NoErr(err)
	is.Equal(s.OutOfUseWithin(), clock.Millis(5000))
	is.Equal(s.ColdOvershoot(), 1.5)
	is.Equal(s.ColdSlack(), 8.0)
	is.Equal(s.MaxDescriptors(), 4100)
	s, err = settings.Parse([]byte(renderSections(text, nil)))
	is.NoErr(err)
	is.Equal(s.ColdOvershoot(), 1.0)
	is.Equal(s.ColdSlack(), 0.0)
	is.True(s.ColdProbes())
}

// section is a part of the template that is rendered only if the platform has a value.
var section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)}}(.*?)\{\{/[a-z_.]+}}`)

// renderSections renders the sections of a template with the values, and drops those without one.
func renderSections(text string, values map[string]string) string {
	return section.ReplaceAllStringFunc(text, func(found string) string {
		parts := section.FindStringSubmatch(found)
		value, ok := values[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.|json}}", value)
	})
}
