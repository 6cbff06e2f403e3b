// Package launcher runs a whole system as separate processes on one machine, for the demo and for tests.
package launcher

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// Process is a child process. Signals go only to its process ID, never to processes by name.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// Log is the path of the file that receives stdout and stderr.
	Log  string
	done chan error
}

func start(dir, name, binary string, args ...string) (*Process, error) {
	return StartProcess(dir, name, nil, binary, args...)
}

// StartProcess starts a process with additional environment variables. Its output is appended to NAME.log in the
// directory.
func StartProcess(dir, name string, environment []string, binary string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.Env = append(os.Environ(), environment...)
	// The kernel kills the child when the launcher dies, so an interrupted demo leaves no processes behind.
	// A process group of its own: when the leader of an orphaned group ends, the kernel continues its stopped processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
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

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	_ = p.Wait()
}
