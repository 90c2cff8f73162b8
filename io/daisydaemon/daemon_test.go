package daisydaemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/io/daisydaemon"
	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisysetting"
	"daisyyoke/io/daisystand"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func intentFor(endpoint netip.AddrPort) string {
	return fmt.Sprintf(`fleets:
  - name: vigia-lar
    availability-zones: [{name: a, city: lisboa}]
    ranks: [{name: urgent, target: 1m, worth: 100, floor: 0.5}]
    services:
      - name: lookups
        ranks: [urgent]
        endpoints: [{address: %q, availability-zone: a, slots: 3}]
`, endpoint)
}

func startEndpoint(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort.String())
	assert.NilError(t, err)
	s := daisystand.NewEndpointServer(listener, daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 3}))
	t.Cleanup(s.Close)
	return s.Address()
}

func newSettings(t *testing.T) daisysetting.Settings {
	t.Helper()
	return daisysetting.Settings{
		VM:        "vm-1",
		Zone:      daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "a"},
		Callers:   anyPort,
		Operators: anyPort,
		Advertise: anyPort,
		Platform:  daisysetting.EmbeddedPlatform{IntentFile: writeFile(t, "intent.yaml", intentFor(startEndpoint(t)))},
		LogLevel:  hclog.Info,
	}
}

func get(t *testing.T, address netip.AddrPort, path, host string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+address.String()+path, nil)
	assert.NilError(t, err)
	r.Host = host
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestDaemonServesDeclaredServices(t *testing.T) {
	var log bytes.Buffer
	d, err := daisydaemon.New(context.Background(), daisydaemon.Options{Settings: newSettings(t), Log: &log})
	assert.NilError(t, err)
	served := get(t, d.Callers(), "/visits", "lookups.vigia-lar")
	assert.Equal(t, served.StatusCode, http.StatusOK)
	assert.Equal(t, get(t, d.Callers(), "/visits", "lookups.elsewhere").StatusCode, http.StatusNotFound)
	ready := get(t, d.Operators(), "/readyz", "")
	assert.Equal(t, ready.StatusCode, http.StatusOK)
	var readiness daisyoperator.Readiness
	assert.NilError(t, json.NewDecoder(ready.Body).Decode(&readiness))
	assert.DeepEqual(t, readiness.Services, []daisyoperator.ServiceReady{{Fleet: "vigia-lar", Service: "lookups", Ready: true}})
	d.Close()
	d.Close()
	assert.Check(t, is.Contains(log.String(), `"service":"lookups"`), "the log contains a line for the request")
}

func TestStandaloneDaemonWithoutConfigurationIsNotReady(t *testing.T) {
	settings := newSettings(t)
	settings.Platform = daisysetting.EmbeddedPlatform{}
	d, err := daisydaemon.New(context.Background(), daisydaemon.Options{Settings: settings, Log: &bytes.Buffer{}})
	assert.NilError(t, err)
	defer d.Close()
	assert.Equal(t, get(t, d.Operators(), "/readyz", "").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, get(t, d.Operators(), "/livez", "").StatusCode, http.StatusOK)
	refused := get(t, d.Callers(), "/", "lookups.vigia-lar")
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header.Get("Daisy-Run"), "not-run")
	assert.Equal(t, refused.Header.Get("Retry-After"), "1")
}

func TestExitCodeAndMessageOfFailedStart(t *testing.T) {
	inUse, err := net.Listen("tcp", anyPort.String())
	assert.NilError(t, err)
	defer func() { _ = inUse.Close() }()
	validArgs := []string{"--vm", "vm-1", "--availability-zone", "f/a", "--callers", anyPort.String(), "--operators", anyPort.String(), "--platform", "embedded"}
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"unknown flag", []string{"--loud"}, daisydaemon.ExitUsage, "--loud"},
		{"argument", []string{"start"}, daisydaemon.ExitUsage, "flags only"},
		{"bad address", []string{"--callers", "x"}, daisydaemon.ExitUsage, "--callers"},
		{"missing intent", []string{"--intent", "missing"}, daisydaemon.ExitUsage, "--intent"},
		{"bad intent", []string{"--intent", writeFile(t, "i.yaml", "fleets: 1")}, daisydaemon.ExitUsage, "line 1"},
		{"missing token file", []string{"--operator-token-file", "missing"}, daisydaemon.ExitUsage, "--operator-token-file"},
		{"missing certificate", []string{"--tls-certificate", "missing", "--tls-key", "missing"}, daisydaemon.ExitUsage, "--tls-certificate"},
		{"address in use", []string{"--callers", inUse.Addr().String()}, daisydaemon.ExitFailed, "--callers"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log bytes.Buffer
			code := daisydaemon.Main(context.Background(), append(append([]string(nil), validArgs...), c.args...), &log, &log)
			assert.Check(t, is.Equal(code, c.code))
			assert.Check(t, is.Contains(log.String(), c.want))
		})
	}
}
