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
	// killDuration leaves time to measure how the killed instance is replaced before
	// it is restarted.
	killDuration = 6 * time.Second
	// leaveDuration is the time from the end of a graceful leave to the restart.
	leaveDuration = 3 * time.Second
	// tableFaultDuration is the duration of table faults and of cuts between a region
	// and the table.
	tableFaultDuration = 6 * time.Second
	// linkFaultDuration is the duration of faults on the link between two regions.
	linkFaultDuration = 6 * time.Second
	// minFreezeDuration is shorter than a lease of 1.5 s and maxFreezeDuration longer,
	// so that processes resume both with and without a valid lease.
	minFreezeDuration = 500 * time.Millisecond
	maxFreezeDuration = 10 * time.Second
	// slowTableDelayMillis is the delay of each response of a slow table.
	slowTableDelayMillis = 400
	// lostCommitShare is the share of commits whose responses are lost.
	lostCommitShare = 0.5
	// pairInterval is the number of steps from one step with two faults to the next.
	pairInterval = 4
)

// TimedFault is a fault and its duration.
type TimedFault struct {
	fault    Fault
	duration time.Duration
}

// Fault returns the fault without its duration.
func (t TimedFault) Fault() Fault { return t.fault }

// Duration returns the time from the injection of the fault to its reversal.
func (t TimedFault) Duration() time.Duration { return t.duration }

// Step is one fault, or two that start at the same time.
type Step struct {
	faults []TimedFault
}

// Faults returns the faults in ascending order of their duration.
func (s Step) Faults() []TimedFault { return s.faults }

func (s Step) String() string {
	names := make([]string, 0, len(s.faults))
	for _, f := range s.faults {
		names = append(names, f.fault.String())
	}
	return strings.Join(names, " + ")
}

// hasTarget returns false for two faults at once, because they can be one of the
// cases 1 to 4 of section 2.5 of the design page.
func (s Step) hasTarget() bool { return len(s.faults) == 1 && s.faults[0].fault.hasTarget() }

func newStep(faults ...TimedFault) Step {
	slices.SortStableFunc(faults, func(a, b TimedFault) int { return cmp.Compare(a.duration, b.duration) })
	return Step{faults: faults}
}

// Plan generates a random sequence of steps. Each kind of fault occurs once before
// any occurs again. Use NewPlan.
type Plan struct {
	random             *rand.Rand
	seed               uint64
	instances          []string
	regions            []string
	generators         []func(targetInstance) TimedFault
	nextGeneratorIndex int
	stepCount          int
}

// NewPlan returns a plan for a cluster with the given instances, in the order of the
// cluster, and regions. Equal seeds give equal steps.
func NewPlan(seed uint64, instances, regions []string) *Plan {
	p := &Plan{random: rand.New(rand.NewPCG(seed, 0)), seed: seed, instances: instances, regions: regions}
	p.generators = []func(targetInstance) TimedFault{
		p.killGenerator(BothProcesses), p.killGenerator(DaemonProcess), p.killGenerator(UpstreamProcess),
		p.freezeGenerator(DaemonProcess), p.freezeGenerator(UpstreamProcess), p.freezeGenerator(BothProcesses), p.generateLeave,
		p.tableFaultGenerator("table outage", harness.TableFaults{Outage: true}),
		p.tableFaultGenerator("slow table", harness.TableFaults{DelayMillis: slowTableDelayMillis}),
		p.tableFaultGenerator("lost answers", harness.TableFaults{LoseCommitShare: lostCommitShare, Seed: seed}),
	}
	p.generators = append(p.generators, func(targetInstance) TimedFault {
		region := regions[p.random.IntN(len(regions))]
		return TimedFault{fault: LinkFault{fault: harness.NewLinkFault(harness.LinkCut, region, harness.TableRegion)}, duration: tableFaultDuration}
	})
	if len(regions) > 1 {
		p.generators = append(p.generators, p.linkFaultGenerator(harness.LinkCutOneWay), p.linkFaultGenerator(harness.LinkCut), p.linkFaultGenerator(harness.LinkSilent))
	}
	return p
}

// Next generates the next step.
func (p *Plan) Next() Step {
	p.stepCount++
	firstIndex := p.random.IntN(len(p.instances))
	fault := p.nextGenerator()(p.targetAt(firstIndex))
	if p.stepCount%pairInterval != 0 || len(p.instances) < 2 {
		return newStep(fault)
	}
	secondIndex := (firstIndex + 1 + p.random.IntN(len(p.instances)-1)) % len(p.instances)
	return newStep(fault, p.nextGenerator()(p.targetAt(secondIndex)))
}

func (p *Plan) targetAt(index int) targetInstance {
	return targetInstance{index: index, name: p.instances[index]}
}

// nextGenerator returns the generator of the next kind of fault. It shuffles the
// generators when each has been used once.
func (p *Plan) nextGenerator() func(targetInstance) TimedFault {
	if p.nextGeneratorIndex == 0 {
		p.random.Shuffle(len(p.generators), func(i, j int) { p.generators[i], p.generators[j] = p.generators[j], p.generators[i] })
	}
	generator := p.generators[p.nextGeneratorIndex]
	p.nextGeneratorIndex = (p.nextGeneratorIndex + 1) % len(p.generators)
	return generator
}

func (p *Plan) killGenerator(selection ProcessSelection) func(targetInstance) TimedFault {
	return func(instance targetInstance) TimedFault {
		return TimedFault{fault: Kill{instance: instance, selection: selection}, duration: killDuration}
	}
}

func (p *Plan) freezeGenerator(selection ProcessSelection) func(targetInstance) TimedFault {
	return func(instance targetInstance) TimedFault {
		duration := minFreezeDuration + time.Duration(p.random.Int64N(int64(maxFreezeDuration-minFreezeDuration)))
		duration = duration.Round(time.Millisecond)
		return TimedFault{fault: Freeze{instance: instance, selection: selection, duration: duration}, duration: duration}
	}
}

func (p *Plan) generateLeave(instance targetInstance) TimedFault {
	return TimedFault{fault: Leave{instance: instance, stopDuration: new(time.Duration)}, duration: leaveDuration}
}

func (p *Plan) tableFaultGenerator(name string, faults harness.TableFaults) func(targetInstance) TimedFault {
	return func(targetInstance) TimedFault {
		return TimedFault{fault: TableFault{name: name, faults: faults}, duration: tableFaultDuration}
	}
}

func (p *Plan) linkFaultGenerator(kind harness.LinkFaultKind) func(targetInstance) TimedFault {
	return func(targetInstance) TimedFault {
		from := p.random.IntN(len(p.regions))
		to := (from + 1 + p.random.IntN(len(p.regions)-1)) % len(p.regions)
		return TimedFault{fault: LinkFault{fault: harness.NewLinkFault(kind, p.regions[from], p.regions[to])}, duration: linkFaultDuration}
	}
}
