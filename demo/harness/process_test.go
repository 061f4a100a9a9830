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

// TestCloseKillsProcessesAndChildren guards against processes, and children of processes, that
// outlive a run.
func TestCloseKillsProcessesAndChildren(t *testing.T) {
	is := is.New(t)
	group, err := harness.NewProcessSet(t.TempDir())
	is.NoErr(err)
	p, err := group.Start("shell", "/bin/sh", "-c", "sleep 600 & echo $!; wait")
	is.NoErr(err)
	awaitOutput(is, group.FilePath("shell.log"))
	frozen, err := group.Start("frozen", "/bin/sleep", "600")
	is.NoErr(err)
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	is.NoErr(group.Close())
	is.True(!p.Running())
	is.True(!frozen.Running())
	log, err := os.ReadFile(group.FilePath("shell.log"))
	is.NoErr(err)
	lines := strings.Fields(string(log))
	for deadline := time.Now().Add(time.Minute); alive(lines[len(lines)-1]); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	is.NoErr(p.Signal(syscall.SIGTERM))
}

// awaitOutput waits for the first line after the command line.
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

// alive tells whether a process exists and isn't a zombie.
func alive(pid string) bool {
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	return err == nil && !strings.Contains(string(stat), ") Z ")
}

// TestStopKillsAfterTimeout guards against a stop that waits for ever, and against losing the
// output of a process that was started again.
func TestStopKillsAfterTimeout(t *testing.T) {
	is := is.New(t)
	group, err := harness.NewProcessSet(t.TempDir())
	is.NoErr(err)
	defer func() { is.NoErr(group.Close()) }()
	for _, text := range []string{"first", "second"} {
		p, err := group.Start("p", "/bin/sh", "-c", "trap '' TERM; echo "+text+"; sleep 600 & wait; wait")
		is.NoErr(err)
		_, err = p.Stop(10 * time.Millisecond)
		is.NoErr(err)
		is.True(!p.Running())
	}
	log, err := os.ReadFile(group.FilePath("p.log"))
	is.NoErr(err)
	is.Equal(strings.Count(string(log), "# /bin/sh"), 2)
	_, err = group.Start("missing", "/does/not/exist")
	var startError *harness.StartError
	is.True(errors.As(err, &startError))
}

// TestNewProcessSetRefusesUsedFolder guards against an audit that mixes the records of two
// runs.
func TestNewProcessSetRefusesUsedFolder(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	_, err := harness.NewProcessSet(folder)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(folder, "a.acceptances"), nil, 0o600))
	_, err = harness.NewProcessSet(folder)
	var used *harness.FolderNotEmptyError
	is.True(errors.As(err, &used))
}
