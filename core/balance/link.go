package balance

import "briarwell.dev/core/clock"

const (
	// linkShare is the share of a link that answers may use; the rest is for the
	// requests themselves, acknowledgements and control.
	linkShare = 0.9
	// overhead is the size in bytes of an answer's head and of its acknowledgements
	// and packet heads, for a small one.
	overhead = 800
	// packetShare is what the packets of a large answer add to it.
	packetShare = 0.04
	// firstLarge is the size in bytes of a large answer before any was seen.
	firstLarge = 90_000
	// sizeWeight is the weight of the newest answer in the mean size.
	sizeWeight = 0.05
	// linkPatience is the time in milliseconds for which any large answer may wait
	// for its link.
	linkPatience clock.Millis = 160
	// patienceShare is the part of the time that an answer has left over for which
	// it may wait for its link: sizes and service times vary.
	patienceShare = 0.5
	// pieceTime is the time in milliseconds that a piece of a large answer takes on
	// its link: a small answer waits for one piece only.
	pieceTime = 10.0
	// leastPiece is the size in bytes of the smallest piece that is worth a write.
	leastPiece = 8 << 10
	// bitsPerByte and bitsPerMegabit convert figures.
	bitsPerByte    = 8
	bitsPerMegabit = 1_000_000
	millisPerSec   = 1000
)

// Link follows the answers that an instance's link carries. Load pattern: large
// answers that need more than a slow link has, beside small ones that can't wait.
// The zero value has a link without a limit. It is not safe for concurrent use.
type Link struct {
	mbps float64
	// free is when the link has sent all answers that were given to it.
	free float64
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

// Sent takes an answer that is sent at now, and returns when its pieces go.
func (l *Link) Sent(now clock.Millis, bytes int) Schedule {
	if l.mbps <= 0 {
		return Schedule{}
	}
	rate := perMilli(l.mbps)
	start := max(l.free, float64(now))
	l.free = start + (overhead+float64(bytes)*(1+packetShare))/rate
	return Schedule{start: start, rate: rate}
}

// Wait returns the time in milliseconds until the link has sent what waits for it
// and what is being made.
func (l *Link) Wait(now clock.Millis) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	return clock.Millis(max(l.free-float64(now), 0) + float64(l.coming)*orFirst(l.large)/perMilli(l.mbps))
}

// PutOff returns how long in milliseconds a large answer should be put off that is
// wanted within the given time and takes service to be made, 0 if it may be begun.
// The link goes on sending others while it is made.
func (l *Link) PutOff(now, service, within clock.Millis) clock.Millis {
	if l.mbps <= 0 {
		return 0
	}
	transfer := clock.Millis(orFirst(l.large) / perMilli(l.mbps))
	patience := max(clock.Millis(float64(within-service-transfer)*patienceShare), linkPatience)
	return max(l.Wait(now)-service-patience, 0)
}

// Schedule says when the pieces of an answer go over a link. The zero value sends
// all at once.
type Schedule struct {
	start float64
	rate  float64
}

// Due returns for how long in milliseconds to wait at now before the piece that
// begins after sent bytes.
func (s Schedule) Due(now clock.Millis, sent int) clock.Millis {
	if s.rate <= 0 {
		return 0
	}
	return max(clock.Millis(s.start+float64(sent)/s.rate)-now, 0)
}

// Piece returns the number of bytes that are sent at once.
func (s Schedule) Piece() int { return max(int(s.rate*pieceTime), leastPiece) }

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
