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

// IsHotKeyStamp tells whether a stamp holds for one key and not for its shard.
func IsHotKeyStamp(stamp string) bool { return strings.HasSuffix(stamp, hotKeySuffix) }

// OwnershipAge says for how long this daemon has owned a shard or hot key.
type OwnershipAge struct {
	// IsHotKey tells that the key is owned apart from its shard.
	IsHotKey bool
	Epoch    identity.Epoch
	// Age is the time since this owner got the epoch.
	Age clock.Millis
	// IsFirstOwner tells that the shard never had another owner.
	IsFirstOwner bool
}

// Stamp returns the current stamp: "<epoch>.<seconds since it was got>", and
// ".k" after it for a hot key.
func (h OwnershipAge) Stamp() string {
	buffer := make([]byte, 0, 24)
	buffer = strconv.AppendUint(buffer, uint64(h.Epoch), 10)
	buffer = append(buffer, '.')
	buffer = strconv.AppendInt(buffer, int64(max(h.Age, 0)/millisPerSecond), 10)
	if h.IsHotKey {
		buffer = append(buffer, hotKeySuffix...)
	}
	return string(buffer)
}

// Verdict says what may happen to a non-idempotent request whose ID is not in
// the table.
type Verdict int

const (
	// VerdictNew means that the ID can't have been run before.
	VerdictNew Verdict = iota
	// VerdictPossiblyRun means that the ID may have been run by an earlier owner, or
	// so long ago that its outcome was dropped.
	VerdictPossiblyRun
	// VerdictStampRequired means that a stamp is needed to decide.
	VerdictStampRequired
)

// CheckStamp returns the verdict for a request with the given stamp, "" if none. A
// stamp that this owner can't have given counts as older: the ID may have been
// run under it.
func (h OwnershipAge) CheckStamp(stamp string) Verdict {
	if stamp == "" {
		if h.IsFirstOwner || h.Age > Retention {
			return VerdictNew
		}
		return VerdictStampRequired
	}
	text, hot := strings.CutSuffix(stamp, hotKeySuffix)
	epoch, seconds, ok := parseStamp(text)
	if !ok || hot != h.IsHotKey || epoch != h.Epoch {
		return VerdictPossiblyRun
	}
	// The stamp's second is rounded down, so the age errs towards older.
	age := h.Age - seconds*millisPerSecond
	if age < 0 || age > Retention {
		return VerdictPossiblyRun
	}
	return VerdictNew
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
