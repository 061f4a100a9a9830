// Package mutation runs the tests of a package on a source file with a fault put
// into it. A suite that passes nevertheless would not notice the fault.
package mutation

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// runTimeout bounds one run: a fault may make a test wait for ever.
const runTimeout = time.Minute

// Mutant is a fault: one piece of text of a source file, replaced by another.
type Mutant struct {
	name        string
	file        string
	original    string
	replacement string
}

// New returns a mutant of the file, relative to the tested package.
func New(name, file, original, replacement string) Mutant {
	return Mutant{name: name, file: file, original: original, replacement: replacement}
}

// Name returns the name of the fault.
func (m Mutant) Name() string { return m.name }

// MatchCountError reports that the original text does not stand exactly once in the
// file, as after a change of the source.
type MatchCountError struct {
	file  string
	count int
}

// Count returns how often the text was found.
func (e *MatchCountError) Count() int { return e.count }

func (e *MatchCountError) Error() string {
	return fmt.Sprintf("place of the fault found %d times in %s, expected once", e.count, e.file)
}

// Run runs the tests whose names match pattern in the current package with the
// fault, and returns their output. The error of a failed test run is an
// *exec.ExitError. Files for the compiler are written to folder.
func (m Mutant) Run(ctx context.Context, folder, pattern string, environment ...string) (string, error) {
	overlay, err := m.writeOverlay(folder)
	if err != nil {
		return "", err
	}
	command := exec.CommandContext(ctx, "go", "test", "-overlay", overlay, "-run", pattern, "-count=1", "-v", "-timeout="+runTimeout.String(), ".")
	command.Env = append(os.Environ(), environment...)
	output, err := command.CombinedOutput()
	return string(output), err
}

// writeOverlay writes the mutated file and the list that makes the compiler use it.
func (m Mutant) writeOverlay(folder string) (string, error) {
	path, err := filepath.Abs(m.file)
	if err != nil {
		return "", err
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(source), m.original); count != 1 {
		return "", &MatchCountError{file: m.file, count: count}
	}
	mutated := filepath.Join(folder, "mutant.go")
	text := strings.Replace(string(source), m.original, m.replacement, 1)
	if err := os.WriteFile(mutated, []byte(text), 0o600); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {path: mutated}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(folder, "overlay.json")
	return overlay, os.WriteFile(overlay, list, 0o600)
}
