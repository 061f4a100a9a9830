package httptable_test

import (
	"errors"
	"strings"
	"testing"

	"briarwell.dev/core/internal/brokenresponse"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/httptable"
)

// TestBrokenResponses guards against a response whose head or body is not valid, and that counts as
// the result of a commit.
func TestBrokenResponses(t *testing.T) {
	for name, text := range brokenresponse.All() {
		text = strings.NewReplacer("bodyrest", "{}", "body", "{  }", "forged", "{    }", "3\r\n{", "2\r\n{").Replace(text)
		service, err := httptable.New("http://" + brokenresponse.StartServer(t, text))
		if err != nil {
			t.Fatal(err)
		}
		_, err = service.Commit(t.Context(), table.Transaction{})
		var outage *table.OutageError
		var status *httptable.StatusError
		if !errors.As(err, &outage) || errors.As(err, &status) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}
