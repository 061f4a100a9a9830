package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/core/logs"
)

// TestLineFormat guards against lines that a key=value parser can't split.
func TestLineFormat(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, writer := logs.New(&out, "info")
	logger.Info().Str("key", "gele bundle").Bool("local", true).Int("shard", 7).Msg("route")
	logger.Debug().Msg("hidden")
	is.NoErr(writer.Close())
	line := out.String()
	is.True(strings.HasPrefix(line, "time="))
	is.True(strings.HasSuffix(line, ` level=info event=route key="gele bundle" local=true shard=7`+"\n"))
	is.Equal(strings.Count(line, "\n"), 1)
}

// TestLongValues guards against lines and a buffer whose size a client chooses.
func TestLongValues(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	logger, writer := logs.New(&text, "info")
	logger.Info().Str("request", strings.Repeat("r", 100_000)).Int("status", 400).Msg("requestRejected")
	is.NoErr(writer.Close())
	is.True(text.Len() < 1000)
	is.True(strings.HasSuffix(text.String(), "... status=400\n"))
	out := blockedWriter{release: make(chan struct{})}
	logger, writer = logs.New(out, "info")
	for range 4000 {
		logger.Info().Str("a", strings.Repeat("a", 1000)).Str("b", strings.Repeat("b", 1000)).Str("c", strings.Repeat("c", 1000)).Msg("line")
	}
	is.True(writer.Dropped() > 1000) // 4,000 lines of 1.5 kB
	close(out.release)
	is.NoErr(writer.Close())
}

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestLogNeverBlocks guards against requests that block on a slow reader of the log.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{release: make(chan struct{})}
	logger, writer := logs.New(out, "info")
	start := time.Now()
	for range 10_000 {
		logger.Info().Msg("line")
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(writer.Dropped() > 5000)
	close(out.release)
	is.NoErr(writer.Close())
	logger.Info().Msg("after the end")
}

// TestLimiter guards against a log whose size grows with the request rate, and against
// lines that are omitted but not counted.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	limiter := logs.NewLimiter(2)
	allowed := 0
	for range 10 {
		if ok, _ := limiter.Allow(1500); ok {
			allowed++
		}
	}
	is.Equal(allowed, 2)
	ok, omitted := limiter.Allow(2600)
	is.True(ok)
	is.Equal(omitted, int64(8))
}
