package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// editInterval separates two edits of one operator.
	editInterval = 4 * time.Second
	// acceptTimeout bounds the wait for the acceptance of an edit.
	acceptTimeout = "8s"
	// smallestQueue and queueSteps bound the values that the edits set.
	smallestQueue = 40
	queueSteps    = 20
)

// AcceptedVersion is a configuration version that was reported as accepted.
type AcceptedVersion struct {
	version    uint64
	unixMicros int64
	took       time.Duration
}

// Version returns the version.
func (a AcceptedVersion) Version() uint64 { return a.version }

// UnixMicros returns when the operator saw the acceptance.
func (a AcceptedVersion) UnixMicros() int64 { return a.unixMicros }

// Took returns the time from the start of the edit to the acceptance.
func (a AcceptedVersion) Took() time.Duration { return a.took }

// Operators edit the configuration during a run, and race with each other.
type Operators struct {
	cluster  *Cluster
	stop     context.CancelFunc
	group    conc.WaitGroup
	lock     sync.Mutex
	accepted []AcceptedVersion
	tried    int
}

// StartOperators starts one operator for each example organisation.
func (c *Cluster) StartOperators(ctx context.Context) *Operators {
	ctx, stop := context.WithCancel(ctx)
	o := &Operators{cluster: c, stop: stop}
	for name, parameter := range organisations() {
		o.group.Go(func() { o.edit(ctx, name, parameter) })
	}
	return o
}

// Stop ends the edits. It returns the accepted versions and the number of edits
// that were tried; the others met a conflict, an outage or a pending region.
func (o *Operators) Stop() ([]AcceptedVersion, int) {
	o.stop()
	o.group.Wait()
	return o.accepted, o.tried
}

func (o *Operators) edit(ctx context.Context, name, shardParameter string) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(editInterval):
		}
		file, err := o.cluster.organisation(name, shardParameter, map[string]any{"queueLimit": smallestQueue + n%queueSteps})
		if err != nil {
			continue
		}
		start := time.Now()
		version, ok := o.apply(ctx, file)
		o.lock.Lock()
		o.tried++
		if ok {
			now := time.Now()
			o.accepted = append(o.accepted, AcceptedVersion{version: version, unixMicros: now.UnixMicro(), took: now.Sub(start)})
		}
		o.lock.Unlock()
	}
}

// apply edits on the base of the stored version and tells whether the edit was
// accepted.
func (o *Operators) apply(ctx context.Context, file string) (uint64, bool) {
	var stored struct {
		StoredVersion uint64 `json:"storedVersion"`
	}
	text, err := o.cluster.control(ctx, "status", "--json")
	if err != nil || json.Unmarshal(text, &stored) != nil {
		return 0, false
	}
	text, err = o.cluster.control(ctx, "apply", file, "--expect", fmt.Sprint(stored.StoredVersion),
		"--author", "bwdemo", "--timeout", acceptTimeout, "--json")
	if err != nil {
		return 0, false
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	var state struct {
		State   string `json:"state"`
		Version uint64 `json:"version"`
	}
	if json.Unmarshal(lines[len(lines)-1], &state) != nil {
		return 0, false
	}
	return state.Version, state.State == "accepted"
}

// control runs the operator's command line and returns its standard output.
func (c *Cluster) control(ctx context.Context, arguments ...string) ([]byte, error) {
	arguments = append(arguments, "--table", c.TableURL(), "--objects", c.objectURL())
	command := exec.CommandContext(ctx, c.options.Programs.Control(), arguments...)
	var errors bytes.Buffer
	command.Stderr = &errors
	text, err := command.Output()
	if err != nil {
		return text, fmt.Errorf("%s: %w\n%s", command, err, errors.Bytes())
	}
	return text, nil
}

// organisations returns the example organisations and the names of their
// parameters for the number of shards.
func organisations() map[string]string {
	return map[string]string{"lagos": "bookingShards", "primeiro-dia": "signOffShards"}
}

// organisation writes the file of an example organisation with the number of
// shards of the options and further parameters, and returns its path.
func (c *Cluster) organisation(name, shardParameter string, parameters map[string]any) (string, error) {
	text, err := os.ReadFile(c.example(name))
	if err != nil {
		return "", err
	}
	var body struct {
		Name       string         `json:"name"`
		Kind       string         `json:"kind"`
		Parameters map[string]any `json:"parameters"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return "", err
	}
	if c.options.Shards > 0 {
		body.Parameters[shardParameter] = c.options.Shards
	}
	for parameter, value := range parameters {
		body.Parameters[parameter] = value
	}
	if text, err = json.MarshalIndent(body, "", "  "); err != nil {
		return "", err
	}
	path := c.group.File(name + ".organisation.json")
	return path, os.WriteFile(path, text, 0o644)
}
