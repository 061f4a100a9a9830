package dedupe

import (
	"strconv"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

// millisPerSecond converts the second part of a stamp.
const millisPerSecond = 1000

// hotKeySuffix ends the stamps of a hot key. The epochs of a shard and of its hot
// keys are counted apart, so that callers must not mix their stamps.
const hotKeySuffix = ".k"

// OfHotKey tells whether a stamp holds for one key and not for its shard.
func OfHotKey(stamp string) bool { return strings.HasSuffix(stamp, hotKeySuffix) }

// Held says for how long this daemon has owned a shard or hot key.
type Held struct {
	// HotKey tells that the key is owned apart from its shard.
	HotKey bool
	Epoch  identity.Epoch
	// Millis is the time since this owner got the epoch.
	Millis clock.Millis
	// First tells that the shard never had another owner.
	First bool
}

// Stamp returns the current stamp: "<epoch>.<seconds since it was got>", and
// ".k" after it for a hot key.
func (h Held) Stamp() string {
	buffer := make([]byte, 0, 24)
	buffer = strconv.AppendUint(buffer, uint64(h.Epoch), 10)
	buffer = append(buffer, '.')
	buffer = strconv.AppendInt(buffer, int64(max(h.Millis, 0)/millisPerSecond), 10)
	if h.HotKey {
		buffer = append(buffer, hotKeySuffix...)
	}
	return string(buffer)
}

// Verdict says what may happen to a non-idempotent request whose ID is not in
// the table.
type Verdict int

const (
	// VerdictRun means that the ID can't have been run before.
	VerdictRun Verdict = iota
	// VerdictOlder means that the ID may have been run by an earlier owner, or
	// so long ago that its outcome was dropped.
	VerdictOlder
	// VerdictStampRequired means that a stamp is needed to decide.
	VerdictStampRequired
)

// Judge returns the verdict for a request with the given stamp, "" if none. A
// stamp that this owner can't have given counts as older: the ID may have been
// run under it.
func (h Held) Judge(stamp string) Verdict {
	if stamp == "" {
		if h.First || h.Millis > Retention {
			return VerdictRun
		}
		return VerdictStampRequired
	}
	text, hot := strings.CutSuffix(stamp, hotKeySuffix)
	epoch, seconds, ok := parseStamp(text)
	if !ok || hot != h.HotKey || epoch != h.Epoch {
		return VerdictOlder
	}
	// The stamp's second is rounded down, so the age errs towards older.
	age := h.Millis - seconds*millisPerSecond
	if age < 0 || age > Retention {
		return VerdictOlder
	}
	return VerdictRun
}

func parseStamp(stamp string) (identity.Epoch, clock.Millis, bool) {
	first, second, found := strings.Cut(stamp, ".")
	if !found {
		return 0, 0, false
	}
	epoch, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return 0, 0, false
	}
	seconds, err := strconv.ParseUint(second, 10, 32)
	if err != nil {
		return 0, 0, false
	}
	return identity.Epoch(epoch), clock.Millis(seconds), true
}
