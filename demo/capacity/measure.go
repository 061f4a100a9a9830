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
	Seconds           float64 `json:"seconds"`
	MessagesPerSecond float64 `json:"messages"`
	BytesPerSecond    float64 `json:"bytes"`
	// MaxDaemonBytesPerSecond and CPUMax are those of the daemon with the most.
	MaxDaemonBytesPerSecond     float64        `json:"bytesMax"`
	PeakSecondBytesPerDaemon    float64        `json:"bytesPeakSecond"`
	BytesPerSecondByKind        map[string]int `json:"bytesByKind"`
	StepMicrosPerSecond         float64        `json:"stepMicros"`
	CodecMicrosPerSecond        float64        `json:"codecMicros"`
	MaxDaemonCPUMicrosPerSecond float64        `json:"cpuMicrosMax"`
	CPUShareOfWall              float64        `json:"cpuOfWall"`
	TableReadsPerSecond         float64        `json:"tableReads"`
	TableWritesPerSecond        float64        `json:"tableWrites"`
	TablePeakSecond             secondCounts   `json:"tablePeakSecond"`
	TableConflicts              int            `json:"tableConflicts"`
	TableRowsWritten            int            `json:"tableRowsWritten"`
	TableTransactions           int            `json:"tableTransactions"`
}

// MillisSummary are milliseconds of virtual time.
type MillisSummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Scenario is a disturbance of a settled cluster.
type Scenario struct {
	Name        string        `json:"name"`
	Complete    bool          `json:"complete"`
	TimesMillis MillisSummary `json:"times"`
	Cost        Cost          `json:"cost"`
}

// Result is what was measured at one size.
type Result struct {
	Daemons            int        `json:"daemons"`
	Settled            bool       `json:"settled"`
	HeapBytesPerDaemon int        `json:"heapBytesPerDaemon"`
	RowBytes           int        `json:"rowBytes"`
	Rows               int        `json:"rows"`
	StableAfterSeconds float64    `json:"calmAfterSeconds"`
	SettledCost        Cost       `json:"settledCost"`
	Scenarios          []Scenario `json:"scenarios"`
	WallSeconds        float64    `json:"wallSeconds"`
	VirtualSeconds     float64    `json:"virtualSeconds"`
}

func newMillisSummary(values []float64) MillisSummary {
	d := measure.NewDistribution(values)
	if d.Count() == 0 {
		return MillisSummary{}
	}
	return MillisSummary{Count: d.Count(), P50: d.Quantile(0.5), P99: d.Quantile(0.99), Max: d.Max()}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCost returns the cost of what happens while fn runs. Time inside the nodes
// is read from the wall clock and scaled by the process's CPU time, which takes
// out the time in which the machine ran other programs and adds the collector.
func (c *cluster) measureCost(fn func()) Cost {
	for _, p := range c.processes {
		p.cost = processCost{bytesByKind: map[string]int{}}
	}
	first, cpu, wall := c.now, cpuTime(), time.Now()
	fn()
	share := float64(cpuTime()-cpu) / float64(time.Since(wall))
	cost := Cost{Seconds: float64(c.now-first) / float64(second), CPUShareOfWall: share, BytesPerSecondByKind: map[string]int{}}
	alive := c.aliveProcesses()
	spans := float64(len(alive)) * cost.Seconds
	for _, p := range alive {
		t := p.cost
		cost.MessagesPerSecond += float64(t.messages) / spans
		cost.BytesPerSecond += float64(t.bytes) / spans
		cost.MaxDaemonBytesPerSecond = max(cost.MaxDaemonBytesPerSecond, float64(t.bytes)/cost.Seconds)
		cost.StepMicrosPerSecond += float64(t.stepTime.Microseconds()) * share / spans
		cost.CodecMicrosPerSecond += float64(t.codecTime.Microseconds()) * share / spans
		cost.MaxDaemonCPUMicrosPerSecond = max(cost.MaxDaemonCPUMicrosPerSecond, float64((t.stepTime+t.codecTime).Microseconds())*share/cost.Seconds)
		for kind, size := range t.bytesByKind {
			cost.BytesPerSecondByKind[kind] += size
		}
	}
	for kind, size := range cost.BytesPerSecondByKind {
		cost.BytesPerSecondByKind[kind] = int(float64(size) / spans)
	}
	c.addSecondCounts(&cost, first, len(alive))
	return cost
}

// addSecondCounts adds what was counted by virtual second. The first second of the
// span may hold a part of what came before.
func (c *cluster) addSecondCounts(cost *Cost, first virtualTime, daemons int) {
	for at, counts := range c.countsBySecond {
		if at < int64(first/second) {
			continue
		}
		cost.PeakSecondBytesPerDaemon = max(cost.PeakSecondBytesPerDaemon, float64(counts.messageBytes)/float64(daemons))
		cost.TableReadsPerSecond += float64(counts.Reads) / cost.Seconds
		cost.TableWritesPerSecond += float64(counts.Writes) / cost.Seconds
		cost.TableConflicts += counts.Conflicts
		cost.TableRowsWritten += counts.Rows
		cost.TableTransactions += counts.Writes
		cost.TablePeakSecond.Reads = max(cost.TablePeakSecond.Reads, counts.Reads)
		cost.TablePeakSecond.Writes = max(cost.TablePeakSecond.Writes, counts.Writes)
		cost.TablePeakSecond.Rows = max(cost.TablePeakSecond.Rows, counts.Rows)
		cost.TablePeakSecond.Conflicts = max(cost.TablePeakSecond.Conflicts, counts.Conflicts)
	}
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc) //nolint:gosec // A heap size fits.
}

// measureConfigChange measures a configuration change and the time until each daemon has it.
func (c *cluster) measureConfigChange() Scenario {
	s := Scenario{Name: "configuration change"}
	s.Cost = c.measureCost(func() {
		start, revision := c.now, c.writeConfig()
		s.Complete = c.runUntil(10*second, func() bool {
			return !slices.ContainsFunc(c.aliveProcesses(), func(p *process) bool { return p.configRevision < revision })
		})
		alive := c.aliveProcesses()
		times := make([]float64, 0, len(alive))
		for _, p := range alive {
			times = append(times, float64(p.configReceivedAt-start)/float64(millisecond))
		}
		s.TimesMillis = newMillisSummary(times)
		c.runTo(start + 10*second)
	})
	return s
}

// measureDisturbance measures the time until each unit that a disturbance takes away is
// served again, and the cost until the cluster is settled, for at least the
// least time.
func (c *cluster) measureDisturbance(name string, least virtualTime, disturbance func()) Scenario {
	s := Scenario{Name: name}
	c.recoveryMillis = nil
	s.Cost = c.measureCost(func() {
		disturbance()
		c.runTo(c.now + least)
		s.Complete = c.runUntil(settleTimeout, c.isSettled)
	})
	s.TimesMillis = newMillisSummary(c.recoveryMillis)
	return s
}
