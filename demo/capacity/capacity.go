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
	// short, so that the first assignment includes all of them.
	initialStartSpan = second / 2
	// restartSpan is the time over which the restarts of all daemons are spread.
	restartSpan = 10 * second
	// restartDowntime is the assumed time from the end of a process to its restart.
	restartDowntime = second
	// settleTimeout bounds the wait until the cluster is settled after a disturbance.
	settleTimeout = 120 * second
	// stableTime is the time without a table transaction after which a settled cluster
	// counts as stable. It is longer than two intervals between placement plans, and than
	// the interval between improvements of a witness set.
	stableTime = 11 * second
	// stableTimeout bounds the wait until a new cluster is stable.
	stableTimeout = 300 * second
	// settledMeasureTime is the time over which the cost of a settled cluster is measured.
	settledMeasureTime = 20 * second
	// lossMeasureTime is the minimum time measured after a loss. It covers the 3 s within
	// which all units must be served again, and the second assignment.
	lossMeasureTime = 10 * second
)

// Options holds the parameters of a run.
type Options struct {
	// DaemonCounts holds the sizes of the clusters to measure, in daemons.
	DaemonCounts []int
	// ShardsPerService is the number of shards of each of the two services with keys.
	ShardsPerService int
	// Seed determines all random choices. The same seed gives the same virtual times,
	// messages and table requests.
	Seed uint64
	// MeasureRestart adds the restart of all daemons, a scenario with a long running time.
	MeasureRestart bool
}

// Run measures clusters of the given sizes one after the other in one goroutine, with
// GOMAXPROCS set to 1, and writes the figures to out as text. It returns an error for a
// size below two daemons per failure domain, or the error of ctx if ctx ends before the
// last size is measured.
func Run(ctx context.Context, options Options, out io.Writer) ([]Result, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var results []Result
	for _, size := range options.DaemonCounts {
		if size < 2*failureDomainCount {
			return nil, fmt.Errorf("cluster size %d is below the minimum of %d daemons", size, 2*failureDomainCount)
		}
		result := measureSize(ctx, options, size, out)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// measureSize measures a new cluster of the given size in each scenario. If ctx ends, the
// result is incomplete.
func measureSize(ctx context.Context, options Options, size int, out io.Writer) Result {
	started, before := time.Now(), heapBytes()
	c := newCluster(ctx, options.Seed, size, uint32(options.ShardsPerService)) //nolint:gosec // A number of shards fits.
	r := Result{Daemons: size}
	for i := range size {
		c.schedule(virtualTime(c.random.Int64N(int64(initialStartSpan))), func() { c.startProcess(i) })
	}
	r.addScenario(out, c.measureDisturbance("first start", initialStartSpan, func() {}))
	settledAt := c.now
	r.Settled = c.runUntil(stableTimeout, c.isStable)
	r.StableAfterSeconds = float64(c.now-settledAt) / float64(second)
	_, _ = fmt.Fprintf(out, "N=%d stable %t after %.0f s\n", size, r.Settled, r.StableAfterSeconds)
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

// findOwner returns a running daemon that serves units, or the first daemon if none does.
func (c *cluster) findOwner() *process {
	for _, p := range c.aliveProcesses() {
		if len(p.units) > 0 {
			return p
		}
	}
	return c.processes[0]
}

// restartAll schedules the restart of each running daemon: an abrupt end at a random time
// within restartSpan, and a new process after restartDowntime.
func (c *cluster) restartAll() {
	for _, p := range c.aliveProcesses() {
		c.schedule(virtualTime(c.random.Int64N(int64(restartSpan))), func() {
			p.kill()
			c.schedule(restartDowntime, func() { c.startProcess(p.index) })
		})
	}
}

// copiedRowsSize returns the size in bytes and the number of the table rows of which each
// daemon holds a copy.
func (c *cluster) copiedRowsSize() (size, count int) {
	for _, prefix := range scannedPrefixes() {
		rows, _, err := c.table.Scan(context.Background(), prefix, 0)
		if err != nil {
			panic(err) // The in-memory table fails only when its context ends.
		}
		for _, row := range rows {
			size += len(row.Key()) + len(row.Value())
		}
		count += len(rows)
	}
	return size, count
}

// WriteJSON writes the results as indented JSON.
func WriteJSON(out io.Writer, results []Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

// addScenario adds the scenario to the result and writes its figures as text.
func (r *Result) addScenario(out io.Writer, s Scenario) {
	r.Scenarios = append(r.Scenarios, s)
	c := s.Cost
	_, _ = fmt.Fprintf(out, "N=%d %s: complete %t, n=%d p50 %.0f ms p99 %.0f ms max %.0f ms; %.1f s\n",
		r.Daemons, s.Name, s.Complete, s.TimesMillis.Count, s.TimesMillis.P50, s.TimesMillis.P99, s.TimesMillis.Max, c.Seconds)
	_, _ = fmt.Fprintf(out, "  table, peak second: %d reads, %d transactions, %d rows, %d conflicts; in total %d transactions, %d rows, %d conflicts\n",
		c.TablePeakSecond.Reads, c.TablePeakSecond.Writes, c.TablePeakSecond.Rows, c.TablePeakSecond.Conflicts, c.TableTransactions, c.TableRowsWritten, c.TableConflicts)
	printCost(out, c)
}

// printSettled writes the figures of the settled cluster as text.
func (r *Result) printSettled(out io.Writer) {
	_, _ = fmt.Fprintf(out, "N=%d settled: heap %d bytes per daemon, copy of %d rows with %d bytes, table %.1f reads/s %.2f writes/s\n",
		r.Daemons, r.HeapBytesPerDaemon, r.Rows, r.RowBytes, r.SettledCost.TableReadsPerSecond, r.SettledCost.TableWritesPerSecond)
	printCost(out, r.SettledCost)
}

func printCost(out io.Writer, c Cost) {
	_, _ = fmt.Fprintf(out, "  per daemon and second: %.1f messages, %.0f bytes (largest daemon %.0f, peak second %.0f) %v, step %.0f us, codec %.0f us, largest daemon %.0f us (CPU time per wall time %.2f)\n",
		c.MessagesPerSecond, c.BytesPerSecond, c.MaxDaemonBytesPerSecond, c.PeakSecondBytesPerDaemon, c.BytesPerSecondByKind, c.StepMicrosPerSecond, c.CodecMicrosPerSecond, c.MaxDaemonCPUMicrosPerSecond, c.CPUShareOfWall)
}
