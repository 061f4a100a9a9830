package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"briarwell.dev/core/shard"
)

// keySpread is a prime that scatters the popular ranks over the key numbers.
const keySpread = 7919

// Request is one drawn request.
type Request struct {
	region  int
	away    bool
	service *Service
	route   *Route
	key     string
	shard   shard.ID
}

// Region returns the index of the caller's region.
func (r Request) Region() int { return r.region }

// Away tells whether the request goes to a daemon of another region.
func (r Request) Away() bool { return r.away }

// Service returns the service.
func (r Request) Service() *Service { return r.service }

// Route returns the route.
func (r Request) Route() *Route { return r.route }

// Key returns the key, "" for a service without keys.
func (r Request) Key() string { return r.key }

// Shard returns the shard of the key.
func (r Request) Shard() shard.ID { return r.shard }

// Drawer draws the requests of a workload. It isn't safe for concurrent use.
type Drawer struct {
	file  File
	rand  *rand.Rand
	zipfs []*rand.Zipf
}

// NewDrawer returns a drawer for a checked file. Equal seeds draw equal
// sequences.
func NewDrawer(file File) *Drawer {
	d := &Drawer{file: file, rand: rand.New(rand.NewPCG(file.Seed, file.Seed))}
	for _, s := range file.Services {
		var zipf *rand.Zipf
		if s.Zipf > 1 && s.Keys > 0 {
			zipf = rand.NewZipf(d.rand, s.Zipf, 1, uint64(s.Keys-1))
		}
		d.zipfs = append(d.zipfs, zipf)
	}
	return d
}

// Next draws the request that is sent at the given time after the start.
func (d *Drawer) Next(elapsed time.Duration) Request {
	region := pick(d.rand, d.file.Regions, func(r Region) int { return r.Weight })
	index := pick(d.rand, d.file.Services, func(s Service) int { return s.Weight })
	service := &d.file.Services[index]
	route := pick(d.rand, service.Routes, func(r Route) int { return r.Weight })
	request := Request{
		region:  region,
		away:    d.rand.Float64() < d.file.Regions[region].AwayShare,
		service: service,
		route:   &service.Routes[route],
	}
	if service.Keys > 0 {
		request.key = KeyName(d.drawKey(service, d.zipfs[index], elapsed))
		request.shard = shard.ForKey(request.key, service.Shards)
	}
	return request
}

func (d *Drawer) drawKey(s *Service, zipf *rand.Zipf, elapsed time.Duration) int {
	if f := s.Festival; f != nil && d.rand.Float64() < f.Share {
		period := int(elapsed.Seconds() / f.ChangeSeconds)
		rank := period*f.HotKeys + d.rand.IntN(f.HotKeys)
		return rank * keySpread % s.Keys
	}
	if zipf == nil {
		return d.rand.IntN(s.Keys)
	}
	return int(zipf.Uint64()) * keySpread % s.Keys
}

// KeyName returns the name of the key with the given number.
func KeyName(number int) string { return fmt.Sprintf("k%07d", number) }

func pick[T any](random *rand.Rand, items []T, weight func(T) int) int {
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
