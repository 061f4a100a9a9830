package command_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/daemon/command"
)

const validSettings = `{"instance":"a","region":"r","failureDomain":"f","httpAddress":"%s",` +
	`"peerAddress":"127.0.0.1:9","localAddress":"127.0.0.1:9","tableUrl":"http://127.0.0.1:9","objectUrl":"http://127.0.0.1:9"}`

func runDaemon(t *testing.T, settings string, flags ...string) (int, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(settings), 0o600))
	var out bytes.Buffer
	code := command.Run(append([]string{"--settings", path}, flags...), &out)
	return code, out.String()
}

// Guards against a daemon that starts with invalid settings, or that reports only
// the first of several errors in them.
func TestInvalidSettings(t *testing.T) {
	is := is.New(t)
	code, text := runDaemon(t, `{"instance":"","httpAdress":"x","maxHeaderBytes":1}`)
	is.Equal(code, 2)
	for _, part := range []string{"instance", "httpAdress", "maxHeaderBytes", "tableUrl"} {
		is.True(strings.Contains(text, part))
	}
	code, _ = runDaemon(t, fmt.Sprintf(validSettings, "127.0.0.1:8"), "--check")
	is.Equal(code, 0)
	var out bytes.Buffer
	is.Equal(command.Run(nil, &out), 2)
	is.True(strings.Contains(out.String(), "--settings"))
}

// Guards against a daemon that keeps running although one of its addresses could
// not be bound.
func TestPortInUse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	address := listener.Addr().String()
	settings := strings.Replace(fmt.Sprintf(validSettings, "127.0.0.1:8"), `"peerAddress":"127.0.0.1:9"`, fmt.Sprintf(`"peerAddress":%q`, address), 1)
	code, text := runDaemon(t, settings)
	is.Equal(code, 1)
	is.True(strings.Contains(text, "peerAddress "+address))
}

// TestHangup guards against a SIGHUP that ends a running daemon, which cuts the requests in
// flight.
func TestHangup(t *testing.T) {
	is := is.New(t)
	address := "127.73.0.1:9001"
	settings := fmt.Sprintf(validSettings, address)
	settings = strings.Replace(settings, `"peerAddress":"127.0.0.1:9"`, `"peerAddress":"127.73.0.1:9002"`, 1)
	settings = strings.Replace(settings, `"localAddress":"127.0.0.1:9"`, `"localAddress":"127.73.0.1:9003"`, 1)
	exited := make(chan int, 1)
	go func() {
		code, text := runDaemon(t, settings)
		t.Logf("output: %s", text)
		exited <- code
	}()
	for { // until the daemon serves
		if conn, err := net.Dial("tcp", address); err == nil {
			is.NoErr(conn.Close())
			break
		}
		is.Equal(len(exited), 0)
		time.Sleep(10 * time.Millisecond)
	}
	self, err := os.FindProcess(os.Getpid())
	is.NoErr(err)
	is.NoErr(self.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(self.Signal(syscall.SIGTERM))
	is.Equal(<-exited, 0)
}
