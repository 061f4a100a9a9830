package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/logs"
)

// TestLineFormat guards against lines that a key=value reader can't split.
func TestLineFormat(t *testing.T) {
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

// blockedWriter is a reader of the log that takes nothing.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestLogNeverBlocks guards against a request that waits for the log.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{release: make(chan struct{})}
	logger, closer := logs.New(out, "info")
	began := time.Now()
	for range 10_000 {
		logger.Info().Msg("line")
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(closer.Dropped() > 5000)
	close(out.release)
	is.NoErr(closer.Close())
	logger.Info().Msg("after the end")
}

// TestLimiter guards against a log that grows with the load, and against lines that
// are omitted without a count.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	limit := logs.NewLimiter(2)
	taken := 0
	for range 10 {
		if ok, _ := limit.Allow(1500); ok {
			taken++
		}
	}
	is.Equal(taken, 2)
	ok, omitted := limit.Allow(2600)
	is.True(ok)
	is.Equal(omitted, int64(8))
}
