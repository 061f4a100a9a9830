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
	members, domains = 12, 3
	shards           = 256
	keys             = 20_000
	hottest          = 61
	slots            = 12
	// rate is in requests a second, orderTime in slot-milliseconds.
	rate      = 1500
	orderTime = 20
	// The times are in seconds.
	length, planTime, quiet = 720, 5, 10
	// warmUp is left out of the figures.
	warmUp = 30
	// handoverMillis is the assumed time for which a moved unit is unserved.
	handoverMillis = 100
)

var service = identity.NewService("attire", "bookings")

// world is a service at virtual time, without messages or a table.
type world struct {
	rng     *rand.Rand
	policy  placement.Policy
	hotKeys bool
	// change is the time in seconds after which the hottest keys are others.
	change  int64
	weights []float64
	sums    []float64
	names   []string
	ids     []shard.ID
	second  int64
	alive   []identity.Incarnation
	meters  map[identity.Incarnation]*meter.Meter
	loads   map[ownership.Unit]clock.Millis
	owners  map[ownership.Unit]identity.Incarnation
	moves   int
	forced  int
	lastOut int64
	peaks   []float64
}

func newWorld(seed uint64, policy placement.Policy, hotKeys bool, change int64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), policy: policy, hotKeys: hotKeys, change: change, lastOut: -quiet,
		meters: map[identity.Incarnation]*meter.Meter{}, owners: map[ownership.Unit]identity.Incarnation{},
	}
	sum := 0.0
	for rank := range keys {
		sum += math.Pow(float64(rank+1), -1.05)
		w.weights, w.sums = append(w.weights, math.Pow(float64(rank+1), -1.05)), append(w.sums, sum)
	}
	w.names, w.ids = make([]string, keys), make([]shard.ID, keys)
	w.rename(0, keys)
	for range members {
		w.join()
	}
	for id := range shards {
		w.owners[ownership.NewUnit(shard.ID(id), "")] = 0
	}
	return w
}

func (w *world) join() {
	incarnation := identity.Incarnation(w.rng.Uint64())
	w.alive = append(w.alive, incarnation)
	w.meters[incarnation] = meter.New(w.hotKeys)
}

// out gives the units of the first n members to those with the fewest, as a
// leaving member and a replacer do.
func (w *world) out(n int) {
	gone := w.alive[:n]
	w.alive = slices.Clone(w.alive[n:])
	w.lastOut = w.second
	counts := map[identity.Incarnation]int{}
	for _, owner := range w.owners {
		counts[owner]++
	}
	for _, unit := range w.units() {
		if !slices.Contains(gone, w.owners[unit]) {
			continue
		}
		to := slices.MinFunc(w.alive, func(a, b identity.Incarnation) int { return cmp.Compare(counts[a], counts[b]) })
		w.owners[unit] = to
		counts[to]++
		w.forced++
	}
}

func compareUnits(a, b ownership.Unit) int {
	return cmp.Or(cmp.Compare(a.Shard(), b.Shard()), cmp.Compare(a.HotKey(), b.HotKey()))
}

func (w *world) units() []ownership.Unit {
	return slices.SortedFunc(maps.Keys(w.owners), compareUnits)
}

// rename names the keys of ranks: the hottest are others in each period.
func (w *world) rename(first, end int) {
	for rank := first; rank < end; rank++ {
		number := rank
		if rank < hottest {
			number += keys + hottest*int(w.second/w.change)
		}
		w.names[rank] = fmt.Sprintf("k%07d", number)
		w.ids[rank] = shard.ForKey(w.names[rank], shards)
	}
}

func (w *world) owner(id shard.ID, key string) identity.Incarnation {
	if owner, ok := w.owners[ownership.NewUnit(id, key)]; ok {
		return owner
	}
	return w.owners[ownership.NewUnit(id, "")]
}

func (w *world) step() {
	if w.second%w.change == 0 {
		w.rename(0, hottest)
	}
	for range rate {
		rank, _ := slices.BinarySearch(w.sums, w.rng.Float64()*w.sums[keys-1])
		key, id := w.names[rank], w.ids[rank]
		if m, ok := w.meters[w.owner(id, key)]; ok {
			m.Observe(clock.Millis(w.second*1000), id, key, orderTime)
		}
	}
	w.loads = map[ownership.Unit]clock.Millis{}
	for _, incarnation := range w.alive {
		for _, l := range w.meters[incarnation].Take(clock.Millis(w.second * 1000)) {
			w.loads[l.Unit()] += l.Busy()
		}
	}
	if w.second%planTime == 0 {
		w.plan()
	}
	if w.second >= warmUp {
		w.peaks = append(w.peaks, w.peak())
	}
	w.second++
}

