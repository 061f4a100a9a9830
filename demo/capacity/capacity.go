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
	// firstStart is the time over which the daemons of a new cluster start. It is
	// short, so that the first assignment finds all of them.
	firstStart = second / 2
	// startTime is the time over which all daemons restart.
	startTime = 10 * second
	// restartTime is the assumed time without a process in a restart.
	restartTime = second
	settleLimit = 120 * second
	// calmTime is longer than two intervals between plans, and than the one
	// between improvements of a witness set; calmLimit bounds the wait for it.
	calmTime  = 11 * second
	calmLimit = 300 * second
	// spanTime is the measured time of a settled cluster.
	spanTime = 20 * second
	// lossTime covers the 3 s in which a loss is to be served again, and the
	// second assignment.
	lossTime = 10 * second
)

// Options are the parameters of a run.
type Options struct {
	// Sizes are the numbers of daemons to measure.
	Sizes []int
	// Shards is the number of shards of each of the two services with keys.
	Shards int
	Seed   uint64
	// Restart adds a restart of all daemons, which takes long.
	Restart bool
}

// Run measures each size in turn, with one goroutine, and writes a table. It
// returns the context's error if that ends before the last size is measured.
func Run(ctx context.Context, options Options, out io.Writer) ([]Result, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var results []Result
	for _, size := range options.Sizes {
		if size < 2*failureDomains {
			return nil, fmt.Errorf("size %d: allowed from %d", size, 2*failureDomains)
		}
		result := runSize(ctx, options, size, out)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func runSize(ctx context.Context, options Options, size int, out io.Writer) Result {
	started, before := time.Now(), heap()
	c := newCluster(ctx, options.Seed, size, uint32(options.Shards)) //nolint:gosec // A number of shards fits.
	r := Result{Daemons: size}
	for i := range size {
		c.after(instant(c.random.Int64N(int64(firstStart))), func() { c.start(i) })
	}
	r.add(out, c.disturb("first start", firstStart, func() {}))
	calmFrom := c.now
	r.Settled = c.runUntil(calmLimit, c.calm)
	r.CalmSeconds = float64(c.now-calmFrom) / float64(second)
	_, _ = fmt.Fprintf(out, "N=%d calm %t after %.0f s\n", size, r.Settled, r.CalmSeconds)
	if ctx.Err() != nil {
		return r
	}
	r.RowBytes, r.Rows = c.rowBytes()
	r.HeapBytes = (heap() - before) / size
	r.Idle = c.measure(func() { c.run(c.now + spanTime) })
	r.print(out)
	r.add(out, c.newConfig())
	r.add(out, c.disturb("loss of one daemon", lossTime, c.owner().kill))
	r.add(out, c.disturb("loss of a failure domain", lossTime, func() {
		for _, p := range c.alive() {
			if p.domain == 1 {
				p.kill()
			}
		}
	}))
	if options.Restart {
		r.add(out, c.disturb("restart of all daemons", startTime+restartTime, c.restartAll))
	}
	r.WallSeconds, r.VirtualTotal = time.Since(started).Seconds(), float64(c.now)/float64(second)
	_, _ = fmt.Fprintf(out, "N=%d: %.0f s of virtual time in %.0f s\n", size, r.VirtualTotal, r.WallSeconds)
	return r
}

// owner returns a daemon that owns units.
func (c *cluster) owner() *process {
	for _, p := range c.alive() {
		if len(p.units) > 0 {
			return p
		}
	}
	return c.processes[0]
}

// restartAll kills each living daemon at some point of startTime and starts it
// again after restartTime.
func (c *cluster) restartAll() {
	for _, p := range c.alive() {
		c.after(instant(c.random.Int64N(int64(startTime))), func() {
			p.kill()
			c.after(restartTime, func() { c.start(p.index) })
		})
	}
}

// rowBytes returns the size and number of the rows that each daemon copies.
func (c *cluster) rowBytes() (size, count int) {
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

func (r *Result) add(out io.Writer, s Scenario) {
	r.Scenarios = append(r.Scenarios, s)
	c := s.Cost
	_, _ = fmt.Fprintf(out, "N=%d %s: complete %t, n=%d p50 %.0f ms p99 %.0f ms max %.0f ms; %.1f s\n",
		r.Daemons, s.Name, s.Complete, s.Times.Count, s.Times.Median, s.Times.P99, s.Times.Max, c.Seconds)
	_, _ = fmt.Fprintf(out, "  peak second: %d reads, %d transactions, %d rows, %d conflicts; in all %d transactions, %d rows, %d conflicts\n",
		c.Peak.Reads, c.Peak.Writes, c.Peak.Rows, c.Peak.Conflicts, c.Transactions, c.RowsWritten, c.Conflicts)
	printCost(out, c)
}

func (r *Result) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "N=%d settled: heap %d bytes a daemon, copy of %d rows with %d bytes, table %.1f reads/s %.2f writes/s\n",
		r.Daemons, r.HeapBytes, r.Rows, r.RowBytes, r.Idle.Reads, r.Idle.Writes)
	printCost(out, r.Idle)
}

func printCost(out io.Writer, c Cost) {
	_, _ = fmt.Fprintf(out, "  a daemon and second: %.1f messages, %.0f bytes (largest daemon %.0f, peak second %.0f) %v, step %.0f us, codec %.0f us, largest daemon %.0f us (CPU of wall %.2f)\n",
		c.Messages, c.Bytes, c.BytesMax, c.BytesPeak, c.BytesByKind, c.StepMicros, c.CodecMicros, c.CPUMax, c.CPUShare)
}
