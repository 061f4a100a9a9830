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
	// acceptanceTimeout bounds the wait for the acceptance of an edit.
	acceptanceTimeout = "8s"
	// minQueueLimit and queueSteps bound the values that the edits set.
	minQueueLimit   = 40
	queueLimitSteps = 20
)

// AcceptedVersion is a configuration version that was reported as accepted.
type AcceptedVersion struct {
	version            uint64
	acceptedUnixMicros int64
	duration           time.Duration
}

// Version returns the version.
func (a AcceptedVersion) Version() uint64 { return a.version }

// AcceptedUnixMicros returns when the operator saw the acceptance.
func (a AcceptedVersion) AcceptedUnixMicros() int64 { return a.acceptedUnixMicros }

// Duration returns the time from the start of the edit to the acceptance.
func (a AcceptedVersion) Duration() time.Duration { return a.duration }

// ConfigEditors edit the configuration during a run, and race with each other.
type ConfigEditors struct {
	cluster  *Cluster
	stop     context.CancelFunc
	editors  conc.WaitGroup
	mutex    sync.Mutex
	accepted []AcceptedVersion
	attempts int
}

// StartConfigEditors starts one operator for each example organisation.
func (c *Cluster) StartConfigEditors(ctx context.Context) *ConfigEditors {
	ctx, stop := context.WithCancel(ctx)
	o := &ConfigEditors{cluster: c, stop: stop}
	for name, parameter := range organisationShardParameters() {
		o.editors.Go(func() { o.editPeriodically(ctx, name, parameter) })
	}
	return o
}

// Stop ends the edits. It returns the accepted versions and the number of edits
// that were tried; the others met a conflict, an outage or a pending region.
func (o *ConfigEditors) Stop() ([]AcceptedVersion, int) {
	o.stop()
	o.editors.Wait()
	return o.accepted, o.attempts
}

func (o *ConfigEditors) editPeriodically(ctx context.Context, name, shardParameter string) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(editInterval):
		}
		file, err := o.cluster.writeOrganisationFile(name, shardParameter, map[string]any{"queueLimit": minQueueLimit + n%queueLimitSteps})
		if err != nil {
			continue
		}
		start := time.Now()
		version, ok := o.applyEdit(ctx, file)
		o.mutex.Lock()
		o.attempts++
		if ok {
			now := time.Now()
			o.accepted = append(o.accepted, AcceptedVersion{version: version, acceptedUnixMicros: now.UnixMicro(), duration: now.Sub(start)})
		}
		o.mutex.Unlock()
	}
}

// applyEdit edits on the base of the stored version and tells whether the edit was
// accepted.
func (o *ConfigEditors) applyEdit(ctx context.Context, file string) (uint64, bool) {
	var stored struct {
		StoredVersion uint64 `json:"storedVersion"`
	}
	text, err := o.cluster.runCLI(ctx, "status", "--json")
	if err != nil || json.Unmarshal(text, &stored) != nil {
		return 0, false
	}
	text, err = o.cluster.runCLI(ctx, "apply", file, "--expect", fmt.Sprint(stored.StoredVersion),
		"--author", "bwdemo", "--timeout", acceptanceTimeout, "--json")
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

// runCLI runs the operator's command line and returns its standard output.
func (c *Cluster) runCLI(ctx context.Context, arguments ...string) ([]byte, error) {
	arguments = append(arguments, "--table", c.TableURL(), "--objects", c.objectURL())
	command := exec.CommandContext(ctx, c.options.Programs.CLI(), arguments...)
	var errors bytes.Buffer
	command.Stderr = &errors
	text, err := command.Output()
	if err != nil {
		return text, fmt.Errorf("%s: %w\n%s", command, err, errors.Bytes())
	}
	return text, nil
}

// organisationShardParameters returns the example organisations and the names of their
// parameters for the number of shards.
func organisationShardParameters() map[string]string {
	return map[string]string{"lagos": "bookingShards", "primeiro-dia": "signOffShards"}
}

// writeOrganisationFile writes the file of an example organisation with the number of
// shards of the options and further parameters, and returns its path.
func (c *Cluster) writeOrganisationFile(name, shardParameter string, parameters map[string]any) (string, error) {
	text, err := os.ReadFile(c.examplePath(name))
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
	if c.options.ShardsPerService > 0 {
		body.Parameters[shardParameter] = c.options.ShardsPerService
	}
	for parameter, value := range parameters {
		body.Parameters[parameter] = value
	}
	if text, err = json.MarshalIndent(body, "", "  "); err != nil {
		return "", err
	}
	path := c.processes.FilePath(name + ".organisation.json")
	return path, os.WriteFile(path, text, 0o644)
}
