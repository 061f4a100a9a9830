// Package harness runs the programs of briarwell and their stand-ins as separate
// processes on loopback addresses.
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

// Process is a started process.
type Process struct {
	name      string
	cmd       *exec.Cmd
	logFile   *os.File
	done      chan struct{}
	exitError error
}

// StartError reports a process that could not be started.
type StartError struct {
	name  string
	cause error
}

// Name returns the name of the process.
func (e *StartError) Name() string { return e.name }

func (e *StartError) Error() string { return fmt.Sprintf("start process %s: %v", e.name, e.cause) }

func (e *StartError) Unwrap() error { return e.cause }

// Name returns the name of the process, which is also that of its log file.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitError returns the error of the process's exit, nil for exit code 0. It is
// valid after Done is closed.
func (p *Process) ExitError() error { return p.exitError }

// Signal sends a signal to the process and its children. It does nothing if the
// process has ended.
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

// Kill sends SIGKILL to the process and its children and waits until the process
// has ended.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop sends SIGTERM to the process and its children, and SIGKILL after the timeout.
// It returns the time from the SIGTERM to the end of the process, or to the timeout.
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

// ProcessSet holds the processes of one run and the folder of their files. It is
// safe for concurrent use.
type ProcessSet struct {
	folder  string
	mutex   sync.Mutex
	started []*Process
}

// FolderNotEmptyError reports a folder that has files. If they are those of another
// run, its acceptance logs would be audited together with those of this run.
type FolderNotEmptyError struct {
	folder string
}

// Folder returns the path of the folder.
func (e *FolderNotEmptyError) Folder() string { return e.folder }

func (e *FolderNotEmptyError) Error() string {
	return "folder " + e.folder + " is not empty: the audit would mix the records of two runs"
}

// NewProcessSet returns an empty set whose processes write their logs to folder,
// which must be empty or absent. It creates the folder if it is absent, and returns a
// *FolderNotEmptyError if it has files.
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

// Folder returns the folder for logs and records.
func (s *ProcessSet) Folder() string { return s.folder }

// FilePath returns the path of a file in the folder.
func (s *ProcessSet) FilePath(name string) string { return filepath.Join(s.folder, name) }

// Start starts a program in its own process group, so that signals reach its
// children too. Standard output and standard error are appended to NAME.log, which
// keeps the output of earlier starts. It returns a *StartError on failure.
func (s *ProcessSet) Start(name, program string, arguments ...string) (*Process, error) {
	logFile, err := os.OpenFile(s.FilePath(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &StartError{name: name, cause: err}
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	_, _ = fmt.Fprintf(logFile, "# %s\n", command)
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return nil, &StartError{name: name, cause: err}
	}
	p := &Process{name: name, cmd: command, logFile: logFile, done: make(chan struct{})}
	go p.waitForExit()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started = append(s.started, p)
	return p, nil
}

func (p *Process) waitForExit() {
	p.exitError = p.cmd.Wait()
	_ = p.logFile.Close()
	close(p.done)
}

// Close kills all processes of the set and waits until they have ended.
func (s *ProcessSet) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var err error
	for _, p := range s.started {
		err = errors.Join(err, p.Kill())
	}
	return err
}
