package daisyctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

const planAnswer = `{"id":"p1","state":"open","base-revision":4,"created-by":"ana","changes":["+ endpoint"],"effects":[],"warnings":["floors"],"revision":5}`

// result is the outcome of one run of the command line: its exit code, its output and the
// requests that the server received.
type result struct {
	code     int
	out, err string
	requests []string
}

type invocation struct {
	args        []string
	in          string
	interactive bool
	status      int
	answer      string
}

func runCommand(t *testing.T, inv invocation) result {
	t.Helper()
	var r result
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.requests = append(r.requests, q.Method+" "+q.URL.RequestURI())
		assert.Check(t, is.Equal(q.Header.Get("Authorization"), "Bearer secret"))
		w.WriteHeader(inv.status)
		_, _ = w.Write([]byte(inv.answer))
	}))
	defer server.Close()
	var out, err bytes.Buffer
	f := &daisyfactory.Factory{
		Streams: &daisyterminal.Streams{In: strings.NewReader(inv.in), Out: &out, Err: &err, Interactive: inv.interactive},
		Client: func() (*daisyoperator.Client, error) {
			return daisyoperator.NewClient(daisyoperator.ClientOptions{Server: server.URL, Token: "secret", HTTP: server.Client()}), nil
		},
	}
	r.code = run(context.Background(), newRoot(), f, inv.args)
	r.out, r.err = out.String(), err.String()
	return r
}

func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "intent.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("fleets: []"), 0o600))
	problem := func(kind string) string { return `{"detail":"why it failed","kind":"` + kind + `"}` }
	cases := []struct {
		name string
		invocation
		code int
		err  string
	}{
		{name: "done", invocation: invocation{args: []string{"plan", "create", "-f", file}, status: 200, answer: planAnswer}, code: ExitOK, err: "daisyctl plan confirm p1"},
		{name: "no file", invocation: invocation{args: []string{"plan", "create"}}, code: ExitUsage, err: "--file"},
		{name: "missing file", invocation: invocation{args: []string{"plan", "create", "-f", "missing"}}, code: ExitUsage, err: "--file: open missing"},
		{name: "file and revision", invocation: invocation{args: []string{"plan", "create", "-f", file, "--restore", "1"}}, code: ExitUsage, err: "--restore"},
		{name: "unknown command", invocation: invocation{args: []string{"plans"}}, code: ExitUsage, err: `unknown command "plans"`},
		{name: "unknown verb", invocation: invocation{args: []string{"plan", "make"}}, code: ExitUsage, err: `unknown command "make"`},
		{name: "unknown flag", invocation: invocation{args: []string{"plan", "list", "--loud"}}, code: ExitUsage, err: "--loud"},
		{name: "missing argument", invocation: invocation{args: []string{"plan", "view"}}, code: ExitUsage, err: "want 1 arguments"},
		{name: "unknown field", invocation: invocation{args: []string{"plan", "list", "--json=idd"}}, code: ExitUsage, err: `unknown field "idd"`},
		{name: "unknown field without =", invocation: invocation{args: []string{"vm", "list", "--json", "name,stat"}}, code: ExitUsage, err: `unknown field "stat"`},
		{name: "negative limit", invocation: invocation{args: []string{"vm", "list", "--limit", "-1"}}, code: ExitUsage, err: "--limit -1"},
		{name: "confirm without a terminal", invocation: invocation{args: []string{"plan", "confirm", "p1"}}, code: ExitUsage, err: "--yes"},
		{name: "bad endpoint address", invocation: invocation{args: []string{"endpoint", "drain", "here"}}, code: ExitUsage, err: "IP:PORT"},
		{name: "bad intent", invocation: invocation{args: []string{"plan", "create", "-f", file}, status: 422, answer: problem("invalid-intent")}, code: ExitUsage, err: "why it failed"},
		{name: "stale", invocation: invocation{args: []string{"plan", "confirm", "p1", "--yes"}, status: 409, answer: problem("stale")}, code: ExitStale, err: "make a new plan"},
		{name: "ended", invocation: invocation{args: []string{"plan", "confirm", "p1", "--yes"}, status: 409, answer: problem("ended")}, code: ExitFailed, err: "Nothing has changed"},
		{name: "not found", invocation: invocation{args: []string{"plan", "view", "p9"}, status: 404, answer: problem("not-found")}, code: ExitFailed, err: "why it failed"},
		{name: "unknown result", invocation: invocation{args: []string{"plan", "confirm", "p1", "--yes"}, status: 504, answer: problem("unknown")}, code: ExitFailed, err: "confirming a plan twice is safe"},
		{name: "store unavailable", invocation: invocation{args: []string{"plan", "list"}, status: 503, answer: problem("unavailable")}, code: ExitFailed, err: "try again"},
		{name: "no token", invocation: invocation{args: []string{"vm", "list"}, status: 401, answer: problem("unauthorized")}, code: ExitFailed, err: "--operator-token-file"},
		{name: "not a problem document", invocation: invocation{args: []string{"vm", "list"}, status: 500, answer: "oops"}, code: ExitFailed, err: "500"},
		{name: "TLS is missing", invocation: invocation{args: []string{"vm", "list"}, status: 400, answer: "Client sent an HTTP request to an HTTPS server."}, code: ExitFailed, err: "--tls-authority"},
		{name: "truncated response", invocation: invocation{args: []string{"vm", "list"}, status: 200, answer: "[{"}, code: ExitFailed, err: "reading the answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCommand(t, c.invocation)
			assert.Check(t, is.Equal(r.code, c.code))
			assert.Check(t, is.Contains(r.err, c.err))
		})
	}
}

