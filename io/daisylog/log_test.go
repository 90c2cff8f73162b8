package daisylog_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisylog"
)

// blockedOutput blocks each write until open is closed.
type blockedOutput struct {
	open chan struct{}
	bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.open
	return o.Buffer.Write(p)
}

// parse returns the decoded lines of a log.
func parse(t *testing.T, output *bytes.Buffer) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for s := bufio.NewScanner(output); s.Scan(); {
		var line map[string]any
		assert.NilError(t, json.Unmarshal(s.Bytes(), &line))
		lines = append(lines, line)
	}
	return lines
}

// TestBlockedOutputDropsAndCountsLines guards against writers that wait for a log whose
// reader has stopped, and against lines that are lost without being counted.
func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	const writers, lines, buffer = 4, 500, 16
	output := &blockedOutput{open: make(chan struct{})}
	log, err := daisylog.New(daisylog.Options{Output: output, Level: "info", Buffer: buffer, Rate: 1 << 20})
	assert.NilError(t, err)
	var done sync.WaitGroup
	for w := range writers {
		done.Go(func() {
			for i := range lines {
				log.Write(daisylog.Refused{Subject: daisylog.Subject{Request: daisyrequest.ID(w*lines + i)}, Cause: "queue-full"})
			}
		})
	}
	done.Wait() // The output still blocks here.
	log.Logger().Info("message to a blocked output")
	dropped := log.Dropped()
	assert.Assert(t, dropped > 0)
	close(output.open)
	log.Close()
	written, reported := 0, 0.0
	for _, line := range parse(t, &output.Buffer) {
		if line["@message"] == "log lines dropped" {
			reported += line["lines"].(float64)
			continue
		}
		written++
	}
	assert.Equal(t, uint64(reported), dropped)
	assert.Equal(t, written+int(dropped), writers*lines+1)
}

func TestCloseReturnsWhenTheOutputBlocks(t *testing.T) {
	output := &blockedOutput{open: make(chan struct{})}
	log, err := daisylog.New(daisylog.Options{Output: output, Level: "info"})
	assert.NilError(t, err)
	log.Write(daisylog.Refused{})
	log.Close()
	close(output.open)
}

func TestAllVMsSampleTheSameRequestsAboveTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, rate = 4000, 1000
		var sampled [2]map[string]int
		for vm := range sampled {
			var output bytes.Buffer
			log, err := daisylog.New(daisylog.Options{Output: &output, Level: "info", Buffer: 10 * requests, Rate: rate})
			assert.NilError(t, err)
			for range 2 {
				output.Reset()
				for i := range requests {
					s := daisylog.Subject{Name: daisyrequest.Name(fmt.Sprintf("request-%d", i))}
					log.Write(daisylog.Sent{Subject: s})
					log.Write(daisylog.Answered{Subject: s, Complete: true})
				}
				log.Write(daisylog.Refused{Subject: daisylog.Subject{Name: "failed"}})
				time.Sleep(time.Second)
				synctest.Wait()
			}
			log.Close()
			sampled[vm] = make(map[string]int)
			for _, line := range parse(t, &output) {
				assert.Assert(t, line["kept-share"].(float64) < 0.2)
				sampled[vm][line["name"].(string)]++
			}
		}
		assert.DeepEqual(t, sampled[0], sampled[1])
		assert.Equal(t, sampled[0]["failed"], 1)
		delete(sampled[0], "failed")
		for name, lines := range sampled[0] {
			assert.Equal(t, lines, 2, name)
		}
		assert.Assert(t, len(sampled[0]) > requests/16 && len(sampled[0]) < requests/6, "%d requests", len(sampled[0]))
	})
}

func TestSentLine(t *testing.T) {
	var output bytes.Buffer
	log, err := daisylog.New(daisylog.Options{Output: &output, Level: "info"})
	assert.NilError(t, err)
	log.Write(daisylog.Sent{
		Subject: daisylog.Subject{
			Service: daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"},
			Rank:    "urgent",
			Request: 7,
		},
		Attempt:       9,
		Endpoint:      netip.MustParseAddrPort("127.0.0.1:9001"),
		Reason:        "retry",
		Choice:        "least-loaded",
		Considered:    []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9002"), netip.MustParseAddrPort("127.0.0.1:9003")},
		FreeEndpoints: 3,
		Waited:        3 * time.Millisecond,
	})
	log.Close()
	var line map[string]any
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	delete(line, "@timestamp")
	assert.DeepEqual(t, line, map[string]any{
		"@level": "info", "@message": "request sent", "@module": "daisyd",
		"fleet": "vigia-lar", "service": "lookups", "rank": "urgent", "endpoint": "127.0.0.1:9001",
		"why": "retry", "choice": "least-loaded", "considered": "127.0.0.1:9002 127.0.0.1:9003",
		"free": 3.0, "waited": "3ms", "left": "0s", "request": 7.0, "attempt": 9.0,
	})
}

func TestSentLineWithLoadReport(t *testing.T) {
	var output bytes.Buffer
	log, err := daisylog.New(daisylog.Options{Output: &output, Level: "info"})
	assert.NilError(t, err)
	log.Write(daisylog.Sent{
		Subject:   daisylog.Subject{Name: "<a>", Route: "r-1", Revision: 4},
		Instance:  "i-1",
		Report:    daisyendpoint.Report{At: time.Unix(1, 0), InFlight: 2, Waiting: 1, Slowdown: 1.5},
		ReportAge: time.Second,
	})
	log.Close()
	lines := parse(t, &output)
	assert.Equal(t, len(lines), 1)
	for field, want := range map[string]any{
		"name": "<a>", "route": "r-1", "revision": 4.0, "instance": "i-1",
		"report-in-flight": 2.0, "report-waiting": 1.0, "report-slowdown": 1.5, "report-age": "1s",
	} {
		assert.Equal(t, lines[0][field], want, field)
	}
}

// countingOutput counts the writes to it.
type countingOutput struct {
	writes int
	bytes.Buffer
}

func (o *countingOutput) Write(p []byte) (int, error) {
	o.writes++
	return o.Buffer.Write(p)
}

func TestBatchedLinesKeepTheirTimestamps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output countingOutput
		log, err := daisylog.New(daisylog.Options{Output: &output, Level: "info"})
		assert.NilError(t, err)
		var want []string
		for range 5 {
			want = append(want, time.Now().Format(hclog.TimeFormatJSON))
			log.Write(daisylog.Refused{})
			time.Sleep(time.Millisecond)
		}
		log.Close()
		assert.Equal(t, output.writes, 1)
		var got []string
		for _, line := range parse(t, &output.Buffer) {
			got = append(got, line["@timestamp"].(string))
		}
		assert.DeepEqual(t, got, want)
	})
}

func TestLogLevel(t *testing.T) {
	_, err := daisylog.New(daisylog.Options{Output: &bytes.Buffer{}, Level: "loud"})
	assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidSetting))
	assert.Assert(t, strings.Contains(err.Error(), "--log-level"))
	var output bytes.Buffer
	log, err := daisylog.New(daisylog.Options{Output: &output, Level: "warn"})
	assert.NilError(t, err)
	log.Write(daisylog.Refused{})
	log.Logger().Warn("seen")
	log.Close()
	assert.Equal(t, strings.Count(output.String(), "\n"), 1)
}
