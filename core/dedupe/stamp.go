package dedupe

import (
	"strconv"
	"strings"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
)

// millisPerSecond converts the seconds in a stamp to clock.Millis.
const millisPerSecond = 1000

// hotKeySuffix is the suffix of the stamps of a hot key. The epochs of a shard and of its hot
// keys are counted separately, so that the stamp of one is invalid for the other.
const hotKeySuffix = ".k"

// IsHotKeyStamp reports whether a stamp is valid for one hot key only, not for its shard.
func IsHotKeyStamp(stamp string) bool { return strings.HasSuffix(stamp, hotKeySuffix) }

// OwnershipAge describes for how long this daemon has owned a shard or hot key.
type OwnershipAge struct {
	// IsHotKey reports whether the key is owned separately from its shard.
	IsHotKey bool
	Epoch    identity.Epoch
	// Age is the time in milliseconds since this owner acquired the epoch.
	Age clock.Millis
	// IsFirstOwner reports whether the shard had no owner before this one.
	IsFirstOwner bool
}

// Stamp returns the current stamp: "<epoch>.<age in seconds>", followed by ".k" for a hot
// key.
func (a OwnershipAge) Stamp() string {
	buffer := make([]byte, 0, 24)
	buffer = strconv.AppendUint(buffer, uint64(a.Epoch), 10)
	buffer = append(buffer, '.')
	buffer = strconv.AppendInt(buffer, int64(max(a.Age, 0)/millisPerSecond), 10)
	if a.IsHotKey {
		buffer = append(buffer, hotKeySuffix...)
	}
	return string(buffer)
}

// Verdict is the decision on a non-idempotent request whose ID is not in the table.
type Verdict int

const (
	// VerdictNew means that the request can't have been run before.
	VerdictNew Verdict = iota
	// VerdictPossiblyRun means that the request may have been run by an earlier owner, or
	// so long ago that its outcome was dropped.
	VerdictPossiblyRun
	// VerdictStampRequired means that the request has no stamp, without which it can't be
	// decided whether it was run before.
	VerdictStampRequired
)

// CheckStamp returns the verdict for a request with the given stamp, "" if it has none. For a
// stamp that this owner can't have issued it is VerdictPossiblyRun, because an earlier owner
// may have run the request.
func (a OwnershipAge) CheckStamp(stamp string) Verdict {
	if stamp == "" {
		if a.IsFirstOwner || a.Age > Retention {
			return VerdictNew
		}
		return VerdictStampRequired
	}
	text, isHotKey := strings.CutSuffix(stamp, hotKeySuffix)
	epoch, seconds, ok := parseStamp(text)
	if !ok || isHotKey != a.IsHotKey || epoch != a.Epoch {
		return VerdictPossiblyRun
	}
	// The seconds of the stamp are rounded down, so that the request may appear up to a
	// second older than it is, but never younger.
	age := a.Age - seconds*millisPerSecond
	if age < 0 || age > Retention {
		return VerdictPossiblyRun
	}
	return VerdictNew
}

func parseStamp(stamp string) (identity.Epoch, clock.Millis, bool) {
	epochText, secondsText, found := strings.Cut(stamp, ".")
	if !found {
		return 0, 0, false
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return 0, 0, false
	}
	seconds, err := strconv.ParseUint(secondsText, 10, 32)
	if err != nil {
		return 0, 0, false
	}
	return identity.Epoch(epoch), clock.Millis(seconds), true
}
