package placement_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/measure"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement"
	"briarwell.dev/core/placement/balanced"
	"briarwell.dev/core/placement/meter"
	"briarwell.dev/core/placement/rendezvous"
	"briarwell.dev/core/shard"
)

const (
	memberCount, failureDomainCount = 12, 3
	shardCount                      = 256
	keyCount                        = 20_000
	hottestKeyCount                 = 61
	slotsPerMember                  = 12
	requestsPerSecond               = 1500
	// requestSlotMillis is the time for which a request occupies a slot.
	requestSlotMillis = 20
	// noMoveSeconds is the time after the removal of members during which plans move no
	// owned units.
	runSeconds, planIntervalSeconds, noMoveSeconds = 720, 5, 10
	// warmUpSeconds is the time at the start of the run that the results leave out.
	warmUpSeconds = 30
	// handoverMillis is the assumed time for which a moved unit is not served.
	handoverMillis = 100
)

var service = identity.NewService("attire", "bookings")

// simulation simulates a service in virtual time, without messages or a table.
type simulation struct {
	rng     *rand.Rand
	policy  placement.Policy
	hotKeys bool
	// hotKeyPeriod is the time in seconds after which other keys become the hottest.
	hotKeyPeriod int64
	// weights, cumulativeWeights, keyNames and keyShards are indexed by the rank of a key,
	// the hottest first.
	weights           []float64
	cumulativeWeights []float64
	keyNames          []string
	keyShards         []shard.ID
	second            int64
	members           []identity.Incarnation
	meters            map[identity.Incarnation]*meter.Meter
	loads             map[ownership.Unit]clock.Millis
	owners            map[ownership.Unit]identity.Incarnation
	// moves counts the planned moves of owned units, reassigned the units of removed
	// members.
	moves       int
	reassigned  int
	lastRemoval int64
	peakToMeans []float64
}

func newSimulation(seed uint64, policy placement.Policy, hotKeys bool, hotKeyPeriod int64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), policy: policy, hotKeys: hotKeys, hotKeyPeriod: hotKeyPeriod, lastRemoval: -noMoveSeconds,
		meters: map[identity.Incarnation]*meter.Meter{}, owners: map[ownership.Unit]identity.Incarnation{},
	}
	sum := 0.0
	for rank := range keyCount {
		sum += math.Pow(float64(rank+1), -1.05)
		s.weights, s.cumulativeWeights = append(s.weights, math.Pow(float64(rank+1), -1.05)), append(s.cumulativeWeights, sum)
	}
	s.keyNames, s.keyShards = make([]string, keyCount), make([]shard.ID, keyCount)
	s.renameKeys(0, keyCount)
	for range memberCount {
		s.addMember()
	}
	for id := range shardCount {
		s.owners[ownership.NewUnit(shard.ID(id), "")] = 0
	}
	return s
}

func (s *simulation) addMember() {
	incarnation := identity.Incarnation(s.rng.Uint64())
	s.members = append(s.members, incarnation)
	s.meters[incarnation] = meter.New(s.hotKeys)
}

// removeMembers removes the first n members and assigns their units to the members with
// the fewest units, as a draining member and the failover of a lost one do.
func (s *simulation) removeMembers(n int) {
	removed := s.members[:n]
	s.members = slices.Clone(s.members[n:])
	s.lastRemoval = s.second
	counts := map[identity.Incarnation]int{}
	for _, owner := range s.owners {
		counts[owner]++
	}
	for _, unit := range s.units() {
		if !slices.Contains(removed, s.owners[unit]) {
			continue
		}
		target := slices.MinFunc(s.members, func(a, b identity.Incarnation) int { return cmp.Compare(counts[a], counts[b]) })
		s.owners[unit] = target
		counts[target]++
		s.reassigned++
	}
}

func compareUnits(a, b ownership.Unit) int {
	return cmp.Or(cmp.Compare(a.Shard(), b.Shard()), cmp.Compare(a.HotKey(), b.HotKey()))
}

func (s *simulation) units() []ownership.Unit {
	return slices.SortedFunc(maps.Keys(s.owners), compareUnits)
}

// renameKeys names the keys with the ranks from first to end, end excluded. The hottest
// keys get new names in each period.
func (s *simulation) renameKeys(first, end int) {
	for rank := first; rank < end; rank++ {
		number := rank
		if rank < hottestKeyCount {
			number += keyCount + hottestKeyCount*int(s.second/s.hotKeyPeriod)
		}
		s.keyNames[rank] = fmt.Sprintf("k%07d", number)
		s.keyShards[rank] = shard.ForKey(s.keyNames[rank], shardCount)
	}
}

func (s *simulation) owner(id shard.ID, key string) identity.Incarnation {
	if owner, ok := s.owners[ownership.NewUnit(id, key)]; ok {
		return owner
	}
	return s.owners[ownership.NewUnit(id, "")]
}

func (s *simulation) runSecond() {
	if s.second%s.hotKeyPeriod == 0 {
		s.renameKeys(0, hottestKeyCount)
	}
	for range requestsPerSecond {
		rank, _ := slices.BinarySearch(s.cumulativeWeights, s.rng.Float64()*s.cumulativeWeights[keyCount-1])
		key, id := s.keyNames[rank], s.keyShards[rank]
		if m, ok := s.meters[s.owner(id, key)]; ok {
			m.Observe(clock.Millis(s.second*1000), id, key, requestSlotMillis)
		}
	}
	s.loads = map[ownership.Unit]clock.Millis{}
	for _, incarnation := range s.members {
		for _, l := range s.meters[incarnation].EndInterval(clock.Millis(s.second * 1000)) {
			s.loads[l.Unit()] += l.BusySlotMillis()
		}
	}
	if s.second%planIntervalSeconds == 0 {
		s.applyPlan()
	}
	if s.second >= warmUpSeconds {
		s.peakToMeans = append(s.peakToMeans, s.expectedPeakToMean())
	}
	s.second++
}

