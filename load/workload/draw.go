package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"briarwell.dev/core/shard"
)

// keyStride is a prime that scatters the popular ranks over the key numbers.
const keyStride = 7919

// Request is one drawn request.
type Request struct {
	regionIndex int
	crossRegion bool
	service     *Service
	route       *Route
	key         string
	shard       shard.ID
}

// RegionIndex returns the index of the caller's region.
func (r Request) RegionIndex() int { return r.regionIndex }

// CrossRegion tells whether the request goes to a daemon of another region.
func (r Request) CrossRegion() bool { return r.crossRegion }

// Service returns the service.
func (r Request) Service() *Service { return r.service }

// Route returns the route.
func (r Request) Route() *Route { return r.route }

// Key returns the key, "" for a service without keys.
func (r Request) Key() string { return r.key }

// Shard returns the shard of the key.
func (r Request) Shard() shard.ID { return r.shard }

// Generator draws the requests of a workload. It isn't safe for concurrent use.
type Generator struct {
	file     File
	random   *rand.Rand
	keyRanks []*rand.Zipf
}

// NewGenerator returns a drawer for a checked file. Equal seeds draw equal
// sequences.
func NewGenerator(file File) *Generator {
	d := &Generator{file: file, random: rand.New(rand.NewPCG(file.Seed, file.Seed))}
	for _, s := range file.Services {
		var zipf *rand.Zipf
		if s.ZipfExponent > 1 && s.Keys > 0 {
			zipf = rand.NewZipf(d.random, s.ZipfExponent, 1, uint64(s.Keys-1))
		}
		d.keyRanks = append(d.keyRanks, zipf)
	}
	return d
}

// Next draws the request that is sent at the given time after the start.
func (d *Generator) Next(elapsed time.Duration) Request {
	region := pickWeighted(d.random, d.file.Regions, func(r Region) int { return r.Weight })
	index := pickWeighted(d.random, d.file.Services, func(s Service) int { return s.Weight })
	service := &d.file.Services[index]
	route := pickWeighted(d.random, service.Routes, func(r Route) int { return r.Weight })
	request := Request{
		regionIndex: region,
		crossRegion: d.random.Float64() < d.file.Regions[region].CrossRegionShare,
		service:     service,
		route:       &service.Routes[route],
	}
	if service.Keys > 0 {
		request.key = keyName(d.nextKeyNumber(service, d.keyRanks[index], elapsed))
		request.shard = shard.ForKey(request.key, service.Shards)
	}
	return request
}

func (d *Generator) nextKeyNumber(s *Service, zipf *rand.Zipf, elapsed time.Duration) int {
	if f := s.HotKeyTraffic; f != nil && d.random.Float64() < f.RequestShare {
		period := int(elapsed.Seconds() / f.ChangeIntervalSeconds)
		rank := period*f.HotKeys + d.random.IntN(f.HotKeys)
		return rank * keyStride % s.Keys
	}
	if zipf == nil {
		return d.random.IntN(s.Keys)
	}
	return int(zipf.Uint64()) * keyStride % s.Keys
}

// keyName returns the name of the key with the given number.
func keyName(number int) string { return fmt.Sprintf("k%07d", number) }

func pickWeighted[T any](random *rand.Rand, items []T, weight func(T) int) int {
	sum := 0
	for _, item := range items {
		sum += weight(item)
	}
	drawn := random.IntN(sum)
	for i, item := range items {
		drawn -= weight(item)
		if drawn < 0 {
			return i
		}
	}
	return len(items) - 1
}
