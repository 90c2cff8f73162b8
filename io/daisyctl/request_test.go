package daisyctl

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

const firstLog = `not a line of JSON about r-1
{"@level":"info","@message":"request refused","@module":"daisyd","@timestamp":"2026-12-04T08:11:56.500000Z","name":"r-1","why":"expired","status":504}
{"@level":"info","@message":"request sent","@module":"daisyd","@timestamp":"2026-12-04T08:11:56.600000Z","name":"r-12","why":"first"}
`

const secondLog = `{"@level":"info","@message":"request sent","@module":"daisyd","@timestamp":"2026-12-04T08:11:56.250000Z","name":"r-1","why":"first","considered":""}
`

func TestRequestShowMergesLogsByTime(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "vm-1.log"), filepath.Join(dir, "vm-2.log")
	assert.NilError(t, os.WriteFile(first, []byte(firstLog), 0o600))
	assert.NilError(t, os.WriteFile(second, []byte(secondLog), 0o600))
	r := runCommand(t, invocation{args: []string{"request", "show", "r-1", "--log", first, "--log", second, "--json=at,message"}})
	assert.Equal(t, r.code, ExitOK)
	assert.Equal(t, r.out, `[
  {
    "at": "2026-12-04T08:11:56.25Z",
    "message": "request sent"
  },
  {
    "at": "2026-12-04T08:11:56.5Z",
    "message": "request refused"
  }
]
`)
	r = runCommand(t, invocation{args: []string{"request", "show", "r-1", "--log", "-"}, in: firstLog + secondLog})
	assert.Equal(t, r.code, ExitOK)
	assert.Check(t, is.Contains(r.out, "250ms"))
	assert.Check(t, is.Contains(r.out, "status=504 why=expired"))
}

func TestRequestShowReportsMissingInput(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no log", []string{"request", "show", "r-1"}, ExitUsage, "--log"},
		{"missing log", []string{"request", "show", "r-1", "--log", "missing"}, ExitUsage, "missing"},
		{"no line", []string{"request", "show", "r-9", "--log", "-"}, ExitFailed, "kept-share"},
		{"no name", []string{"request", "show"}, ExitUsage, "NAME"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCommand(t, invocation{args: c.args, in: firstLog})
			assert.Check(t, is.Equal(r.code, c.code))
			assert.Check(t, is.Contains(r.err, c.want))
		})
	}
}
