package client_test

import (
	"io"
	"strings"
	"testing"

	"briarwell.dev/core/client"
	"briarwell.dev/core/clock"
	"briarwell.dev/core/internal/brokenresponse"
	"briarwell.dev/core/outcome"
)

// TestBrokenResponses guards against a response whose head or body is not valid, and that is returned
// as that of a daemon.
func TestBrokenResponses(t *testing.T) {
	const timeout clock.Millis = 300
	for name, text := range brokenresponse.All() {
		text = strings.ReplaceAll(text, "Id: 1\r\n", outcome.HeaderOutcome+": done\r\n")
		c := client.New(client.Settings{DaemonAddresses: []string{brokenresponse.StartServer(t, text)}})
		response, err := c.Do(t.Context(), client.Request{Service: bookings, Method: "POST", Timeout: timeout})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if _, done := response.Outcome.(outcome.Done); done && err == nil || !done && outcome.ReasonOf(response.Outcome) != outcome.ReasonInvalidResponse {
			t.Errorf("%s: got status %d, headers %v, body %q", name, response.Status, response.Headers, body)
		}
		_ = response.Body.Close()
		c.Close()
	}
}
