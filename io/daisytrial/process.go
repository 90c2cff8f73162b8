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

// Process is a program that can be stopped and started again.
type Process struct {
	name   string
	path   string
	args   []string
	logDir string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// cpuTime is the processor time and peakMemory the peak resident memory, in bytes, of
	// the runs that have ended.
	cpuTime    time.Duration
	peakMemory int64
}

// StartProcess starts a program and appends its output to NAME.log in the folder logDir.
// It fails with daisyerror.Unavailable.
func StartProcess(name, path, logDir string, args ...string) (*Process, error) {
	p := &Process{name: name, path: path, args: args, logDir: logDir}
	return p, p.Start()
}

// Start starts the program again after it has ended. It fails with daisyerror.Unavailable.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(filepath.Join(p.logDir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "opening the log of %s", p.name)
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		_ = file.Close()
		return daisyerror.Unavailable.Wrap(err, "starting %s", p.name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = file.Close()
		p.addUsage(cmd.ProcessState)
		close(done)
	}()
	return nil
}

// Name returns the name that was given to StartProcess.
func (p *Process) Name() string { return p.name }

// Usage returns the processor time and the peak resident memory, in bytes, of the runs
// that have ended.
func (p *Process) Usage() (cpuTime time.Duration, peakMemory int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cpuTime, p.peakMemory
}

// kilobyte is the unit of Maxrss on Linux, in bytes.
const kilobyte = 1024

func (p *Process) addUsage(s *os.ProcessState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cpuTime += s.UserTime() + s.SystemTime()
	if usage, ok := s.SysUsage().(*syscall.Rusage); ok {
		p.peakMemory = max(p.peakMemory, usage.Maxrss*kilobyte)
	}
}

// Signal sends a signal to the process, which has to have been started.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// Stop sends a signal and waits until the process has ended.
func (p *Process) Stop(s syscall.Signal) {
	p.Signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
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
