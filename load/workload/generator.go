package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"briarwell.dev/core/shard"
)

// keyStride is a prime that scatters the keys of the popular ranks over all key numbers:
// the key of rank i has the number i*keyStride modulo the number of keys.
const keyStride = 7919

// Request is a request that a Generator has drawn.
type Request struct {
	regionIndex int
	crossRegion bool
	service     *Service
	route       *Route
	key         string
	shard       shard.ID
}

// RegionIndex returns the index of the caller's region in File.Regions.
func (r Request) RegionIndex() int { return r.regionIndex }

// CrossRegion reports whether the request goes to a daemon of another region.
func (r Request) CrossRegion() bool { return r.crossRegion }

// Service returns the service.
func (r Request) Service() *Service { return r.service }

// Route returns the route.
func (r Request) Route() *Route { return r.route }

// Key returns the key, or "" if the service has no keys.
func (r Request) Key() string { return r.key }

// Shard returns the shard of the key, or 0 if the service has no keys.
func (r Request) Shard() shard.ID { return r.shard }

// Generator draws the requests of a workload at random, by their weights. It is not safe
// for concurrent use.
type Generator struct {
	file   File
	random *rand.Rand
	// keyRanks holds one generator of key ranks per service, in the order of the services.
	// It is nil for a service with uniform key popularity.
	keyRanks []*rand.Zipf
}

// NewGenerator returns a generator for a valid workload, as returned by ReadFile. Two
// generators for equal files, which include the seed, draw the same sequence of requests.
func NewGenerator(file File) *Generator {
	g := &Generator{file: file, random: rand.New(rand.NewPCG(file.Seed, file.Seed))}
	for _, s := range file.Services {
		var zipf *rand.Zipf
		if s.ZipfExponent > 1 && s.Keys > 0 {
			zipf = rand.NewZipf(g.random, s.ZipfExponent, 1, uint64(s.Keys-1))
		}
		g.keyRanks = append(g.keyRanks, zipf)
	}
	return g
}

// Next draws the next request. The parameter elapsed is the time from the start of the run
// to the intended send time; it selects the current hot keys.
func (g *Generator) Next(elapsed time.Duration) Request {
	regionIndex := pickWeighted(g.random, g.file.Regions, func(r Region) int { return r.Weight })
	serviceIndex := pickWeighted(g.random, g.file.Services, func(s Service) int { return s.Weight })
	service := &g.file.Services[serviceIndex]
	routeIndex := pickWeighted(g.random, service.Routes, func(r Route) int { return r.Weight })
	request := Request{
		regionIndex: regionIndex,
		crossRegion: g.random.Float64() < g.file.Regions[regionIndex].CrossRegionShare,
		service:     service,
		route:       &service.Routes[routeIndex],
	}
	if service.Keys > 0 {
		request.key = keyName(g.nextKeyNumber(service, g.keyRanks[serviceIndex], elapsed))
		request.shard = shard.ForKey(request.key, service.Shards)
	}
	return request
}

// nextKeyNumber draws the number of a key of the service. A nil zipf draws uniformly.
func (g *Generator) nextKeyNumber(s *Service, zipf *rand.Zipf, elapsed time.Duration) int {
	if traffic := s.HotKeyTraffic; traffic != nil && g.random.Float64() < traffic.RequestShare {
		period := int(elapsed.Seconds() / traffic.ChangeIntervalSeconds)
		rank := period*traffic.HotKeys + g.random.IntN(traffic.HotKeys)
		return rank * keyStride % s.Keys
	}
	if zipf == nil {
		return g.random.IntN(s.Keys)
	}
	return int(zipf.Uint64()) * keyStride % s.Keys
}

// keyName returns the key with the given number.
func keyName(number int) string { return fmt.Sprintf("k%07d", number) }

// pickWeighted returns a random index of items, with a probability in proportion to the
// weight. The weights must be positive.
func pickWeighted[T any](random *rand.Rand, items []T, weight func(T) int) int {
	totalWeight := 0
	for _, item := range items {
		totalWeight += weight(item)
	}
	drawn := random.IntN(totalWeight)
	for i, item := range items {
		drawn -= weight(item)
		if drawn < 0 {
			return i
		}
	}
	return len(items) - 1
}
