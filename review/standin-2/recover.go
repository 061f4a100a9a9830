package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lead is the time from the start of the machines to that of the traffic, recovery the bound of
	// the rule RECOVER, both as in the small deployments.
	lead     = 8 * time.Second
	recovery = 15 * time.Second
	// minShare is the share of served requests that the rule RECOVER asks for.
	minShare = 0.25
	// replaceDelay is the time after which another machine comes in place of a removed one, and
	// after which the processes are started again after the final fault.
	replaceDelay = time.Second
	// workTime is the time that a backend works on a request.
	workTime = 30 * time.Millisecond
)

// day is a day with traffic for one service that ends with the final fault: all processes are killed
// right after a manifest is acknowledged.
type day struct {
	fleet   *fleet
	service string
	method  string
	kind    string
	perS    float64

	traffic *traffic
	began   time.Time
}

// forEach calls f for all machines at the same time, and waits.
func forEach(machines []*machine, f func(*machine)) {
	var wait sync.WaitGroup
	for _, m := range machines {
		wait.Go(func() { f(m) })
	}
	wait.Wait()
}

// addMachines adds machines in turn in all zones, without starting them.
func (f *fleet) addMachines(service string, count int) []*machine {
	added := make([]*machine, 0, count)
	for i := range count {
		added = append(added, f.add(service, zones[i%len(zones)], workTime))
	}
	return added
}

// remove takes machines away for good, without SIGTERM. With replace, another machine comes in place
// of each at a new address.
func (f *fleet) remove(machines []*machine, replace bool) ([]*machine, error) {
	forEach(machines, (*machine).losePower)
	f.record.add("%d machines are removed for good", len(machines))
	if !replace {
		return nil, nil
	}
	var others []*machine
	for _, m := range machines {
		others = append(others, f.add(m.service, zone{m.zone, m.region}, m.work))
	}
	time.Sleep(replaceDelay)
	err := startAll(others)
	f.record.add("%d machines are added in place of them", len(others))
	return others, err
}

