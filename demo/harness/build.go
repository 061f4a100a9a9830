package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Programs returns the paths of the built programs.
type Programs struct {
	folder string
}

// NewPrograms returns the programs in folder; it does not check that they exist.
func NewPrograms(folder string) Programs { return Programs{folder: folder} }

// Daemon returns the path of briarwelld, the daemon.
func (p Programs) Daemon() string { return filepath.Join(p.folder, "briarwelld") }

// CLI returns the path of briarwell, the operator's command-line client.
func (p Programs) CLI() string { return filepath.Join(p.folder, "briarwell") }

// StandIn returns the path of standin, which runs the stand-ins of the table, the
// object store, the upstreams and the network.
func (p Programs) StandIn() string { return filepath.Join(p.folder, "standin") }

// LoadGenerator returns the path of bwload.
func (p Programs) LoadGenerator() string { return filepath.Join(p.folder, "bwload") }

// Sidecar returns the path of sidecar.
func (p Programs) Sidecar() string { return filepath.Join(p.folder, "sidecar") }

// Build builds all programs from the workspace at root into the folder, and
// creates the folder if it does not exist.
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
			return fmt.Errorf("build module %s: %w\n%s", module, err, text)
		}
	}
	return nil
}
