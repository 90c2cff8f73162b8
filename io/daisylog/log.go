// Package daisylog writes JSON lines: one for each decision that touches a request
// or changes what the process believes, and messages on its start, stop and dependencies.
//
// A goroutine of the log encodes the lines and writes those of a short time at once.
// Nobody waits for it: lines for which the buffer has no room are dropped and counted. Above a rate of lines,
// only a share of the requests is logged, chosen by the request's name, so that the
// lines of one request come whole or not at all on every VM; failures come always.
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

// module names the program on every line.
const module = "daisyd"

const (
	// DefaultBuffer is the number of lines that wait to be written before further ones are dropped.
	DefaultBuffer = 8192
	// DefaultRate is the number of lines a second up to which every request is logged.
	DefaultRate = 2000
	// gatherTime is how long a line waits for others to share a write, and what a killed
	// process may lose; at DefaultRate, 200 lines come in that time.
	gatherTime = 100 * time.Millisecond
	// closeTime is how long Close waits for an output that takes no bytes.
	closeTime = time.Second
)

// entry is a line with the time of its Write.
type entry struct {
	at   time.Time
	line Line
}

// Options are what a Log depends on.
type Options struct {
	Output io.Writer
	// Level is one of trace, debug, info, warn, error and off.
	Level string
	// Buffer is the number of waiting lines; 0 stands for DefaultBuffer.
	Buffer int
	// Rate is the number of lines a second; 0 stands for DefaultRate.
	Rate int
}

// Log writes lines in the order of their Write. It is safe for concurrent use.
type Log struct {
	messages  hclog.Logger
	decisions *json.Encoder
	output    *bufio.Writer
	lines     chan entry
	sampler   *sampler
	dropped   atomic.Uint64
	// closing keeps Write and Close apart.
	closing sync.RWMutex
	closed  bool
	ended   chan struct{}
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
		ended:     make(chan struct{}),
	}
	go func() {
		defer close(l.ended)
		told := uint64(0)
		for e := range l.lines {
			l.print(e)
			time.Sleep(gatherTime)
			for range len(l.lines) {
				l.print(<-l.lines)
			}
			told = l.tellDropped(told)
			// A log has nowhere to report that its own output fails.
			_ = output.Flush()
		}
		l.tellDropped(told)
		_ = output.Flush()
	}()
	return l, nil
}

func newMessageLogger(level hclog.Level, output io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: module, Level: level, Output: output, JSONFormat: true})
}

// tellDropped writes how many lines were dropped since it last did.
func (l *Log) tellDropped(told uint64) uint64 {
	dropped := l.dropped.Load()
	if dropped > told {
		l.messages.Warn("log lines dropped", "lines", dropped-told)
	}
	return dropped
}

// Write hands a line over without waiting.
func (l *Log) Write(line Line) {
	if l == nil || !l.messages.IsInfo() {
		return
	}
	now := time.Now()
	if l.sampler.keeps(now, line) {
		l.put(entry{at: now, line: line})
	}
}

func (l *Log) put(e entry) {
	l.closing.RLock()
	defer l.closing.RUnlock()
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

// Dropped counts the lines for which there was no room.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Kept gives the share of the requests that are logged now, from 0 to 1.
func (l *Log) Kept() float64 { return l.sampler.share() }

// Logger gives a logger for messages that are not decisions.
func (l *Log) Logger() hclog.Logger { return newMessageLogger(l.messages.GetLevel(), messageWriter{l}) }

// messageWriter queues what a logger has encoded, one line for each Write.
type messageWriter struct{ log *Log }

func (w messageWriter) Write(p []byte) (int, error) {
	w.log.put(entry{line: message{text: slices.Clone(p)}})
	return len(p), nil
}

// Close writes what is left, for as long as the output takes bytes, and then gives it up.
func (l *Log) Close() {
	l.closing.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.closing.Unlock()
	timeout := time.NewTimer(closeTime)
	defer timeout.Stop()
	select {
	case <-l.ended:
	case <-timeout.C:
	}
}
