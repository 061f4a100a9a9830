package balance

import "briarwell.dev/core/clock"

const (
	// usableLinkShare is the share of a link that answers may use; the rest is for the
	// requests themselves, acknowledgements and control.
	usableLinkShare = 0.9
	// responseOverheadBytes is the size in bytes of an answer's head and of its acknowledgements
	// and packet heads, for a small one.
	responseOverheadBytes = 800
	// packetOverheadShare is what the packets of a large answer add to it.
	packetOverheadShare = 0.04
	// defaultLargeBytes is the size in bytes of a large answer before any was seen.
	defaultLargeBytes = 90_000
	// meanSizeWeight is the weight of the newest answer in the mean size.
	meanSizeWeight = 0.05
	// minLinkWaitLimit is the time in milliseconds for which any large answer may wait
	// for its link.
	minLinkWaitLimit clock.Millis = 160
	// spareTimeShare is the part of the time that an answer has left over for which
	// it may wait for its link: sizes and service times vary.
	spareTimeShare = 0.5
	// chunkMillis is the time in milliseconds that a piece of a large answer takes on
	// its link: a small answer waits for one piece only.
	chunkMillis = 10.0
	// minChunkBytes is the size in bytes of the smallest piece that is worth a write.
	minChunkBytes = 8 << 10
	// bitsPerByte and bitsPerMegabit convert figures.
	bitsPerByte     = 8
	bitsPerMegabit  = 1_000_000
	millisPerSecond = 1000
)

// Link follows the answers that an instance's link carries. Load pattern: large
// answers that need more than a slow link has, beside small ones that can't wait.
// The zero value has a link without a limit. It is not safe for concurrent use.
type Link struct {
	mbps float64
	// freeAt is when the link has sent all answers that were given to it.
	freeAt float64
	// meanLargeBytes is the mean size of large answers in bytes, and coming the number of
	// those that are being made.
	meanLargeBytes float64
	inProgress     int
}

// NewLink returns the link of the given bandwidth in Mbit/s.
func NewLink(mbps float64) Link { return Link{mbps: mbps} }

// Mbps returns the bandwidth, 0 if it has no limit.
func (l *Link) Mbps() float64 { return l.mbps }

// BeginLargeResponse counts a large answer that is being made.
func (l *Link) BeginLargeResponse() { l.inProgress++ }

// EndLargeResponse counts the end of its making; bytes is 0 if there is no answer.
func (l *Link) EndLargeResponse(bytes int) {
	l.inProgress--
	if bytes > 0 {
		l.meanLargeBytes = smoothedSize(l.meanLargeBytes, bytes)
	}
}

// Reserve takes an answer that is sent at now, and returns when its pieces go.
func (l *Link) Reserve(now clock.Millis, bytes int) Schedule {
	if l.mbps <= 0 {
		return Schedule{}
	}
	rate := linkBytesPerMilli(l.mbps)
	start := max(l.freeAt, float64(now))
	l.freeAt = start + (responseOverheadBytes+float64(bytes)*(1+packetOverheadShare))/rate
	return Schedule{start: start, bytesPerMilli: rate}
}

// Backlog returns the time in milliseconds until the link has sent what waits for it
// and what is being made.
func (l *Link) Backlog(now clock.Millis) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	return clock.Millis(max(l.freeAt-float64(now), 0) + float64(l.inProgress)*orDefaultSize(l.meanLargeBytes)/linkBytesPerMilli(l.mbps))
}

// LargeResponseDelay returns how long in milliseconds a large answer should be put off that is
// wanted within the given time and takes service to be made, 0 if it may be begun.
// The link goes on sending others while it is made.
func (l *Link) LargeResponseDelay(now, service, within clock.Millis) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	transfer := clock.Millis(orDefaultSize(l.meanLargeBytes) / linkBytesPerMilli(l.mbps))
	patience := max(clock.Millis(float64(within-service-transfer)*spareTimeShare), minLinkWaitLimit)
	return max(l.Backlog(now)-service-patience, 0)
}

// Schedule says when the pieces of an answer go over a link. The zero value sends
// all at once.
type Schedule struct {
	start         float64
	bytesPerMilli float64
}

// Delay returns for how long in milliseconds to wait at now before the piece that
// begins after sent bytes.
func (s Schedule) Delay(now clock.Millis, sent int) clock.Millis {
	if s.bytesPerMilli <= 0 {
		return 0
	}
	return max(clock.Millis(s.start+float64(sent)/s.bytesPerMilli)-now, 0)
}

// ChunkBytes returns the number of bytes that are sent at once.
func (s Schedule) ChunkBytes() int { return max(int(s.bytesPerMilli*chunkMillis), minChunkBytes) }

// linkBytesPerMilli returns the bytes that answers may take of a link in a millisecond.
func linkBytesPerMilli(mbps float64) float64 {
	return mbps * usableLinkShare * bitsPerMegabit / bitsPerByte / millisPerSecond
}

func orDefaultSize(size float64) float64 {
	if size == 0 {
		return defaultLargeBytes
	}
	return size
}

func smoothedSize(size float64, bytes int) float64 {
	size = orDefaultSize(size)
	return size + meanSizeWeight*(float64(bytes)-size)
}

// transferTime returns the expected time in milliseconds until a link has sent what
// waits for it and another answer of the given size.
func transferTime(load Load, bytes float64) float64 {
	if load.LinkMbps <= 0 {
		return 0
	}
	return float64(load.LinkBacklog) + bytes/linkBytesPerMilli(float64(load.LinkMbps))
}
