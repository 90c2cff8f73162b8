// Package daisylog writes JSON lines, one for each routing or placement decision.
//
// A decision's line is made and written by a goroutine of the log, off the path
// of the request. The buffer between them is bounded and loses nothing: when it
// is full, Write waits for room, so that a writer that can't keep up slows the
// requests down in place of leaving a gap that nobody sees.
package daisylog

import (
	"bufio"
	"io"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
)

// DefaultBuffer is the number of lines that wait to be written before Write blocks.
const DefaultBuffer = 8192

// Options are what a Log depends on.
type Options struct {
	Output io.Writer
	// Level is one of trace, debug, info, warn, error and off.
	Level string
	// Buffer is the number of waiting lines; 0 stands for DefaultBuffer.
	Buffer int
}

// Log writes lines in the order of their Write. It is safe for concurrent use.
type Log struct {
	logger hclog.Logger
	output *lockedWriter
	lines  chan Line
	waited atomic.Uint64
	// closing keeps Write and Close apart.
	closing sync.RWMutex
	closed  bool
	ended   sync.WaitGroup
}

// New starts a log. It fails with daisyerror.InvalidSetting for an unknown level.
func New(options Options) (*Log, error) {
	level := hclog.LevelFromString(options.Level)
	if level == hclog.NoLevel {
		return nil, daisyerror.InvalidSetting.New("--log-level %q: want trace, debug, info, warn, error or off", options.Level)
	}
	buffer := options.Buffer
	if buffer == 0 {
		buffer = DefaultBuffer
	}
	output := &lockedWriter{buffer: bufio.NewWriter(options.Output)}
	l := &Log{
		logger: hclog.New(&hclog.LoggerOptions{Name: "daisyd", Level: level, Output: output, JSONFormat: true}),
		output: output,
		lines:  make(chan Line, buffer),
	}
	l.ended.Go(func() {
		for n := range l.lines {
			l.print(n)
			if len(l.lines) == 0 {
				output.flush()
			}
		}
		output.flush()
	})
	return l, nil
}

// Write hands a line over; it waits while the buffer is full. A line after Close is written at once.
func (l *Log) Write(line Line) {
	if l == nil || !l.logger.IsInfo() {
		return
	}
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed {
		l.print(line)
		l.output.flush()
		return
	}
	select {
	case l.lines <- line:
	default:
		l.waited.Add(1)
		l.lines <- line
	}
}

// Waited counts the lines that had to wait for room in the buffer.
func (l *Log) Waited() uint64 { return l.waited.Load() }

// Logger gives a logger for messages that are not decisions; each is written at once.
func (l *Log) Logger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "daisyd", Level: l.logger.GetLevel(), Output: flushingWriter{l.output}, JSONFormat: true})
}

// Close writes what is left and waits for it.
func (l *Log) Close() {
	l.closing.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.closing.Unlock()
	l.ended.Wait()
}

func (l *Log) print(line Line) {
	switch n := line.(type) {
	case Sent:
		l.logger.Info("request sent", "fleet", n.Service.Fleet, "service", n.Service.Name, "rank", n.Rank,
			"endpoint", n.Endpoint.String(), "why", n.Why, "choice", n.Choice, "considered", addresses(n.Considered),
			"free", n.Free, "waited", n.Waited.String(), "request", n.Request, "attempt", n.Attempt)
	case Refused:
		l.logger.Info("request refused", "fleet", n.Service.Fleet, "service", n.Service.Name, "rank", n.Rank,
			"why", n.Why, "status", n.Status, "waited", n.Waited.String(), "request", n.Request)
	case Canceled:
		l.logger.Info("attempt canceled", "fleet", n.Service.Fleet, "service", n.Service.Name, "rank", n.Rank,
			"endpoint", n.Endpoint.String(), "request", n.Request, "attempt", n.Attempt)
	case Changed:
		l.logger.Info("endpoint changed", "fleet", n.Service.Fleet, "service", n.Service.Name,
			"endpoint", n.Endpoint.String(), "condition", n.Condition)
	case Placed:
		l.logger.Info("credits placed", "fleet", n.Service.Fleet, "service", n.Service.Name,
			"vm", n.VM, "why", n.Why, "considered", n.Considered)
	}
}

func addresses(a []netip.AddrPort) string {
	var b strings.Builder
	for i, x := range a {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(x.String())
	}
	return b.String()
}

// lockedWriter is shared by the goroutine of the log and by its loggers.
type lockedWriter struct {
	mu     sync.Mutex
	buffer *bufio.Writer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

func (w *lockedWriter) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.buffer.Flush()
}

type flushingWriter struct{ *lockedWriter }

func (w flushingWriter) Write(p []byte) (int, error) {
	n, err := w.lockedWriter.Write(p)
	w.flush()
	return n, err
}
