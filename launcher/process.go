package launcher

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// Process is a program that a deployment started.
type Process struct {
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	err     error
}

// ProcessConfig configures a process.
type ProcessConfig struct {
	// Program is the path of the program.
	Program string
	Args    []string
	// Environment is added to that of this process, as NAME=VALUE.
	Environment []string
	// Log is the path of the file to which its output is appended.
	Log string
}

// start runs a program whose output goes to a log file named after the process.
func (d *Deployment) start(name, program string, args ...string) (*Process, error) {
	return StartProcess(ProcessConfig{Program: filepath.Join(d.Config.Bin, program), Args: args, Log: d.path(name + ".log")})
}

// StartProcess starts a process, which ends at the latest with this one.
func StartProcess(p ProcessConfig) (*Process, error) {
	f, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := exec.Command(p.Program, p.Args...) //nolint:gosec,noctx // The project's own programs; they outlive the call.
	c.Env = append(os.Environ(), p.Environment...)
	c.Stdout, c.Stderr = f, f
	// A demonstration that is killed must not leave processes behind.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := c.Start(); err != nil {
		_ = f.Close()
		return nil, merry.Prepend(err, p.Program)
	}
	k := &Process{command: c, log: f, done: make(chan struct{})}
	go func() {
		k.err = c.Wait()
		_ = f.Close()
		close(k.done)
	}()
	return k, nil
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Signal sends a signal; a process that has ended ignores it.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// ID returns the id of the process.
func (p *Process) ID() int {
	return p.command.Process.Pid
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}
