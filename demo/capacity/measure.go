package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"briarwell.dev/core/measure"
)

// Cost holds the cost of the control plane in a period of virtual time. Messages and bytes
// are averages per running daemon and second, and count both those sent and those
// received, unless a field says otherwise. The fields that start with Table are sums over
// all daemons.
type Cost struct {
	// Seconds is the length of the period in virtual time.
	Seconds           float64 `json:"seconds"`
	MessagesPerSecond float64 `json:"messages"`
	BytesPerSecond    float64 `json:"bytes"`
	// MaxDaemonBytesPerSecond is the rate of the daemon with the most bytes.
	MaxDaemonBytesPerSecond float64 `json:"bytesMax"`
	// PeakSecondBytesPerDaemon is the average per daemon in the second with the most bytes.
	PeakSecondBytesPerDaemon float64        `json:"bytesPeakSecond"`
	BytesPerSecondByKind     map[string]int `json:"bytesByKind"`
	// StepMicrosPerSecond and CodecMicrosPerSecond are the CPU time of the state machine
	// and of encoding and decoding messages, per daemon and second.
	StepMicrosPerSecond  float64 `json:"stepMicros"`
	CodecMicrosPerSecond float64 `json:"codecMicros"`
	// MaxDaemonCPUMicrosPerSecond is the sum of both for the daemon with the most.
	MaxDaemonCPUMicrosPerSecond float64 `json:"cpuMicrosMax"`
	// CPUShareOfWall is the CPU time of the process divided by the wall-clock time.
	CPUShareOfWall float64 `json:"cpuOfWall"`
	// TableReadsPerSecond and TableWritesPerSecond count scans and transactions.
	TableReadsPerSecond  float64 `json:"tableReads"`
	TableWritesPerSecond float64 `json:"tableWrites"`
	// TablePeakSecond holds the maximum of each count in one second.
	TablePeakSecond   secondCounts `json:"tablePeakSecond"`
	TableConflicts    int          `json:"tableConflicts"`
	TableRowsWritten  int          `json:"tableRowsWritten"`
	TableTransactions int          `json:"tableTransactions"`
}

// MillisSummary summarises a distribution of virtual times in milliseconds. It is zero for
// an empty distribution.
type MillisSummary struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Scenario holds the measurements of a disturbance of a settled cluster.
type Scenario struct {
	Name string `json:"name"`
	// Complete reports whether the cluster settled again, or each daemon got a changed
	// configuration, before the timeout.
	Complete bool `json:"complete"`
	// TimesMillis summarises the times until a lost unit was served again, or until a
	// daemon got the changed configuration.
	TimesMillis MillisSummary `json:"times"`
	Cost        Cost          `json:"cost"`
}

// Result holds the measurements of one cluster size.
type Result struct {
	Daemons int `json:"daemons"`
	// Settled reports whether the new cluster became stable before the timeout.
	Settled            bool `json:"settled"`
	HeapBytesPerDaemon int  `json:"heapBytesPerDaemon"`
	// RowBytes and Rows are the size and number of the table rows of which each daemon
	// holds a copy.
	RowBytes int `json:"rowBytes"`
	Rows     int `json:"rows"`
	// StableAfterSeconds is the virtual time from the end of the first start until the
	// cluster was stable.
	StableAfterSeconds float64    `json:"calmAfterSeconds"`
	SettledCost        Cost       `json:"settledCost"`
	Scenarios          []Scenario `json:"scenarios"`
	// WallSeconds and VirtualSeconds are the real and the virtual time of the simulation.
	WallSeconds    float64 `json:"wallSeconds"`
	VirtualSeconds float64 `json:"virtualSeconds"`
}

func newMillisSummary(values []float64) MillisSummary {
	d := measure.NewDistribution(values)
	if d.Count() == 0 {
		return MillisSummary{}
	}
	return MillisSummary{Count: d.Count(), P50: d.Quantile(0.5), P99: d.Quantile(0.99), Max: d.Max()}
}

