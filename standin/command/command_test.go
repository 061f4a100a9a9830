package command_test

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/standin/command"
)

// Guards against invalid flags that are reported one at a time or with the wrong exit
// code, and against an address in use that the error does not name.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	address := listener.Addr().String()
	linkSettings := filepath.Join(t.TempDir(), "link.json")
	is.NoErr(os.WriteFile(linkSettings, []byte(`{"adminAddress":"`+address+`"}`), 0o600))
	unknownField := filepath.Join(t.TempDir(), "unknown.json")
	is.NoErr(os.WriteFile(unknownField, []byte(`{"admin":"x"}`), 0o600))
	service := []string{"--service", "attire/bookings"}
	for _, c := range []struct {
		arguments []string
		code      int
		wanted    []string
	}{
		{nil, 2, []string{"subcommand"}},
		{[]string{"table"}, 2, []string{"--address"}},
		{[]string{"objects", "--address", "nowhere"}, 2, []string{"--address", "nowhere"}},
		{
			[]string{"upstream", "--address", address, "--slots", "0", "--fencing", "some", "--service", "x", "--daemon", "y"},
			2,
			[]string{"--slots", "--fencing", "--service", "--daemon"},
		},
		{[]string{"link", "--settings", unknownField}, 2, []string{"unknown field"}},
		{[]string{"link", "--settings", linkSettings}, 1, []string{address, "in use"}},
		{[]string{"table", "--address", address}, 1, []string{address, "in use"}},
		{[]string{"objects", "--address", address}, 1, []string{address, "in use"}},
		{append([]string{"upstream", "--address", address}, service...), 1, []string{address, "in use"}},
	} {
		var stderr bytes.Buffer
		code := command.Run(c.arguments, &stderr)
		t.Log(c.arguments, code, stderr.String())
		is.Equal(code, c.code)
		for _, part := range c.wanted {
			is.True(strings.Contains(stderr.String(), part))
		}
	}
}
