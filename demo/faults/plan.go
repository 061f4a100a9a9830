package faults

import (
	"math/rand/v2"
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

// Step is a fault and how long it lasts.
type Step struct {
	fault Fault
	hold  time.Duration
}

// Fault returns the fault.
func (s Step) Fault() Fault { return s.fault }

// Hold returns how long the fault lasts.
func (s Step) Hold() time.Duration { return s.hold }

// Plan draws steps. Each kind of fault comes once before any comes again. Use
// NewPlan.
type Plan struct {
	random    *rand.Rand
	seed      uint64
	instances []string
	regions   []string
	deck      []func(instance target) Step
	next      int
	steps     int
}

// NewPlan returns a plan for the instances of a cluster, in its order, and its
// regions. Equal seeds give equal steps.
func NewPlan(seed uint64, instances, regions []string) *Plan {
	p := &Plan{random: rand.New(rand.NewPCG(seed, 0)), seed: seed, instances: instances, regions: regions}
	p.deck = []func(target) Step{
		p.kill(PartBoth), p.kill(PartDaemon), p.kill(PartUpstream),
		p.freeze(PartDaemon), p.freeze(PartUpstream), p.freeze(PartBoth), p.leave,
		p.table("table outage", harness.TableFaults{Outage: true}),
		p.table("slow table", harness.TableFaults{DelayMillis: slowMillis}),
		p.table("lost answers", harness.TableFaults{LoseCommitShare: lostShare, Seed: seed}),
	}
	p.deck = append(p.deck, func(target) Step {
		region := regions[p.random.IntN(len(regions))]
		return Step{fault: Cut{link: harness.NewLinkFault(harness.LinkCut, region, harness.TableRegion)}, hold: tableHold}
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
	step := p.deal()(p.target(first))
	if p.steps%pairEvery != 0 || len(p.instances) < 2 {
		return step
	}
	other := (first + 1 + p.random.IntN(len(p.instances)-1)) % len(p.instances)
	second := p.deal()(p.target(other))
	return Step{fault: Pair{first: step.fault, second: second.fault}, hold: max(step.hold, second.hold)}
}

func (p *Plan) target(number int) target {
	return target{number: number, name: p.instances[number]}
}

func (p *Plan) deal() func(target) Step {
	if p.next == 0 {
		p.random.Shuffle(len(p.deck), func(i, j int) { p.deck[i], p.deck[j] = p.deck[j], p.deck[i] })
	}
	dealt := p.deck[p.next]
	p.next = (p.next + 1) % len(p.deck)
	return dealt
}

func (p *Plan) kill(part Part) func(target) Step {
	return func(instance target) Step {
		return Step{fault: Kill{instance: instance, part: part}, hold: killHold}
	}
}

func (p *Plan) freeze(part Part) func(target) Step {
	return func(instance target) Step {
		length := shortestFreeze + time.Duration(p.random.Int64N(int64(longestFreeze-shortestFreeze)))
		length = length.Round(time.Millisecond)
		return Step{fault: Freeze{instance: instance, part: part, length: length}, hold: length}
	}
}

func (p *Plan) leave(instance target) Step {
	return Step{fault: Leave{instance: instance, stopped: new(time.Duration)}, hold: leaveHold}
}

func (p *Plan) table(name string, faults harness.TableFaults) func(target) Step {
	return func(target) Step {
		return Step{fault: Table{name: name, faults: faults}, hold: tableHold}
	}
}

func (p *Plan) cut(kind harness.LinkKind) func(target) Step {
	return func(target) Step {
		from := p.random.IntN(len(p.regions))
		to := (from + 1 + p.random.IntN(len(p.regions)-1)) % len(p.regions)
		return Step{fault: Cut{link: harness.NewLinkFault(kind, p.regions[from], p.regions[to])}, hold: linkHold}
	}
}