// play starts the machines, sends requests, calls trouble, and plays the final fault on the machines
// that trouble returns. It then judges the rule RECOVER.
func (d *day) play(machines []*machine, trouble func() ([]*machine, error)) (verdict, error) {
	f := d.fleet
	kinds := map[string]string{d.service: d.kind}
	f.writeManifest(kinds)
	if err := startAll(machines); err != nil {
		return verdict{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go f.probeReadiness(ctx)
	time.Sleep(lead)
	d.traffic = &traffic{fleet: f, service: d.service, method: d.method, perS: d.perS, budget: time.Second}
	ended := make(chan struct{})
	go func() { d.traffic.run(ctx); close(ended) }()
	d.began = time.Now()
	present, err := trouble()
	if err != nil {
		return verdict{}, err
	}

	f.writeManifest(kinds)
	final := time.Now()
	forEach(present, func(m *machine) { m.kill(true) })
	f.record.add("final fault: all processes on the %d machines are killed", len(present))
	time.Sleep(replaceDelay)
	if err := startAll(present); err != nil {
		return verdict{}, err
	}
	back := time.Now()
	f.record.add("the machines are back")
	time.Sleep(recovery + 15*time.Second)
	stop()
	<-ended
	sentBefore, before := d.traffic.share(d.began, final)
	sentAfter, after := d.traffic.share(back.Add(recovery), time.Now())
	v := verdict{
		broken: sentAfter > 0 && before >= minShare && after < minShare,
		text: fmt.Sprintf("served before the final fault %.1f%% of %d requests, of those sent later than %s after the machines were back %.1f%% of %d",
			100*before, sentBefore, recovery, 100*after, sentAfter),
	}
	if sentAfter == 0 {
		return v, fmt.Errorf("no request was sent after the recovery: no sidecar was ready")
	}
	return v, nil
}

// lostOwners removes the machines of five zones of six for good, at once, and adds others in place of
// them. Of each owner of keys that is lost, two of the three witnesses are lost too.
func lostOwners(f *fleet, trouble bool) (verdict, error) {
	d := &day{fleet: f, service: "wardrobe", method: http.MethodGet, kind: "idempotent", perS: 30}
	machines := f.addMachines(d.service, 18)
	return d.play(machines, func() ([]*machine, error) {
		time.Sleep(10 * time.Second)
		if !trouble {
			time.Sleep(15 * time.Second)
			return machines, nil
		}
		var present, removed []*machine
		for _, m := range machines {
			if m.zone == zones[0].name {
				present = append(present, m)
			} else {
				removed = append(removed, m)
			}
		}
		others, err := f.remove(removed, true)
		time.Sleep(14 * time.Second)
		return append(present, others...), err
	})
}

// removedRounds and removedAtOnce are the numbers of removals of lostMachines, and of the machines that
// each takes.
const (
	removedRounds = 6
	removedAtOnce = 18
)

// lostMachines replaces all machines of a service without keys again and again: each time they are
// removed for good and others come in place of them.
func lostMachines(f *fleet, trouble bool) (verdict, error) {
	d := &day{fleet: f, service: "ledger", method: http.MethodPost, kind: "non_idempotent", perS: 30}
	present := f.addMachines(d.service, removedAtOnce)
	return d.play(present, func() ([]*machine, error) {
		time.Sleep(10 * time.Second)
		for range removedRounds {
			if trouble {
				var err error
				if present, err = f.remove(present, true); err != nil {
					return nil, err
				}
			}
			time.Sleep(5 * time.Second)
		}
		return present, nil
	})
}

// lostOneByOne removes the machines of a keyed service for good, zone by zone, until two of twenty-four
// are left. The machines of another service stay, so that the owners have witnesses.
func lostOneByOne(f *fleet, trouble bool) (verdict, error) {
	d := &day{fleet: f, service: "wardrobe", method: http.MethodGet, kind: "idempotent", perS: 30}
	machines := f.addMachines(d.service, 24)
	others := f.addMachines("ledger", 2*len(zones))
	all := append(append([]*machine{}, machines...), others...)
	return d.play(all, func() ([]*machine, error) {
		time.Sleep(3 * time.Second)
		present := others
		for i, z := range zones {
			var removed []*machine
			for _, m := range machines {
				switch {
				case m.zone != z.name:
				case i == 0 && m != machines[0] && m != machines[6]:
					removed = append(removed, m)
				case i == 0:
					present = append(present, m)
				default:
					removed = append(removed, m)
				}
			}
			if trouble {
				if _, err := f.remove(removed, false); err != nil {
					return nil, err
				}
			}
			time.Sleep(7 * time.Second)
		}
		if !trouble {
			return all, nil
		}
		return present, nil
	})
}

// scaledMachines is the number of machines of scaledIn at the start.
const scaledMachines = 57

// scaleInPause is the time from the shutdown of one zone to that of the next one.
const scaleInPause = 4 * time.Second

// scaledIn takes away all machines of a keyed service but three, as planned and zone by zone: each
// backend drains, gives up its keys and exits, then the sidecar beside it gets SIGTERM.
func scaledIn(f *fleet, trouble bool) (verdict, error) {
	d := &day{fleet: f, service: "wardrobe", method: http.MethodGet, kind: "idempotent", perS: 30}
	machines := f.addMachines(d.service, scaledMachines)
	return d.play(machines, func() ([]*machine, error) {
		time.Sleep(8 * time.Second)
		if !trouble {
			time.Sleep(30 * time.Second)
			return machines, nil
		}
		// One machine of each region stays.
		staying := []*machine{machines[0], machines[2], machines[4]}
		var leaving sync.WaitGroup
		for _, z := range zones {
			zoneLeaves := slices.DeleteFunc(slices.Clone(machines), func(m *machine) bool { return m.zone != z.name || slices.Contains(staying, m) })
			f.record.add("%d machines of %s are to leave as planned", len(zoneLeaves), z.name)
			leaving.Go(func() { forEach(zoneLeaves, (*machine).takeAway) })
			time.Sleep(scaleInPause)
		}
		leaving.Wait()
		f.record.add("they are gone")
		time.Sleep(4 * time.Second)
		return staying, nil
	})
}

// lastMachine removes two of three machines for good.
func lastMachine(f *fleet, trouble bool) (verdict, error) {
	d := &day{fleet: f, service: "wardrobe", method: http.MethodGet, kind: "idempotent", perS: 30}
	machines := f.addMachines(d.service, 3)
	return d.play(machines, func() ([]*machine, error) {
		time.Sleep(20 * time.Second)
		if !trouble {
			time.Sleep(10 * time.Second)
			return machines, nil
		}
		_, err := f.remove(machines[1:], false)
		time.Sleep(10 * time.Second)
		return machines[:1], err
	})
}
