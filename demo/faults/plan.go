package faults

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"briarwell.dev/demo/harness"
)

const (
	// killHold leaves time to measure the replacement before the restart.
	killHold = 6 * time.Second
	// leaveHold separates a graceful leave from the restart.
	leaveHold = 3 * time.Second
	// tableHold is the length of table faults.
	tableHold = 6 * time.Second
	// linkHold is the length of link faults.
	linkHold = 6 * time.Second
	// shortestFreeze and longestFreeze lie on both sides of a lease of 1.5 s.
	shortestFreeze = 500 * time.Millisecond
	longestFreeze  = 10 * time.Second
	// slowMillis is the delay of a slow table.
	slowMillis = 400
	// lostShare is the share of commits whose answers are lost.
	lostShare = 0.5
	// pairEvery makes each n-th step two faults at once.
	pairEvery = 4
)

// Timed is a fault and how long it lasts.
type Timed struct {
	fault Fault
	hold  time.Duration
}

// Fault returns the fault.
func (t Timed) Fault() Fault { return t.fault }

// Hold returns how long the fault lasts.
func (t Timed) Hold() time.Duration { return t.hold }

// Step is one fault, or two that begin at once.
type Step struct {
	faults []Timed
}

// Faults returns the faults by ascending length.
func (s Step) Faults() []Timed { return s.faults }

func (s Step) String() string {
	names := make([]string, 0, len(s.faults))
	for _, f := range s.faults {
		names = append(names, f.fault.String())
	}
	return strings.Join(names, " + ")
}

// targeted excludes two faults at once, which may fall under cases 1 to 4 of
// section 2.5 of the design page.
func (s Step) targeted() bool { return len(s.faults) == 1 && s.faults[0].fault.targeted() }

func newStep(faults ...Timed) Step {
	slices.SortStableFunc(faults, func(a, b Timed) int { return cmp.Compare(a.hold, b.hold) })
	return Step{faults: faults}
}

// Plan draws steps. Each kind of fault comes once before any comes again. Use
// NewPlan.
type Plan struct {
	random    *rand.Rand
	seed      uint64
	instances []string
	regions   []string
	deck      []func(target) Timed
	next      int
	steps     int
}

// NewPlan returns a plan for the instances of a cluster, in its order, and its
// regions. Equal seeds give equal steps.
func NewPlan(seed uint64, instances, regions []string) *Plan {
	p := &Plan{random: rand.New(rand.NewPCG(seed, 0)), seed: seed, instances: instances, regions: regions}
	p.deck = []func(target) Timed{
		p.kill(PartBoth), p.kill(PartDaemon), p.kill(PartUpstream),
		p.freeze(PartDaemon), p.freeze(PartUpstream), p.freeze(PartBoth), p.leave,
		p.table("table outage", harness.TableFaults{Outage: true}),
		p.table("slow table", harness.TableFaults{DelayMillis: slowMillis}),
		p.table("lost answers", harness.TableFaults{LoseCommitShare: lostShare, Seed: seed}),
	}
	p.deck = append(p.deck, func(target) Timed {
		region := regions[p.random.IntN(len(regions))]
		return Timed{fault: Cut{link: harness.NewLinkFault(harness.LinkCut, region, harness.TableRegion)}, hold: tableHold}
	})
	if len(regions) > 1 {
		p.deck = append(p.deck, p.cut(harness.LinkCutOneWay), p.cut(harness.LinkCut), p.cut(harness.LinkSilent))
	}
	return p
}

// Next returns the next step.
func (p *Plan) Next() Step {
	p.steps++
	first := p.random.IntN(len(p.instances))
	fault := p.deal()(p.target(first))
	if p.steps%pairEvery != 0 || len(p.instances) < 2 {
		return newStep(fault)
	}
	other := (first + 1 + p.random.IntN(len(p.instances)-1)) % len(p.instances)
	return newStep(fault, p.deal()(p.target(other)))
}

func (p *Plan) target(number int) target {
	return target{number: number, name: p.instances[number]}
}

func (p *Plan) deal() func(target) Timed {
	if p.next == 0 {
		p.random.Shuffle(len(p.deck), func(i, j int) { p.deck[i], p.deck[j] = p.deck[j], p.deck[i] })
	}
	dealt := p.deck[p.next]
	p.next = (p.next + 1) % len(p.deck)
	return dealt
}

func (p *Plan) kill(part Part) func(target) Timed {
	return func(instance target) Timed {
		return Timed{fault: Kill{instance: instance, part: part}, hold: killHold}
	}
}

func (p *Plan) freeze(part Part) func(target) Timed {
	return func(instance target) Timed {
		length := shortestFreeze + time.Duration(p.random.Int64N(int64(longestFreeze-shortestFreeze)))
		length = length.Round(time.Millisecond)
		return Timed{fault: Freeze{instance: instance, part: part, length: length}, hold: length}
	}
}

func (p *Plan) leave(instance target) Timed {
	return Timed{fault: Leave{instance: instance, stopped: new(time.Duration)}, hold: leaveHold}
}

func (p *Plan) table(name string, faults harness.TableFaults) func(target) Timed {
	return func(target) Timed {
		return Timed{fault: Table{name: name, faults: faults}, hold: tableHold}
	}
}

func (p *Plan) cut(kind harness.LinkKind) func(target) Timed {
	return func(target) Timed {
		from := p.random.IntN(len(p.regions))
		to := (from + 1 + p.random.IntN(len(p.regions)-1)) % len(p.regions)
		return Timed{fault: Cut{link: harness.NewLinkFault(kind, p.regions[from], p.regions[to])}, hold: linkHold}
	}
}
