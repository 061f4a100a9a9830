package tableserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultWriteLimit is the platform's limit on commits per second.
	DefaultWriteLimit = 500
	// DefaultReadLimit is the platform's limit on reads and scans per second.
	DefaultReadLimit = 2000
	// maxQueueWait bounds the wait of a call under a rate limit. A call that would wait
	// longer is rejected with status 429.
	maxQueueWait = time.Second
)

// Faults is the body of POST /admin/faults, which replaces all settings.
type Faults struct {
	// Outage fails every call with status 503 and without effect.
	Outage bool `json:"outage"`
	// DelayMillis is the delay before each call is processed.
	DelayMillis int `json:"delayMillis"`
	// LoseCommitShare is the probability (0 to 1) that the response of a commit is
	// dropped after the commit was processed. Seed seeds the random choice.
	LoseCommitShare float64 `json:"loseCommitShare"`
	// LoseNextCommits is the number of following commits whose response is dropped after
	// the commit was processed.
	LoseNextCommits int    `json:"loseNextCommits"`
	Seed            uint64 `json:"seed"`
	// WriteLimit and ReadLimit are in calls per second; 0 means the default and a
	// negative value means no limit.
	WriteLimit int `json:"writeLimit"`
	ReadLimit  int `json:"readLimit"`
}

// validate returns a text for each invalid setting.
func (f Faults) validate() []string {
	var problems []string
	if f.DelayMillis < 0 {
		problems = append(problems, fmt.Sprintf("delayMillis: found %d, allowed 0 or more", f.DelayMillis))
	}
	if f.LoseCommitShare < 0 || f.LoseCommitShare > 1 {
		problems = append(problems, fmt.Sprintf("loseCommitShare: found %v, allowed 0 to 1", f.LoseCommitShare))
	}
	if f.LoseNextCommits < 0 {
		problems = append(problems, fmt.Sprintf("loseNextCommits: found %d, allowed 0 or more", f.LoseNextCommits))
	}
	return problems
}

// faultInjector holds the active settings, the random source seeded by them, and the
// number of responses left to drop. The zero value injects no faults.
type faultInjector struct {
	mutex          sync.Mutex
	settings       Faults
	random         *rand.Rand
	remainingDrops int
}

func (s *faultInjector) set(settings Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settings = settings
	s.random = rand.New(rand.NewPCG(settings.Seed, 0))
	s.remainingDrops = settings.LoseNextCommits
}

// get returns the active settings, in which LoseNextCommits is the number of responses
// left to drop.
func (s *faultInjector) get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	settings := s.settings
	settings.LoseNextCommits = s.remainingDrops
	return settings
}

// shouldDropResponse reports whether to drop the response of the current commit. Each
// call consumes one of the remaining drops or one random number.
func (s *faultInjector) shouldDropResponse() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.remainingDrops > 0 {
		s.remainingDrops--
		return true
	}
	return s.random != nil && s.random.Float64() < s.settings.LoseCommitShare
}

// rateLimiter spaces calls evenly. The zero value is ready to use.
type rateLimiter struct {
	mutex    sync.Mutex
	nextFree time.Time
}

// reserve books the next free time for a call and returns the wait until then. It books
// nothing and returns false if the wait exceeds maxQueueWait. A negative rate means no
// limit.
func (l *rateLimiter) reserve(now time.Time, callsPerSecond int) (time.Duration, bool) {
	if callsPerSecond < 0 {
		return 0, true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	wait := l.nextFree.Sub(now)
	if wait > maxQueueWait {
		return 0, false
	}
	l.nextFree = l.nextFree.Add(time.Second / time.Duration(callsPerSecond))
	return wait, true
}

// limitOrDefault returns setting, or defaultLimit if setting is 0.
func limitOrDefault(setting, defaultLimit int) int {
	if setting == 0 {
		return defaultLimit
	}
	return setting
}
