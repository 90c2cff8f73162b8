package daisytrial

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"daisyyoke/core/daisyerror"
)

// Process is one started program.
type Process struct {
	name string
	path string
	args []string
	logs string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// spent is the processor time and peak the most memory, in bytes, of ended runs.
	spent time.Duration
	peak  int64
}

// StartProcess starts a program that writes its output to NAME.log in the folder
// logs. It fails with daisyerror.Unavailable.
func StartProcess(name, path, logs string, args ...string) (*Process, error) {
	p := &Process{name: name, path: path, args: args, logs: logs}
	return p, p.Start()
}

// Start starts the program again after its end. It fails with daisyerror.Unavailable.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "opening the log of %s", p.name)
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		_ = file.Close()
		return daisyerror.Unavailable.Wrap(err, "starting %s", p.name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = file.Close()
		p.account(cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// Name gives the name that the process was started with.
func (p *Process) Name() string { return p.name }

// Usage gives the processor time and the most memory, in bytes, of the runs that have ended.
func (p *Process) Usage() (spent time.Duration, peak int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spent, p.peak
}

// kilobyte is the unit in which Linux gives the most memory of a process.
const kilobyte = 1024

func (p *Process) account(s *os.ProcessState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent += s.UserTime() + s.SystemTime()
	if usage, ok := s.SysUsage().(*syscall.Rusage); ok {
		p.peak = max(p.peak, usage.Maxrss*kilobyte)
	}
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// Stop sends a signal and waits for the end.
func (p *Process) Stop(s syscall.Signal) {
	p.Signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// Build compiles daisyd and daisystand into a folder.
func Build(folder string) error {
	cmd := exec.Command("go", "build", "-o", folder+string(os.PathSeparator), "./cmd/daisyd", "./cmd/daisystand")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		return daisyerror.Unavailable.Wrap(err, "building the programs; run the trial from the root of the repository")
	}
	return nil
}