func (w *world) plan() {
	candidates := make([]placement.Candidate, 0, len(w.alive))
	for _, incarnation := range slices.Sorted(slices.Values(w.alive)) {
		candidates = append(candidates, placement.NewCandidate(incarnation, identity.Location{}, slots, 0))
	}
	all := w.units()
	for unit := range w.loads {
		if _, ok := w.owners[unit]; !ok {
			all = append(all, unit)
		}
	}
	slices.SortFunc(all, compareUnits)
	placed := make([]placement.Placed, 0, len(all))
	for _, unit := range all {
		placed = append(placed, placement.NewPlaced(unit, w.owner(unit.Shard(), unit.HotKey()), w.loads[unit]))
	}
	input := placement.NewInput(service, clock.Millis(w.second*1000), 1000, candidates, placed)
	if w.second-w.lastOut < quiet {
		input = input.AssignOnly()
	}
	for _, move := range w.policy.Plan(input) {
		w.owners[move.Unit()] = move.To()
		if move.From() != 0 {
			w.moves++
		}
	}
}

// peak returns the peak-to-mean of the expected loads, free of sampling noise.
func (w *world) peak() float64 {
	loads := map[identity.Incarnation]float64{}
	cold := make([]float64, shards)
	for rank, weight := range w.weights {
		if _, ok := w.owners[ownership.NewUnit(w.ids[rank], w.names[rank])]; ok {
			loads[w.owner(w.ids[rank], w.names[rank])] += weight
			continue
		}
		cold[w.ids[rank]] += weight
	}
	for id, load := range cold {
		loads[w.owner(shard.ID(id), "")] += load
	}
	peak := 0.0
	for _, load := range loads {
		peak = max(peak, load)
	}
	return peak * float64(len(w.alive)) / w.sums[keys-1]
}

// run lets one member leave and return, and then a failure domain.
func (w *world) run() {
	for w.second < length {
		switch w.second {
		case 240:
			w.out(1)
		case 300:
			w.join()
		case 420:
			w.out(members / domains)
		case 540:
			for range members / domains {
				w.join()
			}
		}
		w.step()
	}
}

// kind is a policy to compare.
type kind struct {
	name    string
	hotKeys bool
	policy  func() placement.Policy
}

func kinds() []kind {
	return []kind{
		{"static", false, func() placement.Policy { return rendezvous.Policy{} }},
		{"balanced", false, func() placement.Policy { return &balanced.Policy{} }},
		{"balanced, hot keys", true, func() placement.Policy { return &balanced.Policy{} }},
	}
}

// TestCompare prints the figures of the policies for equal requests and faults. It
// guards against a balanced policy that is not better than hashing, or that moves
// more units than its bound. BRIARWELL_PLACEMENT_SEEDS sets the number of seeds,
// and adds hottest keys that change each 240 s.
func TestCompare(t *testing.T) {
	is := is.New(t)
	seeds, changes := 1, []int64{60}
	if n, err := strconv.Atoi(os.Getenv("BRIARWELL_PLACEMENT_SEEDS")); err == nil {
		seeds, changes = n, []int64{60, 240}
	}
	for _, change := range changes {
		means := map[string]float64{}
		for seed := range uint64(seeds) {
			for _, k := range kinds() {
				w := newWorld(seed+1, k.policy(), k.hotKeys, change)
				w.run()
				mean := w.report(t, fmt.Sprintf("change %3d s seed %d %-18s", change, seed+1, k.name))
				means[k.name] += mean / float64(seeds)
				is.True(k.name == "static" || w.moves <= 8*(length/planTime))
			}
		}
		for _, k := range kinds() {
			t.Logf("change %3d s, mean of %d seeds: %s %.2f", change, seeds, k.name, means[k.name])
		}
		is.True(means["balanced"] < means["static"])
		is.True(means["balanced, hot keys"] < means["static"])
	}
}

// report prints a run and returns its mean peak-to-mean.
func (w *world) report(t *testing.T, title string) float64 {
	t.Helper()
	d := measure.NewDistribution(w.peaks)
	sum := 0.0
	for _, p := range w.peaks {
		sum += p
	}
	mean := sum / float64(len(w.peaks))
	t.Logf("%s peak-to-mean: mean %.2f p50 %.2f p95 %.2f max %.2f; moves %d, forced %d, hot keys %d; unserved %.1f unit-seconds; floor %.2f",
		title, mean, d.Quantile(0.5), d.Quantile(0.95), d.Max(), w.moves, w.forced, len(w.owners)-shards,
		float64(w.moves*handoverMillis)/1000, max(1, members*w.weights[0]/w.sums[keys-1]))
	return mean
}