func TestPlanConfirmPromptsOnATerminal(t *testing.T) {
	cases := []struct {
		name, in string
		requests int
		out      string
	}{
		{"yes", "y\n", 2, "plan p1 confirmed: revision 5"},
		{"no", "n\n", 1, ""},
		{"nothing", "\n", 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCommand(t, invocation{args: []string{"plan", "confirm", "p1"}, in: c.in, interactive: true, status: 200, answer: planAnswer})
			assert.Equal(t, r.code, ExitOK)
			assert.Equal(t, len(r.requests), c.requests, "%v", r.requests)
			assert.Check(t, is.Contains(r.out, c.out))
			assert.Check(t, is.Contains(r.out, "floors"), "the warning is printed before the prompt")
		})
	}
}

func TestEndpointDrainAndResumeConfirmOnlyPlansWithChanges(t *testing.T) {
	const empty = `{"id":"p1","state":"open","changes":[]}`
	cases := []struct {
		verb, answer, out string
		requests          []string
	}{
		{"drain", empty, "127.0.0.1:1 is already drained; nothing to do", []string{"POST /v1/endpoints/plans", "POST /v1/plans/p1/discard"}},
		{"resume", empty, "127.0.0.1:1 is not draining; nothing to do", []string{"POST /v1/endpoints/plans", "POST /v1/plans/p1/discard"}},
		{"drain", planAnswer, "confirmed: revision 5", []string{"POST /v1/endpoints/plans", "POST /v1/plans/p1/confirm"}},
	}
	for _, c := range cases {
		r := runCommand(t, invocation{args: []string{"endpoint", c.verb, "127.0.0.1:1"}, status: 200, answer: c.answer})
		assert.Equal(t, r.code, ExitOK, "%s", r.err)
		assert.DeepEqual(t, r.requests, c.requests)
		assert.Check(t, is.Contains(r.out, c.out))
	}
}

func TestVMListPrintsAnAlignedTableOrJSON(t *testing.T) {
	const vms = `[{"name":"vm-1","availability-zone":"f/a","callers":"127.0.0.1:1","state":"live","ready":true,"revision":3,"spare":9,"self":true},` +
		`{"name":"vm-long-name","availability-zone":"f/b","callers":"127.0.0.1:2","state":"leaving"}]`
	table := runCommand(t, invocation{args: []string{"vm", "list"}, status: 200, answer: vms})
	assert.Equal(t, table.out, ""+
		"vm-1          f/a  127.0.0.1:1  live     true   3  9\n"+
		"vm-long-name  f/b  127.0.0.1:2  leaving  false  0  0\n")
	unheard := runCommand(t, invocation{args: []string{"vm", "list"}, status: 200, answer: `[{"name":"vm-1","availability-zone":"f/a","callers":"","state":"unheard"}]`})
	assert.Equal(t, unheard.out, "vm-1  f/a  -  unheard  false  0  0\n")
	heading := runCommand(t, invocation{args: []string{"vm", "list"}, interactive: true, status: 200, answer: vms})
	assert.Check(t, strings.HasPrefix(heading.out, "NAME "))
	picked := runCommand(t, invocation{args: []string{"vm", "list", "--json=name,ready"}, status: 200, answer: vms})
	assert.Equal(t, strings.Join(strings.Fields(picked.out), ""), `[{"name":"vm-1","ready":true},{"name":"vm-long-name","ready":false}]`)
	all := runCommand(t, invocation{args: []string{"vm", "list", "--json"}, status: 200, answer: vms})
	assert.Check(t, is.Contains(all.out, `"availability-zone": "f/b"`))
}

func TestVMListSelectsVMsOfALargeFleet(t *testing.T) {
	var vms []string
	for i := range 123 {
		vms = append(vms, fmt.Sprintf(`{"name":"vm-%d","availability-zone":"f/%c","state":"live"}`, i, 'a'+i%6))
	}
	answer := "[" + strings.Join(vms, ",") + "]"
	zone := runCommand(t, invocation{args: []string{"vm", "list", "--zone", "f/b"}, status: 200, answer: answer})
	assert.Equal(t, strings.Count(zone.out, "\n"), 21)
	assert.Equal(t, strings.Count(zone.out, "f/b"), 21)
	first := runCommand(t, invocation{args: []string{"vm", "list", "--zone", "f/b", "--limit", "2", "--json", "name,state"}, status: 200, answer: answer})
	assert.Equal(t, strings.Join(strings.Fields(first.out), ""), `[{"name":"vm-1","state":"live"},{"name":"vm-7","state":"live"}]`)
	assert.Equal(t, first.err, "Showing 2 of 21 VMs\n")
	all := runCommand(t, invocation{args: []string{"vm", "list", "--limit", "200", "--json"}, status: 200, answer: answer})
	assert.Equal(t, strings.Count(all.out, `"name"`), 123)
	assert.Equal(t, all.err, "")
}

func TestEveryCommandHasASummaryAndAnExample(t *testing.T) {
	root := newRoot()
	code := run(context.Background(), root, &daisyfactory.Factory{Streams: &daisyterminal.Streams{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}}, []string{"--help"})
	assert.Equal(t, code, ExitOK)
	verbs := 0
	for _, n := range root.Commands() {
		if n.Name() == "completion" {
			continue
		}
		for _, v := range n.Commands() {
			verbs++
			assert.Check(t, v.Short != "" && v.Example != "", "%s", v.CommandPath())
		}
	}
	assert.Assert(t, verbs >= 12, "%d verbs", verbs)
}
