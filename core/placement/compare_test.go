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
	// requestsPerSecond is in requests a second, orderTime in slot-milliseconds.
	requestsPerSecond = 1500
	requestSlotMillis = 20
	// The times are in seconds.
	runSeconds, planIntervalSeconds, noMoveSeconds = 720, 5, 10
	// warmUpSeconds is left out of the figures.
	warmUpSeconds = 30
	// handoverMillis is the assumed time for which a moved unit is unserved.
	handoverMillis = 100
)

var service = identity.NewService("attire", "bookings")

// simulation is a service at virtual time, without messages or a table.
type simulation struct {
	rng     *rand.Rand
	policy  placement.Policy
	hotKeys bool
	// hotKeyPeriod is the time in seconds after which the hottest keys are others.
	hotKeyPeriod      int64
	weights           []float64
	cumulativeWeights []float64
	keyNames          []string
	keyShards         []shard.ID
	second            int64
	members           []identity.Incarnation
	meters            map[identity.Incarnation]*meter.Meter
	loads             map[ownership.Unit]clock.Millis
	owners            map[ownership.Unit]identity.Incarnation
	moves             int
	reassigned        int
	lastRemoval       int64
	peakToMeans       []float64
}

func newSimulation(seed uint64, policy placement.Policy, hotKeys bool, change int64) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), policy: policy, hotKeys: hotKeys, hotKeyPeriod: change, lastRemoval: -noMoveSeconds,
		meters: map[identity.Incarnation]*meter.Meter{}, owners: map[ownership.Unit]identity.Incarnation{},
	}
	sum := 0.0
	for rank := range keyCount {
		sum += math.Pow(float64(rank+1), -1.05)
		w.weights, w.cumulativeWeights = append(w.weights, math.Pow(float64(rank+1), -1.05)), append(w.cumulativeWeights, sum)
	}
	w.keyNames, w.keyShards = make([]string, keyCount), make([]shard.ID, keyCount)
	w.renameKeys(0, keyCount)
	for range memberCount {
		w.addMember()
	}
	for id := range shardCount {
		w.owners[ownership.NewUnit(shard.ID(id), "")] = 0
	}
	return s
}

func (w *simulation) addMember() {
	incarnation := identity.Incarnation(w.rng.Uint64())
	w.members = append(w.members, incarnation)
	w.meters[incarnation] = meter.New(w.hotKeys)
}

// removeMembers gives the units of the first n members to those with the fewest, as a
// leaving member and a replacer do.
func (w *simulation) removeMembers(n int) {
	gone := w.members[:n]
	w.members = slices.Clone(w.members[n:])
	w.lastRemoval = w.second
	counts := map[identity.Incarnation]int{}
	for _, owner := range s.owners {
		counts[owner]++
	}
	for _, unit := range s.units() {
		if !slices.Contains(removed, s.owners[unit]) {
			continue
		}
		to := slices.MinFunc(w.members, func(a, b identity.Incarnation) int { return cmp.Compare(counts[a], counts[b]) })
		w.owners[unit] = to
		counts[to]++
		w.reassigned++
	}
}

func compareUnits(a, b ownership.Unit) int {
	return cmp.Or(cmp.Compare(a.Shard(), b.Shard()), cmp.Compare(a.HotKey(), b.HotKey()))
}

func (w *simulation) units() []ownership.Unit {
	return slices.SortedFunc(maps.Keys(w.owners), compareUnits)
}

// renameKeys names the keys of ranks: the hottest are others in each period.
func (w *simulation) renameKeys(first, end int) {
	for rank := first; rank < end; rank++ {
		number := rank
		if rank < hottestKeyCount {
			number += keyCount + hottestKeyCount*int(w.second/w.hotKeyPeriod)
		}
		w.keyNames[rank] = fmt.Sprintf("k%07d", number)
		w.keyShards[rank] = shard.ForKey(w.keyNames[rank], shardCount)
	}
}

func (w *simulation) owner(id shard.ID, key string) identity.Incarnation {
	if owner, ok := w.owners[ownership.NewUnit(id, key)]; ok {
		return owner
	}
	return s.owners[ownership.NewUnit(id, "")]
}

func (w *simulation) runSecond() {
	if w.second%w.hotKeyPeriod == 0 {
		w.renameKeys(0, hottestKeyCount)
	}
	for range requestsPerSecond {
		rank, _ := slices.BinarySearch(w.cumulativeWeights, w.rng.Float64()*w.cumulativeWeights[keyCount-1])
		key, id := w.keyNames[rank], w.keyShards[rank]
		if m, ok := w.meters[w.owner(id, key)]; ok {
			m.Observe(clock.Millis(w.second*1000), id, key, requestSlotMillis)
		}
	}
	w.loads = map[ownership.Unit]clock.Millis{}
	for _, incarnation := range w.members {
		for _, l := range w.meters[incarnation].EndInterval(clock.Millis(w.second * 1000)) {
			w.loads[l.Unit()] += l.BusySlotMillis()
		}
	}
	if w.second%planIntervalSeconds == 0 {
		w.applyPlan()
	}
	if w.second >= warmUpSeconds {
		w.peakToMeans = append(w.peakToMeans, w.expectedPeakToMean())
	}
	s.second++
}

