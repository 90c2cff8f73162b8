package main

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

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
		close(ended)
	}()
	return nil
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

// freeAddress gives a loopback address that nothing listens on just now.
func freeAddress() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, daisyerror.Unavailable.Wrap(err, "finding a free port")
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if err := listener.Close(); err != nil {
		return netip.AddrPort{}, daisyerror.Unavailable.Wrap(err, "finding a free port")
	}
	return address, nil
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
