package tableserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultWriteLimit is the platform's bound on commits per second.
	DefaultWriteLimit = 500
	// DefaultReadLimit is the platform's bound on reads and scans per second.
	DefaultReadLimit = 2000
	// maxQueueWait is how long a call waits for its turn under a rate limit
	// before it is refused with status 429.
	maxQueueWait = time.Second
)

// Faults are the settings of POST /admin/faults, which replaces all of them.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage"`
	// DelayMillis is added before each call takes effect.
	DelayMillis int `json:"delayMillis"`
	// LoseCommitShare is the share of commits (0 to 1) whose answer is lost
	// after they took effect, drawn with Seed.
	LoseCommitShare float64 `json:"loseCommitShare"`
	// LoseNextCommits is the number of next commits whose answer is lost.
	LoseNextCommits int    `json:"loseNextCommits"`
	Seed            uint64 `json:"seed"`
	// WriteLimit and ReadLimit are calls per second; 0 means the default and
	// a negative value no limit.
	WriteLimit int `json:"writeLimit"`
	ReadLimit  int `json:"readLimit"`
}

// validate returns what is wrong with the settings.
func (f Faults) validate() []string {
	var found []string
	if f.DelayMillis < 0 {
		found = append(found, fmt.Sprintf("delayMillis: found %d, allowed 0 or more", f.DelayMillis))
	}
	if f.LoseCommitShare < 0 || f.LoseCommitShare > 1 {
		found = append(found, fmt.Sprintf("loseCommitShare: found %v, allowed 0 to 1", f.LoseCommitShare))
	}
	if f.LoseNextCommits < 0 {
		found = append(found, fmt.Sprintf("loseNextCommits: found %d, allowed 0 or more", f.LoseNextCommits))
	}
	return found
}

// faultInjector holds the settings in force and what is drawn from them.
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

func (s *faultInjector) get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	settings := s.settings
	settings.LoseNextCommits = s.remainingDrops
	return settings
}

// shouldDropResponse decides whether the answer of a commit is lost.
func (s *faultInjector) shouldDropResponse() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.remainingDrops > 0 {
		s.remainingDrops--
		return true
	}
	return s.random != nil && s.random.Float64() < s.settings.LoseCommitShare
}

// rateLimiter spaces calls evenly at a rate.
type rateLimiter struct {
	mutex    sync.Mutex
	nextFree time.Time
}

// reserve returns how long the caller waits for its turn, or false if that is
// longer than maxQueueWait.
func (l *rateLimiter) reserve(now time.Time, perSecond int) (time.Duration, bool) {
	if perSecond < 0 {
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
	l.nextFree = l.nextFree.Add(time.Second / time.Duration(perSecond))
	return wait, true
}

// limitOrDefault returns the limit in force for a setting.
func limitOrDefault(setting, standard int) int {
	if setting == 0 {
		return standard
	}
	return setting
}
