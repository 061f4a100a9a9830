package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"time"
)

const (
	// initialStartSpan is the time over which the daemons of a new cluster start. It is
	// short, so that the first assignment finds all of them.
	initialStartSpan = second / 2
	// restartSpan is the time over which all daemons restart.
	restartSpan = 10 * second
	// restartDowntime is the assumed time without a process in a restart.
	restartDowntime = second
	settleTimeout   = 120 * second
	// stableTime is longer than two intervals between plans, and than the one
	// between improvements of a witness set; calmLimit bounds the wait for it.
	stableTime    = 11 * second
	stableTimeout = 300 * second
	// settledMeasureTime is the measured time of a settled cluster.
	settledMeasureTime = 20 * second
	// lossMeasureTime covers the 3 s in which a loss is to be served again, and the
	// second assignment.
	lossMeasureTime = 10 * second
)

// Options are the parameters of a run.
type Options struct {
	// DaemonCounts are the numbers of daemons to measure.
	DaemonCounts []int
	// ShardsPerService is the number of shards of each of the two services with keys.
	ShardsPerService int
	Seed             uint64
	// MeasureRestart adds a restart of all daemons, which takes long.
	MeasureRestart bool
}

// Run measures each size in turn, with one goroutine, and writes a table. It
// returns the context's error if that ends before the last size is measured.
func Run(ctx context.Context, options Options, out io.Writer) ([]Result, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var results []Result
	for _, size := range options.DaemonCounts {
		if size < 2*failureDomainCount {
			return nil, fmt.Errorf("size %d: allowed from %d", size, 2*failureDomainCount)
		}
		result := measureSize(ctx, options, size, out)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func measureSize(ctx context.Context, options Options, size int, out io.Writer) Result {
	started, before := time.Now(), heapBytes()
	c := newCluster(ctx, options.Seed, size, uint32(options.ShardsPerService)) //nolint:gosec // A number of shards fits.
	r := Result{Daemons: size}
	for i := range size {
		c.schedule(virtualTime(c.random.Int64N(int64(initialStartSpan))), func() { c.startProcess(i) })
	}
	r.addScenario(out, c.measureDisturbance("first start", initialStartSpan, func() {}))
	calmFrom := c.now
	r.Settled = c.runUntil(stableTimeout, c.isStable)
	r.StableAfterSeconds = float64(c.now-calmFrom) / float64(second)
	_, _ = fmt.Fprintf(out, "N=%d calm %t after %.0f s\n", size, r.Settled, r.StableAfterSeconds)
	if ctx.Err() != nil {
		return r
	}
	r.RowBytes, r.Rows = c.copiedRowsSize()
	r.HeapBytesPerDaemon = (heapBytes() - before) / size
	r.SettledCost = c.measureCost(func() { c.runTo(c.now + settledMeasureTime) })
	r.printSettled(out)
	r.addScenario(out, c.measureConfigChange())
	r.addScenario(out, c.measureDisturbance("loss of one daemon", lossMeasureTime, c.findOwner().kill))
	r.addScenario(out, c.measureDisturbance("loss of a failure domain", lossMeasureTime, func() {
		for _, p := range c.aliveProcesses() {
			if p.failureDomain == 1 {
				p.kill()
			}
		}
	}))
	if options.MeasureRestart {
		r.addScenario(out, c.measureDisturbance("restart of all daemons", restartSpan+restartDowntime, c.restartAll))
	}
	r.WallSeconds, r.VirtualSeconds = time.Since(started).Seconds(), float64(c.now)/float64(second)
	_, _ = fmt.Fprintf(out, "N=%d: %.0f s of virtual time in %.0f s\n", size, r.VirtualSeconds, r.WallSeconds)
	return r
}

// findOwner returns a daemon that owns units.
func (c *cluster) findOwner() *process {
	for _, p := range c.aliveProcesses() {
		if len(p.units) > 0 {
			return p
		}
	}
	return c.processes[0]
}

// restartAll kills each living daemon at some point of startTime and starts it
// again after restartTime.
func (c *cluster) restartAll() {
	for _, p := range c.aliveProcesses() {
		c.schedule(virtualTime(c.random.Int64N(int64(restartSpan))), func() {
			p.kill()
			c.schedule(restartDowntime, func() { c.startProcess(p.index) })
		})
	}
}

// copiedRowsSize returns the size and number of the rows that each daemon copies.
func (c *cluster) copiedRowsSize() (size, count int) {
	for _, prefix := range scannedPrefixes() {
		rows, _, err := c.table.Scan(context.Background(), prefix, 0)
		if err != nil {
			panic(err) // A table in memory fails only when its context ends.
		}
		for _, row := range rows {
			size += len(row.Key()) + len(row.Value())
		}
		count += len(rows)
	}
	return size, count
}

// WriteJSON writes results.
func WriteJSON(out io.Writer, results []Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

func (r *Result) addScenario(out io.Writer, s Scenario) {
	r.Scenarios = append(r.Scenarios, s)
	c := s.Cost
	_, _ = fmt.Fprintf(out, "N=%d %s: complete %t, n=%d p50 %.0f ms p99 %.0f ms max %.0f ms; %.1f s\n",
		r.Daemons, s.Name, s.Complete, s.TimesMillis.Count, s.TimesMillis.P50, s.TimesMillis.P99, s.TimesMillis.Max, c.Seconds)
	_, _ = fmt.Fprintf(out, "  peak second: %d reads, %d transactions, %d rows, %d conflicts; in all %d transactions, %d rows, %d conflicts\n",
		c.TablePeakSecond.Reads, c.TablePeakSecond.Writes, c.TablePeakSecond.Rows, c.TablePeakSecond.Conflicts, c.TableTransactions, c.TableRowsWritten, c.TableConflicts)
	printCost(out, c)
}

func (r *Result) printSettled(out io.Writer) {
	_, _ = fmt.Fprintf(out, "N=%d settled: heap %d bytes a daemon, copy of %d rows with %d bytes, table %.1f reads/s %.2f writes/s\n",
		r.Daemons, r.HeapBytesPerDaemon, r.Rows, r.RowBytes, r.SettledCost.TableReadsPerSecond, r.SettledCost.TableWritesPerSecond)
	printCost(out, r.SettledCost)
}

func printCost(out io.Writer, c Cost) {
	_, _ = fmt.Fprintf(out, "  a daemon and second: %.1f messages, %.0f bytes (largest daemon %.0f, peak second %.0f) %v, step %.0f us, codec %.0f us, largest daemon %.0f us (CPU of wall %.2f)\n",
		c.MessagesPerSecond, c.BytesPerSecond, c.MaxDaemonBytesPerSecond, c.PeakSecondBytesPerDaemon, c.BytesPerSecondByKind, c.StepMicrosPerSecond, c.CodecMicrosPerSecond, c.MaxDaemonCPUMicrosPerSecond, c.CPUShareOfWall)
}
