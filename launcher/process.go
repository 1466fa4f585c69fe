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

// start runs a program whose output goes to a log file named after the process.
func (d *Deployment) start(name, program string, args ...string) (*Process, error) {
	f, err := os.OpenFile(d.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := exec.Command(filepath.Join(d.Config.Bin, program), args...) //nolint:gosec,noctx // The project's own programs; they outlive the call.
	c.Stdout, c.Stderr = f, f
	// A demonstration that is killed must not leave processes behind.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := c.Start(); err != nil {
		_ = f.Close()
		return nil, merry.Prepend(err, name)
	}
	p := &Process{command: c, log: f, done: make(chan struct{})}
	go func() {
		p.err = c.Wait()
		_ = f.Close()
		close(p.done)
	}()
	return p, nil
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}
