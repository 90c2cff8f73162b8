package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"daisyyoke/core/daisyerror"
)

// process is one started program.
type process struct {
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

func startProcess(name, path, logs string, args ...string) (*process, error) {
	p := &process{name: name, path: path, args: args, logs: logs}
	return p, p.start()
}

func (p *process) start() error {
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

// kilobyte is the unit in which Linux gives the most memory of a process.
const kilobyte = 1024

func (p *process) account(s *os.ProcessState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent += s.UserTime() + s.SystemTime()
	if usage, ok := s.SysUsage().(*syscall.Rusage); ok {
		p.peak = max(p.peak, usage.Maxrss*kilobyte)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// stop sends a signal and waits for the end.
func (p *process) stop(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

const (
	// firstPort and lastPort lie below the ports that systems give to outgoing
	// connections, so that none takes a port between its choice and its use.
	firstPort = 15_000
	lastPort  = 30_000
)

// ports gives loopback addresses that nothing listens on.
type ports struct{ next uint16 }

func newPorts() *ports {
	return &ports{next: uint16(firstPort + rand.IntN((lastPort-firstPort)/2))}
}

// take gives the next free address. It fails with daisyerror.Unavailable.
func (p *ports) take() (netip.AddrPort, error) {
	for p.next < lastPort {
		p.next++
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p.next)
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		if err := listener.Close(); err == nil {
			return address, nil
		}
	}
	return netip.AddrPort{}, daisyerror.Unavailable.New("no free port below %d", lastPort)
}

// build compiles the programs of the trial into a folder.
func build(folder string) error {
	cmd := exec.Command("go", "build", "-o", folder+string(os.PathSeparator), "./cmd/daisyd", "./cmd/daisystand")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		return daisyerror.Unavailable.Wrap(err, "building the programs; run the trial from the root of the repository")
	}
	return nil
}
