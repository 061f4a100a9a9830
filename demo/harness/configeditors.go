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
	// editInterval is the pause of an editor between two edits.
	editInterval = 4 * time.Second
	// acceptanceTimeout bounds how long the client waits until an edit is accepted.
	acceptanceTimeout = "8s"
	// Edits set queueLimit to minQueueLimit and the queueLimitSteps-1 values above
	// it, in turn.
	minQueueLimit   = 40
	queueLimitSteps = 20
)

// AcceptedVersion is a configuration version that was reported as accepted.
type AcceptedVersion struct {
	version            uint64
	acceptedUnixMicros int64
	duration           time.Duration
}

// Version returns the configuration version.
func (a AcceptedVersion) Version() uint64 { return a.version }

// AcceptedUnixMicros returns when the editor received the acceptance.
func (a AcceptedVersion) AcceptedUnixMicros() int64 { return a.acceptedUnixMicros }

// Duration returns the time from the start of the edit to its acceptance.
func (a AcceptedVersion) Duration() time.Duration { return a.duration }

// ConfigEditors edits the configuration during a run, from one goroutine for each
// example organisation. Concurrent edits can conflict.
type ConfigEditors struct {
	cluster  *Cluster
	stop     context.CancelFunc
	editors  conc.WaitGroup
	mutex    sync.Mutex
	accepted []AcceptedVersion
	attempts int
}

// StartConfigEditors starts one editor for each example organisation.
func (c *Cluster) StartConfigEditors(ctx context.Context) *ConfigEditors {
	ctx, stop := context.WithCancel(ctx)
	e := &ConfigEditors{cluster: c, stop: stop}
	for organisation, shardParameter := range organisationShardParameters() {
		e.editors.Go(func() { e.editPeriodically(ctx, organisation, shardParameter) })
	}
	return e
}

// Stop ends the edits. It returns the accepted versions and the number of attempted
// edits. Edits that were not accepted had a conflict with another editor, met an
// outage, or timed out while a region was pending.
func (e *ConfigEditors) Stop() ([]AcceptedVersion, int) {
	e.stop()
	e.editors.Wait()
	return e.accepted, e.attempts
}

// editPeriodically changes the queue limit of an organisation until ctx ends.
func (e *ConfigEditors) editPeriodically(ctx context.Context, organisation, shardParameter string) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(editInterval):
		}
		file, err := e.cluster.writeOrganisationFile(organisation, shardParameter, map[string]any{"queueLimit": minQueueLimit + n%queueLimitSteps})
		if err != nil {
			continue
		}
		start := time.Now()
		version, ok := e.applyEdit(ctx, file)
		e.mutex.Lock()
		e.attempts++
		if ok {
			now := time.Now()
			e.accepted = append(e.accepted, AcceptedVersion{version: version, acceptedUnixMicros: now.UnixMicro(), duration: now.Sub(start)})
		}
		e.mutex.Unlock()
	}
}

// applyEdit applies a file on top of the stored version. It returns the new version
// and reports whether that version was accepted.
func (e *ConfigEditors) applyEdit(ctx context.Context, file string) (uint64, bool) {
	var status struct {
		StoredVersion uint64 `json:"storedVersion"`
	}
	output, err := e.cluster.runCLI(ctx, "status", "--json")
	if err != nil || json.Unmarshal(output, &status) != nil {
		return 0, false
	}
	output, err = e.cluster.runCLI(ctx, "apply", file, "--expect", fmt.Sprint(status.StoredVersion),
		"--author", "bwdemo", "--timeout", acceptanceTimeout, "--json")
	if err != nil {
		return 0, false
	}
	lines := bytes.Split(bytes.TrimSpace(output), []byte("\n"))
	var result struct {
		State   string `json:"state"`
		Version uint64 `json:"version"`
	}
	if json.Unmarshal(lines[len(lines)-1], &result) != nil {
		return 0, false
	}
	return result.Version, result.State == "accepted"
}

// runCLI runs the operator's command-line client and returns its standard output.
func (c *Cluster) runCLI(ctx context.Context, arguments ...string) ([]byte, error) {
	arguments = append(arguments, "--table", c.TableURL(), "--objects", c.objectURL())
	command := exec.CommandContext(ctx, c.options.Programs.CLI(), arguments...)
	var errorOutput bytes.Buffer
	command.Stderr = &errorOutput
	output, err := command.Output()
	if err != nil {
		return output, fmt.Errorf("%s: %w\n%s", command, err, errorOutput.Bytes())
	}
	return output, nil
}

// organisationShardParameters maps each example organisation to the name of its
// parameter for the number of shards.
func organisationShardParameters() map[string]string {
	return map[string]string{"lagos": "bookingShards", "primeiro-dia": "signOffShards"}
}

// writeOrganisationFile writes the file of an example organisation, with the number
// of shards of the options and the given parameters, and returns its path.
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
