package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"briarwell.dev/core/measure"
)

// Cost is what the control plane costs in a span of virtual time, for each
// living daemon and second. Messages and bytes are those sent and received.
type Cost struct {
	Seconds  float64 `json:"seconds"`
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
	// BytesMax and CPUMax are those of the daemon with the most.
	BytesMax     float64        `json:"bytesMax"`
	BytesPeak    float64        `json:"bytesPeakSecond"`
	BytesByKind  map[string]int `json:"bytesByKind"`
	StepMicros   float64        `json:"stepMicros"`
	CodecMicros  float64        `json:"codecMicros"`
	CPUMax       float64        `json:"cpuMicrosMax"`
	CPUShare     float64        `json:"cpuOfWall"`
	Reads        float64        `json:"tableReads"`
	Writes       float64        `json:"tableWrites"`
	Peak         tableCounts    `json:"tablePeakSecond"`
	Conflicts    int            `json:"tableConflicts"`
	RowsWritten  int            `json:"tableRowsWritten"`
	Transactions int            `json:"tableTransactions"`
}

// Times are milliseconds of virtual time.
type Times struct {
	Count  int     `json:"count"`
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// Scenario is a disturbance of a settled cluster.
type Scenario struct {
	Name     string `json:"name"`
	Complete bool   `json:"complete"`
	Times    Times  `json:"times"`
	Cost     Cost   `json:"cost"`
}

// Result is what was measured at one size.
type Result struct {
	Daemons      int        `json:"daemons"`
	Settled      bool       `json:"settled"`
	HeapBytes    int        `json:"heapBytesPerDaemon"`
	RowBytes     int        `json:"rowBytes"`
	Rows         int        `json:"rows"`
	CalmSeconds  float64    `json:"calmAfterSeconds"`
	Idle         Cost       `json:"settledCost"`
	Scenarios    []Scenario `json:"scenarios"`
	WallSeconds  float64    `json:"wallSeconds"`
	VirtualTotal float64    `json:"virtualSeconds"`
}

func newTimes(values []float64) Times {
	d := measure.NewDistribution(values)
	if d.Count() == 0 {
		return Times{}
	}
	return Times{Count: d.Count(), Median: d.Quantile(0.5), P99: d.Quantile(0.99), Max: d.Max()}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure returns the cost of what happens while fn runs. Time inside the nodes
// is read from the wall clock and scaled by the process's CPU time, which takes
// out the time in which the machine ran other programs and adds the collector.
func (c *cluster) measure(fn func()) Cost {
	for _, p := range c.processes {
		p.traffic = traffic{byKind: map[string]int{}}
	}
	first, cpu, wall := c.now, cpuTime(), time.Now()
	fn()
	share := float64(cpuTime()-cpu) / float64(time.Since(wall))
	cost := Cost{Seconds: float64(c.now-first) / float64(second), CPUShare: share, BytesByKind: map[string]int{}}
	alive := c.alive()
	spans := float64(len(alive)) * cost.Seconds
	for _, p := range alive {
		t := p.traffic
		cost.Messages += float64(t.messages) / spans
		cost.Bytes += float64(t.bytes) / spans
		cost.BytesMax = max(cost.BytesMax, float64(t.bytes)/cost.Seconds)
		cost.StepMicros += float64(t.step.Microseconds()) * share / spans
		cost.CodecMicros += float64(t.codec.Microseconds()) * share / spans
		cost.CPUMax = max(cost.CPUMax, float64((t.step+t.codec).Microseconds())*share/cost.Seconds)
		for kind, size := range t.byKind {
			cost.BytesByKind[kind] += size
		}
	}
	for kind, size := range cost.BytesByKind {
		cost.BytesByKind[kind] = int(float64(size) / spans)
	}
	c.addSeconds(&cost, first, len(alive))
	return cost
}

// addSeconds adds what was counted by virtual second. The first second of the
// span may hold a part of what came before.
func (c *cluster) addSeconds(cost *Cost, first instant, daemons int) {
	for at, counts := range c.counts {
		if at < int64(first/second) {
			continue
		}
		cost.BytesPeak = max(cost.BytesPeak, float64(counts.bytes)/float64(daemons))
		cost.Reads += float64(counts.Reads) / cost.Seconds
		cost.Writes += float64(counts.Writes) / cost.Seconds
		cost.Conflicts += counts.Conflicts
		cost.RowsWritten += counts.Rows
		cost.Transactions += counts.Writes
		cost.Peak.Reads = max(cost.Peak.Reads, counts.Reads)
		cost.Peak.Writes = max(cost.Peak.Writes, counts.Writes)
		cost.Peak.Rows = max(cost.Peak.Rows, counts.Rows)
		cost.Peak.Conflicts = max(cost.Peak.Conflicts, counts.Conflicts)
	}
}

func heap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc) //nolint:gosec // A heap size fits.
}

// newConfig measures a configuration change and the time until each daemon has it.
func (c *cluster) newConfig() Scenario {
	s := Scenario{Name: "configuration change"}
	s.Cost = c.measure(func() {
		start, revision := c.now, c.changeConfig()
		s.Complete = c.runUntil(10*second, func() bool {
			return !slices.ContainsFunc(c.alive(), func(p *process) bool { return p.head < revision })
		})
		alive := c.alive()
		times := make([]float64, 0, len(alive))
		for _, p := range alive {
			times = append(times, float64(p.headAt-start)/float64(millisecond))
		}
		s.Times = newTimes(times)
		c.run(start + 10*second)
	})
	return s
}

// disturb measures the time until each unit that a disturbance takes away is
// served again, and the cost until the cluster is settled, for at least the
// least time.
func (c *cluster) disturb(name string, least instant, disturbance func()) Scenario {
	s := Scenario{Name: name}
	c.recovered = nil
	s.Cost = c.measure(func() {
		disturbance()
		c.run(c.now + least)
		s.Complete = c.runUntil(settleLimit, c.settled)
	})
	s.Times = newTimes(c.recovered)
	return s
}