// cpuTime returns the CPU time of this process, or 0 if it is unknown.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCost returns the cost of the control plane while fn runs. The time in the state
// machines and codecs is measured with the wall clock and multiplied by the ratio of CPU
// time to wall-clock time of this process. This excludes the time in which the machine ran
// other programs, and includes the garbage collector.
func (c *cluster) measureCost(fn func()) Cost {
	for _, p := range c.processes {
		p.cost = processCost{bytesByKind: map[string]int{}}
	}
	start, startCPU, startWall := c.now, cpuTime(), time.Now()
	fn()
	cpuShare := float64(cpuTime()-startCPU) / float64(time.Since(startWall))
	cost := Cost{Seconds: float64(c.now-start) / float64(second), CPUShareOfWall: cpuShare, BytesPerSecondByKind: map[string]int{}}
	alive := c.aliveProcesses()
	daemonSeconds := float64(len(alive)) * cost.Seconds
	for _, p := range alive {
		daemonCost := p.cost
		cost.MessagesPerSecond += float64(daemonCost.messages) / daemonSeconds
		cost.BytesPerSecond += float64(daemonCost.bytes) / daemonSeconds
		cost.MaxDaemonBytesPerSecond = max(cost.MaxDaemonBytesPerSecond, float64(daemonCost.bytes)/cost.Seconds)
		cost.StepMicrosPerSecond += float64(daemonCost.stepTime.Microseconds()) * cpuShare / daemonSeconds
		cost.CodecMicrosPerSecond += float64(daemonCost.codecTime.Microseconds()) * cpuShare / daemonSeconds
		cost.MaxDaemonCPUMicrosPerSecond = max(cost.MaxDaemonCPUMicrosPerSecond, float64((daemonCost.stepTime+daemonCost.codecTime).Microseconds())*cpuShare/cost.Seconds)
		for kind, size := range daemonCost.bytesByKind {
			cost.BytesPerSecondByKind[kind] += size
		}
	}
	for kind, size := range cost.BytesPerSecondByKind {
		cost.BytesPerSecondByKind[kind] = int(float64(size) / daemonSeconds)
	}
	c.addSecondCounts(&cost, start, len(alive))
	return cost
}

// addSecondCounts adds the counts of the virtual seconds from start to the cost. The second
// that contains start may include requests from before the measured period.
func (c *cluster) addSecondCounts(cost *Cost, start virtualTime, daemons int) {
	for secondNumber, counts := range c.countsBySecond {
		if secondNumber < int64(start/second) {
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

// heapBytes returns the heap size of this process after a garbage collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc) //nolint:gosec // A heap size fits.
}

// measureConfigChange measures the cost of a configuration change over 10 s, and the time
// until each daemon has the new version.
func (c *cluster) measureConfigChange() Scenario {
	s := Scenario{Name: "configuration change"}
	s.Cost = c.measureCost(func() {
		start, revision := c.now, c.writeConfig()
		s.Complete = c.runUntil(10*second, func() bool {
			return !slices.ContainsFunc(c.aliveProcesses(), func(p *process) bool { return p.configRevision < revision })
		})
		alive := c.aliveProcesses()
		timesMillis := make([]float64, 0, len(alive))
		for _, p := range alive {
			timesMillis = append(timesMillis, float64(p.configReceivedAt-start)/float64(millisecond))
		}
		s.TimesMillis = newMillisSummary(timesMillis)
		c.runTo(start + 10*second)
	})
	return s
}

// measureDisturbance measures the times until the units that a disturbance makes unserved
// are served again, and the cost from the disturbance until the cluster is settled, but
// for at least minTime.
func (c *cluster) measureDisturbance(name string, minTime virtualTime, disturbance func()) Scenario {
	s := Scenario{Name: name}
	c.recoveryMillis = nil
	s.Cost = c.measureCost(func() {
		disturbance()
		c.runTo(c.now + minTime)
		s.Complete = c.runUntil(settleTimeout, c.isSettled)
	})
	s.TimesMillis = newMillisSummary(c.recoveryMillis)
	return s
}
