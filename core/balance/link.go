package balance

import "briarwell.dev/core/clock"

const (
	// linkShare is the share of a link that answers may use; the rest is for the
	// requests themselves, acknowledgements and control.
	linkShare = 0.8
	// firstLarge is the size in bytes of a large answer before any was seen.
	firstLarge = 90_000
	// sizeWeight is the weight of the newest answer in the mean size.
	sizeWeight = 0.05
	// bitsPerByte and bitsPerMegabit convert figures.
	bitsPerByte    = 8
	bitsPerMegabit = 1_000_000
	millisPerSec   = 1000
)

// Link follows the answers that wait for an instance's link. The zero value has a
// link without a limit. It is not safe for concurrent use.
type Link struct {
	mbps    float64
	at      clock.Millis
	backlog float64
	// large is the mean size of large answers in bytes, and coming the number of
	// those that are being made.
	large  float64
	coming int
}

// NewLink returns the link of the given bandwidth in Mbit/s.
func NewLink(mbps float64) Link { return Link{mbps: mbps} }

// Mbps returns the bandwidth, 0 if it has no limit.
func (l *Link) Mbps() float64 { return l.mbps }

// Begin counts a large answer that is being made.
func (l *Link) Begin() { l.coming++ }

// End counts the end of its making; bytes is 0 if there is no answer.
func (l *Link) End(bytes int) {
	l.coming--
	if bytes > 0 {
		l.large = mean(l.large, bytes)
	}
}

// Sent counts an answer that is sent at now.
func (l *Link) Sent(now clock.Millis, bytes int) {
	l.drain(now)
	l.backlog += float64(bytes)
}

// Wait returns the time in milliseconds until the link has sent what waits for it
// and what is being made.
func (l *Link) Wait(now clock.Millis) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	l.drain(now)
	return clock.Millis((l.backlog + float64(l.coming)*orFirst(l.large)) / perMilli(l.mbps))
}

func (l *Link) drain(now clock.Millis) {
	l.backlog = max(l.backlog-float64(now-l.at)*perMilli(l.mbps), 0)
	l.at = now
}

// perMilli returns the bytes that answers may take of a link in a millisecond.
func perMilli(mbps float64) float64 {
	return mbps * linkShare * bitsPerMegabit / bitsPerByte / millisPerSec
}

func orFirst(size float64) float64 {
	if size == 0 {
		return firstLarge
	}
	return size
}

func mean(size float64, bytes int) float64 {
	size = orFirst(size)
	return size + sizeWeight*(float64(bytes)-size)
}

// transfer returns the expected time in milliseconds until a link has sent what
// waits for it and another answer of the given size.
func transfer(load Load, bytes float64) float64 {
	if load.LinkMbps <= 0 {
		return 0
	}
	return float64(load.LinkWait) + bytes/perMilli(float64(load.LinkMbps))
}
