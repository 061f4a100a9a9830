package harness_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/demo/harness"
)

// TestCloseKillsProcessesAndChildren guards against processes that outlive a run:
// children of a killed process, and processes that were frozen by SIGSTOP.
func TestCloseKillsProcessesAndChildren(t *testing.T) {
	is := is.New(t)
	processes, err := harness.NewProcessSet(t.TempDir())
	is.NoErr(err)
	shell, err := processes.Start("shell", "/bin/sh", "-c", "sleep 600 & echo $!; wait")
	is.NoErr(err)
	awaitOutput(is, processes.FilePath("shell.log"))
	frozen, err := processes.Start("frozen", "/bin/sleep", "600")
	is.NoErr(err)
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	is.NoErr(processes.Close())
	is.True(!shell.Running())
	is.True(!frozen.Running())
	log, err := os.ReadFile(processes.FilePath("shell.log"))
	is.NoErr(err)
	lines := strings.Fields(string(log))
	for deadline := time.Now().Add(time.Minute); isAlive(lines[len(lines)-1]); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	is.NoErr(shell.Signal(syscall.SIGTERM))
}

// awaitOutput waits until the log has a line after the command line.
func awaitOutput(is *is.I, path string) {
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		log, err := os.ReadFile(path)
		is.NoErr(err)
		if strings.Count(string(log), "\n") > 1 {
			return
		}
		is.True(time.Now().Before(deadline))
	}
}

// isAlive reports whether a process exists and is not a zombie.
func isAlive(pid string) bool {
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	return err == nil && !strings.Contains(string(stat), ") Z ")
}

// TestStopKillsAfterTimeout guards against a Stop that never returns because the
// process ignores SIGTERM, and against the loss of a process's output when it is
// started again.
func TestStopKillsAfterTimeout(t *testing.T) {
	is := is.New(t)
	processes, err := harness.NewProcessSet(t.TempDir())
	is.NoErr(err)
	defer func() { is.NoErr(processes.Close()) }()
	for _, text := range []string{"first", "second"} {
		p, err := processes.Start("p", "/bin/sh", "-c", "trap '' TERM; echo "+text+"; sleep 600 & wait; wait")
		is.NoErr(err)
		_, err = p.Stop(10 * time.Millisecond)
		is.NoErr(err)
		is.True(!p.Running())
	}
	log, err := os.ReadFile(processes.FilePath("p.log"))
	is.NoErr(err)
	is.Equal(strings.Count(string(log), "# /bin/sh"), 2)
	_, err = processes.Start("missing", "/does/not/exist")
	var startError *harness.StartError
	is.True(errors.As(err, &startError))
}

// TestNewProcessSetRefusesUsedFolder guards against an audit that mixes the records of
// two runs, which happens if a run starts in the folder of an earlier one.
func TestNewProcessSetRefusesUsedFolder(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	_, err := harness.NewProcessSet(folder)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(folder, "a.acceptances"), nil, 0o600))
	_, err = harness.NewProcessSet(folder)
	var notEmptyError *harness.FolderNotEmptyError
	is.True(errors.As(err, &notEmptyError))
}
