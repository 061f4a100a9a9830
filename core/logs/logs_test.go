package logs_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/logs"
)

// TestLine guards against lines that a key=value reader can't split.
func TestLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, closer := logs.New(&out, "info")
	logger.Info().Str("key", "gele bundle").Bool("local", true).Int("shard", 7).Msg("route")
	logger.Debug().Msg("hidden")
	is.NoErr(closer.Close())
	line := out.String()
	is.True(strings.HasPrefix(line, "time="))
	is.True(strings.HasSuffix(line, ` level=info event=route key="gele bundle" local=true shard=7`+"\n"))
	is.Equal(strings.Count(line, "\n"), 1)
}