func (w *simulation) applyPlan() {
	candidates := make([]placement.Candidate, 0, len(w.members))
	for _, incarnation := range slices.Sorted(slices.Values(w.members)) {
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
		placed = append(placed, placement.NewPlacedUnit(unit, w.owner(unit.Shard(), unit.HotKey()), w.loads[unit]))
	}
	input := placement.NewInput(service, clock.Millis(w.second*1000), 1000, candidates, placed)
	if w.second-w.lastRemoval < noMoveSeconds {
		input = input.AssignOnly()
	}
	for _, move := range s.policy.Plan(input) {
		s.owners[move.Unit()] = move.To()
		if move.From() != 0 {
			s.moves++
		}
	}
}

// expectedPeakToMean returns the peak-to-mean of the expected loads, free of sampling noise.
func (w *simulation) expectedPeakToMean() float64 {
	loads := map[identity.Incarnation]float64{}
	cold := make([]float64, shardCount)
	for rank, weight := range w.weights {
		if _, ok := w.owners[ownership.NewUnit(w.keyShards[rank], w.keyNames[rank])]; ok {
			loads[w.owner(w.keyShards[rank], w.keyNames[rank])] += weight
			continue
		}
		cold[w.keyShards[rank]] += weight
	}
	for id, weight := range shardWeights {
		loads[s.owner(shard.ID(id), "")] += weight
	}
	peak := 0.0
	for _, load := range loads {
		peak = max(peak, load)
	}
	return peak * float64(len(w.members)) / w.cumulativeWeights[keyCount-1]
}

// run lets one member leave and return, and then a failure domain.
func (w *simulation) run() {
	for w.second < runSeconds {
		switch w.second {
		case 240:
			w.removeMembers(1)
		case 300:
			w.addMember()
		case 420:
			w.removeMembers(memberCount / failureDomainCount)
		case 540:
			for range memberCount / failureDomainCount {
				w.addMember()
			}
		}
		w.runSecond()
	}
}

// policyCase is a policy to compare.
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

// TestComparePolicies prints the figures of the policies for equal requests and faults. It
// guards against a balanced policy that is not better than hashing, or that moves
// more units than its bound. BRIARWELL_PLACEMENT_SEEDS sets the number of seeds,
// and adds hottest keys that change each 240 s.
func TestComparePolicies(t *testing.T) {
	is := is.New(t)
	seeds, periods := 1, []int64{60}
	if n, err := strconv.Atoi(os.Getenv("BRIARWELL_PLACEMENT_SEEDS")); err == nil {
		seeds, periods = n, []int64{60, 240}
	}
	for _, period := range periods {
		means := map[string]float64{}
		for seed := range uint64(seeds) {
			for _, k := range policyCases() {
				w := newSimulation(seed+1, k.policy(), k.hotKeys, change)
				w.run()
				mean := w.logResult(t, fmt.Sprintf("change %3d s seed %d %-18s", change, seed+1, k.name))
				means[k.name] += mean / float64(seeds)
				is.True(k.name == "static" || w.moves <= 8*(runSeconds/planIntervalSeconds))
			}
		}
		for _, k := range policyCases() {
			t.Logf("change %3d s, mean of %d seeds: %s %.2f", change, seeds, k.name, means[k.name])
		}
		is.True(means["balanced"] < means["static"])
		is.True(means["balanced, hot keys"] < means["static"])
	}
}

// logResult prints a run and returns its mean peak-to-mean.
func (w *simulation) logResult(t *testing.T, title string) float64 {
	t.Helper()
	d := measure.NewDistribution(w.peakToMeans)
	sum := 0.0
	for _, p := range w.peakToMeans {
		sum += p
	}
	mean := sum / float64(len(w.peakToMeans))
	t.Logf("%s peak-to-mean: mean %.2f p50 %.2f p95 %.2f max %.2f; moves %d, forced %d, hot keys %d; unserved %.1f unit-seconds; floor %.2f",
		title, mean, d.Quantile(0.5), d.Quantile(0.95), d.Max(), w.moves, w.reassigned, len(w.owners)-shardCount,
		float64(w.moves*handoverMillis)/1000, max(1, memberCount*w.weights[0]/w.cumulativeWeights[keyCount-1]))
	return mean
}