func (s *simulation) applyPlan() {
	candidates := make([]placement.Candidate, 0, len(s.members))
	for _, incarnation := range slices.Sorted(slices.Values(s.members)) {
		candidates = append(candidates, placement.NewCandidate(incarnation, identity.Location{}, slotsPerMember, 0))
	}
	all := s.units()
	for unit := range s.loads {
		if _, ok := s.owners[unit]; !ok {
			all = append(all, unit)
		}
	}
	slices.SortFunc(all, compareUnits)
	placed := make([]placement.PlacedUnit, 0, len(all))
	for _, unit := range all {
		placed = append(placed, placement.NewPlacedUnit(unit, s.owner(unit.Shard(), unit.HotKey()), s.loads[unit]))
	}
	input := placement.NewInput(service, clock.Millis(s.second*1000), 1000, candidates, placed)
	if s.second-s.lastRemoval < noMoveSeconds {
		input = input.AssignOnly()
	}
	for _, move := range s.policy.Plan(input) {
		s.owners[move.Unit()] = move.To()
		if move.From() != 0 {
			s.moves++
		}
	}
}

// expectedPeakToMean returns the ratio of the highest to the mean load of the members. It
// uses the expected loads, which have no sampling noise.
func (s *simulation) expectedPeakToMean() float64 {
	loads := map[identity.Incarnation]float64{}
	shardWeights := make([]float64, shardCount)
	for rank, weight := range s.weights {
		if _, ok := s.owners[ownership.NewUnit(s.keyShards[rank], s.keyNames[rank])]; ok {
			loads[s.owner(s.keyShards[rank], s.keyNames[rank])] += weight
			continue
		}
		shardWeights[s.keyShards[rank]] += weight
	}
	for id, weight := range shardWeights {
		loads[s.owner(shard.ID(id), "")] += weight
	}
	peak := 0.0
	for _, load := range loads {
		peak = max(peak, load)
	}
	return peak * float64(len(s.members)) / s.cumulativeWeights[keyCount-1]
}

// run removes one member and adds it again, then the members of a failure domain.
func (s *simulation) run() {
	for s.second < runSeconds {
		switch s.second {
		case 240:
			s.removeMembers(1)
		case 300:
			s.addMember()
		case 420:
			s.removeMembers(memberCount / failureDomainCount)
		case 540:
			for range memberCount / failureDomainCount {
				s.addMember()
			}
		}
		s.runSecond()
	}
}

// policyCase is a policy to compare, with or without hot keys.
type policyCase struct {
	name    string
	hotKeys bool
	policy  func() placement.Policy
}

func policyCases() []policyCase {
	return []policyCase{
		{"static", false, func() placement.Policy { return rendezvous.Policy{} }},
		{"balanced", false, func() placement.Policy { return &balanced.Policy{} }},
		{"balanced, hot keys", true, func() placement.Policy { return &balanced.Policy{} }},
	}
}

// TestComparePolicies logs the results of the policies for the same requests and member
// changes. It guards against a balanced policy that balances no better than hashing, or
// that moves more units than its limit. BRIARWELL_PLACEMENT_SEEDS sets the number of seeds
// and adds runs in which the hottest keys change every 240 s.
func TestComparePolicies(t *testing.T) {
	is := is.New(t)
	seeds, periods := 1, []int64{60}
	if n, err := strconv.Atoi(os.Getenv("BRIARWELL_PLACEMENT_SEEDS")); err == nil {
		seeds, periods = n, []int64{60, 240}
	}
	for _, period := range periods {
		means := map[string]float64{}
		for seed := range uint64(seeds) {
			for _, c := range policyCases() {
				s := newSimulation(seed+1, c.policy(), c.hotKeys, period)
				s.run()
				mean := s.logResult(t, fmt.Sprintf("hottest keys change every %3d s, seed %d, %-18s", period, seed+1, c.name))
				means[c.name] += mean / float64(seeds)
				is.True(c.name == "static" || s.moves <= 8*(runSeconds/planIntervalSeconds))
			}
		}
		for _, c := range policyCases() {
			t.Logf("hottest keys change every %3d s, mean peak-to-mean of %d seeds: %s %.2f", period, seeds, c.name, means[c.name])
		}
		is.True(means["balanced"] < means["static"])
		is.True(means["balanced, hot keys"] < means["static"])
	}
}

// logResult logs the result of a run and returns its mean peak-to-mean.
func (s *simulation) logResult(t *testing.T, title string) float64 {
	t.Helper()
	d := measure.NewDistribution(s.peakToMeans)
	sum := 0.0
	for _, p := range s.peakToMeans {
		sum += p
	}
	mean := sum / float64(len(s.peakToMeans))
	t.Logf("%s peak-to-mean: mean %.2f p50 %.2f p95 %.2f max %.2f; moves %d, reassigned %d, hot keys %d; unserved %.1f unit-seconds; lower bound of the peak-to-mean %.2f",
		title, mean, d.Quantile(0.5), d.Quantile(0.95), d.Max(), s.moves, s.reassigned, len(s.owners)-shardCount,
		float64(s.moves*handoverMillis)/1000, max(1, memberCount*s.weights[0]/s.cumulativeWeights[keyCount-1]))
	return mean
}
