package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Programs holds the paths of the built programs.
type Programs struct {
	folder string
}

// NewPrograms returns the programs in folder.
func NewPrograms(folder string) Programs { return Programs{folder: folder} }

// Daemon returns the path of briarwelld.
func (p Programs) Daemon() string { return filepath.Join(p.folder, "briarwelld") }

// CLI returns the path of briarwell.
func (p Programs) CLI() string { return filepath.Join(p.folder, "briarwell") }

// StandIn returns the path of standin.
func (p Programs) StandIn() string { return filepath.Join(p.folder, "standin") }

// LoadGenerator returns the path of bwload.
func (p Programs) LoadGenerator() string { return filepath.Join(p.folder, "bwload") }

// Sidecar returns the path of sidecar.
func (p Programs) Sidecar() string { return filepath.Join(p.folder, "sidecar") }

// Build builds all programs of the workspace at root into the folder.
func (p Programs) Build(ctx context.Context, root string) error {
	if err := os.MkdirAll(p.folder, 0o755); err != nil {
		return err
	}
	modules := map[string]string{"daemon": p.Daemon(), "ctl": p.CLI(), "standin": p.StandIn(), "load": p.LoadGenerator(), "sidecar": p.Sidecar()}
	for module, program := range modules {
		output, err := filepath.Abs(program)
		if err != nil {
			return err
		}
		command := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", output, ".")
		command.Dir = filepath.Join(root, module)
		if text, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", module, err, text)
		}
	}
	return nil
}
