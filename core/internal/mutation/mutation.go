// Package mutation runs the tests of a package with a fault injected into a source file.
// A test suite that still passes does not detect the fault.
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

// runTimeout bounds one test run, because a fault may make a test block forever.
const runTimeout = time.Minute

// Mutant is a fault that replaces one piece of text of a source file.
type Mutant struct {
	name        string
	file        string
	original    string
	replacement string
}

// New returns a mutant of file, whose path is relative to the directory of the tested
// package.
func New(name, file, original, replacement string) Mutant {
	return Mutant{name: name, file: file, original: original, replacement: replacement}
}

// Name returns the name of the fault.
func (m Mutant) Name() string { return m.name }

// MatchCountError reports that the file does not contain the original text exactly once,
// for example because the source has changed.
type MatchCountError struct {
	file  string
	count int
}

// Count returns how often the file contains the original text.
func (e *MatchCountError) Count() int { return e.count }

func (e *MatchCountError) Error() string {
	return fmt.Sprintf("original text of the mutant found %d times in %s, expected once", e.count, e.file)
}

// Run runs the tests of the current package whose names match pattern with the fault,
// and returns their output. If the tests fail, the error is an *exec.ExitError. Files
// for the compiler are written to directory.
func (m Mutant) Run(ctx context.Context, directory, pattern string, environment ...string) (string, error) {
	overlay, err := m.writeOverlay(directory)
	if err != nil {
		return "", err
	}
	command := exec.CommandContext(ctx, "go", "test", "-overlay", overlay, "-run", pattern, "-count=1", "-v", "-timeout="+runTimeout.String(), ".")
	command.Env = append(os.Environ(), environment...)
	output, err := command.CombinedOutput()
	return string(output), err
}

// writeOverlay writes the mutated file and the overlay file that makes the compiler use
// it, and returns the path of the latter.
func (m Mutant) writeOverlay(directory string) (string, error) {
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
	mutatedPath := filepath.Join(directory, "mutant.go")
	text := strings.Replace(string(source), m.original, m.replacement, 1)
	if err := os.WriteFile(mutatedPath, []byte(text), 0o600); err != nil {
		return "", err
	}
	overlayJSON, err := json.Marshal(map[string]map[string]string{"Replace": {path: mutatedPath}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(directory, "overlay.json")
	return overlay, os.WriteFile(overlay, overlayJSON, 0o600)
}
