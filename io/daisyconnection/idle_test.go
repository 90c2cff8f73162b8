package daisyconnection

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseKeepAliveSubtractsMargin(t *testing.T) {
	cases := []struct {
		value string
		want  time.Duration
		ok    bool
	}{
		{"timeout=10", 8500 * time.Millisecond, true},
		{"max=5, Timeout=3", 1500 * time.Millisecond, true},
		{"timeout=1", 0, true},
		{"max=5", 0, false},
		{"timeout=soon", 0, false},
	}
	for _, c := range cases {
		got, ok := parseKeepAlive(http.Header{"Keep-Alive": {c.value}})
		assert.Equal(t, got, c.want, c.value)
		assert.Equal(t, ok, c.ok, c.value)
	}
}
