// Package daisylog writes the log as JSON lines: one for each decision that concerns a
// request or changes the state of routing, and messages about the start, the stop and
// the dependencies of the process.
//
// A goroutine of the log encodes the lines and writes them in batches. Writers never
// wait for it: if the buffer is full, lines are dropped and counted. Above a maximum rate
// of lines, only a share of the requests is logged. They are sampled by a hash of the
// request's name, so that all VMs log either all lines of a request or none of them;
// failures are always logged.
package daisylog

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
)

// module is the name of the program on each line.
const module = "daisyd"

const (
	// DefaultBuffer is the number of lines that may wait to be written; further lines are dropped.
	DefaultBuffer = 8192
	// DefaultRate is the number of lines per second up to which every request is logged.
	DefaultRate = 2000
	// batchInterval is the time for which lines are collected into one write. If the process
	// is killed, it may lose the lines of that time: 200 lines at DefaultRate.
	batchInterval = 100 * time.Millisecond
	// closeTimeout is the time for which Close waits for an output that accepts no bytes.
	closeTimeout = time.Second
)

// entry is a line with the time at which it was passed to Write.
type entry struct {
	at   time.Time
	line Line
}

// Options configures a Log.
type Options struct {
	Output io.Writer
	// Level is one of trace, debug, info, warn, error and off.
	Level string
	// Buffer is the maximum number of lines that wait to be written; 0 means DefaultBuffer.
	Buffer int
	// Rate is the number of lines per second above which requests are sampled; 0 means
	// DefaultRate.
	Rate int
}

// Log writes lines in the order in which they are passed to Write. It is safe for
// concurrent use.
type Log struct {
	messages  hclog.Logger
	decisions *json.Encoder
	output    *bufio.Writer
	lines     chan entry
	sampler   *sampler
	dropped   atomic.Uint64
	// closeMu guards closed, and prevents Close from closing the channel during a send.
	closeMu sync.RWMutex
	closed  bool
	done    chan struct{}
}

// New starts a log. It fails with daisyerror.InvalidSetting for an unknown level.
func New(options Options) (*Log, error) {
	level := hclog.LevelFromString(options.Level)
	if level == hclog.NoLevel {
		return nil, daisyerror.InvalidSetting.New("--log-level %q: want trace, debug, info, warn, error or off", options.Level)
	}
	if options.Buffer == 0 {
		options.Buffer = DefaultBuffer
	}
	if options.Rate == 0 {
		options.Rate = DefaultRate
	}
	output := bufio.NewWriter(options.Output)
	l := &Log{
		messages:  newMessageLogger(level, output),
		decisions: newEncoder(output),
		output:    output,
		lines:     make(chan entry, options.Buffer),
		sampler:   newSampler(options.Rate),
		done:      make(chan struct{}),
	}
	go func() {
		defer close(l.done)
		reported := uint64(0)
		for e := range l.lines {
			l.encodeEntry(e)
			time.Sleep(batchInterval)
			for range len(l.lines) {
				l.encodeEntry(<-l.lines)
			}
			reported = l.reportDropped(reported)
			// A log has nowhere to report that its own output fails.
			_ = output.Flush()
		}
		l.reportDropped(reported)
		_ = output.Flush()
	}()
	return l, nil
}

func newMessageLogger(level hclog.Level, output io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: module, Level: level, Output: output, JSONFormat: true})
}

// reportDropped logs how many lines were dropped after the first reported ones, and returns
// the total.
func (l *Log) reportDropped(reported uint64) uint64 {
	dropped := l.dropped.Load()
	if dropped > reported {
		l.messages.Warn("log lines dropped", "lines", dropped-reported)
	}
	return dropped
}

// Write queues a line without blocking, unless the level or the sampling excludes it.
// The line is dropped if the buffer is full. On a nil Log, Write does nothing.
func (l *Log) Write(line Line) {
	if l == nil || !l.messages.IsInfo() {
		return
	}
	now := time.Now()
	if l.sampler.keep(now, line) {
		l.enqueue(entry{at: now, line: line})
	}
}

func (l *Log) enqueue(e entry) {
	l.closeMu.RLock()
	defer l.closeMu.RUnlock()
	if l.closed {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- e:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// SampledShare returns the share of requests that are currently logged, from 0 to 1.
func (l *Log) SampledShare() float64 { return l.sampler.share() }

// Logger returns a logger for messages that are not decisions. They are not sampled.
func (l *Log) Logger() hclog.Logger { return newMessageLogger(l.messages.GetLevel(), messageWriter{l}) }

// messageWriter queues the encoded lines of a logger, one for each call of Write.
type messageWriter struct{ log *Log }

func (w messageWriter) Write(p []byte) (int, error) {
	w.log.enqueue(entry{line: message{text: slices.Clone(p)}})
	return len(p), nil
}

// Close writes the queued lines. If the output blocks, Close returns after closeTimeout
// and the remaining lines are lost.
func (l *Log) Close() {
	l.closeMu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.closeMu.Unlock()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-l.done:
	case <-timeout.C:
	}
}
