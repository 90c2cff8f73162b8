package daisyctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

const checkedIntent = `fleets:
  - name: vigia-lar
    availability-zones: [{name: lisboa-1, city: lisboa}]
    ranks: [{name: urgent, target: 250ms, floor: 0.7}, {name: standard, target: 2s, floor: 0.2}]
    services:
      - name: lookups
        ranks: [urgent, standard]
        endpoints: [{address: "127.0.0.1:9001", availability-zone: lisboa-1, slots: 3}]
`

// Guards against exit codes that let an intent with errors pass, and against a comparison
// with something else than what is named.
func TestConfigCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "intent.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(checkedIntent), 0o600))
	answer, err := json.Marshal(map[string]any{"revision": 3, "intent-yaml": checkedIntent})
	assert.NilError(t, err)
	edit := func(old, changed string) string { return strings.Replace(checkedIntent, old, changed, 1) }
	cases := []struct {
		name, in, out, err string
		args               []string
		code               int
	}{
		{name: "clean", in: checkedIntent, out: "-: errors: 0, warnings: 0\n"},
		{name: "no difference", in: checkedIntent, args: []string{"--against", file}, out: "no difference from " + file},
		{name: "against a file", in: edit("slots: 3", "slots: 5"), args: []string{"--against", file}, out: "3 slots, 250 connections to vigia-lar/lisboa-1, 5 slots"},
		{name: "in force", in: edit("      - name: lookups\n", "      - name: lookups\n        protocol: http2\n"), args: []string{"--against", "in-force"}, out: "~ service vigia-lar/lookups: protocol http1 to http2"},
		{name: "error", in: edit("250ms", "250"), code: ExitFailed, out: `error: line 4: target "250"`, err: "1 errors, 0 warnings"},
		{name: "warning", in: edit("0.2", "0.6"), out: "warning: service vigia-lar/lookups: the floors"},
		{name: "strict", in: edit("0.2", "0.6"), args: []string{"--strict"}, code: ExitFailed, out: "warning: service"},
		{name: "JSON", in: edit("250ms", "250"), args: []string{"--json=findings"}, code: ExitFailed, out: `"line": 4`},
		{name: "missing base", in: checkedIntent, args: []string{"--against", "missing"}, code: ExitUsage, err: "missing"},
		{name: "store of an intent", in: checkedIntent, args: []string{"--store", "127.0.0.1:1"}, code: ExitUsage, err: "--store"},
		{name: "empty", code: ExitFailed, out: "error: line 1: the intent is empty"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			args := append([]string{"config", "check", "-"}, c.args...)
			r := runCommand(t, invocation{args: args, in: c.in, status: 200, answer: string(answer)})
			assert.Check(t, is.Equal(r.code, c.code))
			assert.Check(t, is.Contains(r.out, c.out))
			assert.Check(t, is.Contains(r.err, c.err))
		})
	}
}
