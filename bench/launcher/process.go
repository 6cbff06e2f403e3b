// Package launcher runs a whole system as separate processes on one machine: for the demo and for tests.
package launcher

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// Process is a running child process. It is only ever ended by its own process ID.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// Log is the path of the file with the process's output.
	Log  string
	done chan error
}

func start(folder, name, binary string, args ...string) (*Process, error) {
	return StartProcess(folder, name, nil, binary, args...)
}

// StartProcess starts one process with further environment variables. Its output goes to a file in the folder.
func StartProcess(folder, name string, environment []string, binary string, args ...string) (*Process, error) {
	path := filepath.Join(folder, name+".log")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.Env = append(os.Environ(), environment...)
	// The child dies with the launcher, so an interrupted demo leaves nothing behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	p := &Process{Name: name, cmd: cmd, Log: path, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	return p, nil
}

// ID returns the process ID.
func (p *Process) ID() int {
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	return errors.Trace(p.cmd.Process.Signal(s))
}

// Wait returns when the process has ended, with its exit error.
func (p *Process) Wait() error {
	err := <-p.done
	p.done <- err
	return err
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	_ = p.Wait()
}
