package daisylog_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisylog"
)

// gate holds every write until it is opened.
type gate struct {
	open chan struct{}
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

func TestNoLineIsLostWhenTheOutputStalls(t *testing.T) {
	const writers, lines = 4, 500
	output := &gate{open: make(chan struct{})}
	log, err := daisylog.New(daisylog.Options{Output: output, Level: "info", Buffer: 2})
	assert.NilError(t, err)
	var ended sync.WaitGroup
	for w := range writers {
		ended.Go(func() {
			for i := range lines {
				log.Write(daisylog.Refused{Request: daisyrequest.ID(w*lines + i), Why: "queue-full"})
			}
		})
	}
	close(output.open)
	ended.Wait()
	log.Close()
	seen := make(map[float64]bool)
	for s := bufio.NewScanner(&output.Buffer); s.Scan(); {
		var line map[string]any
		assert.NilError(t, json.Unmarshal(s.Bytes(), &line))
		seen[line["request"].(float64)] = true
	}
	assert.Equal(t, len(seen), writers*lines)
}

func TestLineOfASend(t *testing.T) {
	var output bytes.Buffer
	log, err := daisylog.New(daisylog.Options{Output: &output, Level: "info"})
	assert.NilError(t, err)
	log.Write(daisylog.Sent{
		Service:    daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"},
		Rank:       "urgent",
		Request:    7,
		Attempt:    9,
		Endpoint:   netip.MustParseAddrPort("127.0.0.1:9001"),
		Why:        "retry",
		Choice:     "least-loaded",
		Considered: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9002"), netip.MustParseAddrPort("127.0.0.1:9003")},
		Free:       3,
		Waited:     3 * time.Millisecond,
	})
	log.Close()
	var line map[string]any
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	delete(line, "@timestamp")
	assert.DeepEqual(t, line, map[string]any{
		"@level": "info", "@message": "request sent", "@module": "daisyd",
		"fleet": "vigia-lar", "service": "lookups", "rank": "urgent", "endpoint": "127.0.0.1:9001",
		"why": "retry", "choice": "least-loaded", "considered": "127.0.0.1:9002 127.0.0.1:9003",
		"free": 3.0, "waited": "3ms", "request": 7.0, "attempt": 9.0,
	})
}

func TestLevels(t *testing.T) {
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
