package balance

import "briarwell.dev/core/clock"

const (
	// usableLinkShare is the share of a link's bandwidth for responses. The rest is
	// left to requests, acknowledgements and control messages.
	usableLinkShare = 0.9
	// responseOverheadBytes is the size in bytes of a response head, and of the
	// acknowledgements and packet headers of a small response.
	responseOverheadBytes = 800
	// packetOverheadShare is the size of packet headers relative to a large response.
	packetOverheadShare = 0.04
	// defaultLargeBytes is the assumed size in bytes of a large response before the
	// first one.
	defaultLargeBytes = 90_000
	// meanSizeWeight is the weight of the newest response in the mean size.
	meanSizeWeight = 0.05
	// minLinkWaitLimit is the time in milliseconds for which any large response may
	// wait for its link.
	minLinkWaitLimit clock.Millis = 160
	// spareTimeShare is the share of a large response's spare time for which it may
	// wait for its link. The rest absorbs the variation of sizes and service times.
	spareTimeShare = 0.5
	// chunkMillis is the transfer time in milliseconds of a chunk of a large response.
	// A small response waits for at most one chunk.
	chunkMillis = 10.0
	// minChunkBytes is the size in bytes of the smallest chunk worth a write call.
	minChunkBytes = 8 << 10
	// Unit conversions.
	bitsPerByte     = 8
	bitsPerMegabit  = 1_000_000
	millisPerSecond = 1000
)

// Link models one direction of an instance's network link. Load pattern: large
// responses that need more bandwidth than a slow link has, beside small ones that
// can't wait. The zero value is a link of unlimited bandwidth. It is not safe for
// concurrent use.
type Link struct {
	mbps float64
	// freeAt is the time in milliseconds at which the link has sent all responses
	// queued so far.
	freeAt float64
	// meanLargeBytes is the mean size of large responses in bytes, 0 if there was none.
	meanLargeBytes float64
	// inProgress is the number of large responses that the upstream is computing.
	inProgress int
}

// NewLink returns a link of the given bandwidth in Mbit/s.
func NewLink(mbps float64) Link { return Link{mbps: mbps} }

// Mbps returns the bandwidth in Mbit/s, 0 if unlimited.
func (l *Link) Mbps() float64 { return l.mbps }

// BeginLargeResponse counts a large response that the upstream starts to compute.
func (l *Link) BeginLargeResponse() { l.inProgress++ }

// EndLargeResponse counts the end of that computation; bytes is the size of the
// response, 0 if there is none.
func (l *Link) EndLargeResponse(bytes int) {
	l.inProgress--
	if bytes > 0 {
		l.meanLargeBytes = smoothedSize(l.meanLargeBytes, bytes)
	}
}

// Reserve queues a response that is ready at now, and returns when its chunks are to be
// sent.
func (l *Link) Reserve(now clock.Millis, bytes int) Schedule {
	if l.mbps <= 0 {
		return Schedule{}
	}
	bytesPerMilli := linkBytesPerMilli(l.mbps)
	start := max(l.freeAt, float64(now))
	l.freeAt = start + (responseOverheadBytes+float64(bytes)*(1+packetOverheadShare))/bytesPerMilli
	return Schedule{start: start, bytesPerMilli: bytesPerMilli}
}

// Backlog returns the time in milliseconds that the link needs for the queued responses
// and for the large ones in progress.
func (l *Link) Backlog(now clock.Millis) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	return clock.Millis(max(l.freeAt-float64(now), 0) + float64(l.inProgress)*orDefaultSize(l.meanLargeBytes)/linkBytesPerMilli(l.mbps))
}

// LargeResponseDelay returns the time in milliseconds by which to delay a request for a
// large response, 0 if it may start. serviceTime is the time to compute the response,
// within the time in which it should arrive. The link works off its backlog while the
// response is computed.
func (l *Link) LargeResponseDelay(now, serviceTime, within clock.Millis) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	transfer := clock.Millis(orDefaultSize(l.meanLargeBytes) / linkBytesPerMilli(l.mbps))
	waitLimit := max(clock.Millis(float64(within-serviceTime-transfer)*spareTimeShare), minLinkWaitLimit)
	return max(l.Backlog(now)-serviceTime-waitLimit, 0)
}

// BodyDelay returns the time in milliseconds by which to delay a request with a large body,
// 0 if the link may receive the body. The response should arrive within the given time, of
// which the upstream needs serviceTime.
func (l *Link) BodyDelay(now, serviceTime, within clock.Millis, bytes int64) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	transfer := clock.Millis(float64(bytes) / linkBytesPerMilli(l.mbps))
	waitLimit := max(clock.Millis(float64(within-serviceTime-transfer)*spareTimeShare), minLinkWaitLimit)
	return max(l.Backlog(now)-waitLimit, 0)
}

// Schedule defines when the chunks of a response are sent over a link. With the zero
// value, all are sent at once.
type Schedule struct {
	// start is the time in milliseconds at which the first chunk is sent.
	start         float64
	bytesPerMilli float64
}

// Delay returns the time in milliseconds to wait at now before the chunk that follows
// the first sentBytes bytes.
func (s Schedule) Delay(now clock.Millis, sentBytes int) clock.Millis {
	if s.bytesPerMilli <= 0 {
		return 0
	}
	return max(clock.Millis(s.start+float64(sentBytes)/s.bytesPerMilli)-now, 0)
}

// ChunkBytes returns the size of a chunk in bytes.
func (s Schedule) ChunkBytes() int { return max(int(s.bytesPerMilli*chunkMillis), minChunkBytes) }

// linkBytesPerMilli returns the number of bytes of responses that a link of the given
// bandwidth in Mbit/s carries in a millisecond.
func linkBytesPerMilli(mbps float64) float64 {
	return mbps * usableLinkShare * bitsPerMegabit / bitsPerByte / millisPerSecond
}

func orDefaultSize(bytes float64) float64 {
	if bytes == 0 {
		return defaultLargeBytes
	}
	return bytes
}

// smoothedSize returns the exponentially weighted mean size with a new response.
func smoothedSize(mean float64, bytes int) float64 {
	mean = orDefaultSize(mean)
	return mean + meanSizeWeight*(float64(bytes)-mean)
}

// transferTime returns the expected time in milliseconds until a link has transferred its
// backlog and another message of the given size.
func transferTime(load Load, backlog clock.Millis, bytes float64) float64 {
	if load.LinkMbps <= 0 {
		return 0
	}
	return float64(backlog) + bytes/linkBytesPerMilli(float64(load.LinkMbps))
}
