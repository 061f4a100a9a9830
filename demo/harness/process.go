// Package harness starts the programs of briarwell as separate processes on
// loopback addresses, and stops all of them.
package harness

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one started program.
type Process struct {
	name      string
	cmd       *exec.Cmd
	logFile   *os.File
	done      chan struct{}
	exitError error
}

// StartError reports a program that couldn't be started.
type StartError struct {
	name  string
	cause error
}

// Name returns the name of the process.
func (e *StartError) Name() string { return e.name }

func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.name, e.cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.cause }

// Name returns the name of the process, which is also that of its log file.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running tells whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitError returns how the process ended; it is valid after Done is closed.
func (p *Process) ExitError() error { return p.exitError }

// Signal sends a signal to the process and its children.
func (p *Process) Signal(signal syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	err := syscall.Kill(-p.PID(), signal)
	if errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return err
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop asks the process to end, and kills it after the timeout. It returns how
// long the process took.
func (p *Process) Stop(timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-p.done:
		return time.Since(start), nil
	case <-time.After(timeout):
		return time.Since(start), p.Kill()
	}
}

// ProcessSet holds the processes of one run. It is safe for concurrent use.
type ProcessSet struct {
	folder  string
	mutex   sync.Mutex
	started []*Process
}

// FolderNotEmptyError reports a folder that holds files of another run. Its acceptances
// would be audited together with those of this run.
type FolderNotEmptyError struct {
	folder string
}

// Folder returns the folder.
func (e *FolderNotEmptyError) Folder() string { return e.folder }

func (e *FolderNotEmptyError) Error() string {
	return "folder " + e.folder + " is not empty: it would mix the records of two runs"
}

// NewProcessSet returns a group whose processes write their logs to folder, which
// must be empty or absent. Otherwise it returns a *FolderError.
func NewProcessSet(folder string) (*ProcessSet, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	if len(entries) > 0 {
		return nil, &FolderNotEmptyError{folder: folder}
	}
	return &ProcessSet{folder: folder}, nil
}

// Folder returns the folder of logs and records.
func (g *ProcessSet) Folder() string { return g.folder }

// FilePath returns the path of a file in the folder.
func (g *ProcessSet) FilePath(name string) string { return filepath.Join(g.folder, name) }

// Start starts a program in a process group of its own. Both output streams
// are appended to NAME.log. It returns a *StartError.
func (g *ProcessSet) Start(name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(g.FilePath(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &StartError{name: name, cause: err}
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	_, _ = fmt.Fprintf(log, "# %s\n", command)
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, &StartError{name: name, cause: err}
	}
	p := &Process{name: name, cmd: command, logFile: log, done: make(chan struct{})}
	go p.waitForExit()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.started = append(g.started, p)
	return p, nil
}

func (p *Process) waitForExit() {
	p.exitError = p.cmd.Wait()
	_ = p.logFile.Close()
	close(p.done)
}

// Close kills all processes of the group and waits for their ends.
func (g *ProcessSet) Close() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var err error
	for _, p := range g.started {
		err = errors.Join(err, p.Kill())
	}
	return err
}
