package daisydaemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisydaemon"
	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysetting"
)

// startVMPair starts two VMs that share an embedded platform. The first one confirms an
// intent when it starts.
func startVMPair(t *testing.T) [2]*daisydaemon.Daemon {
	t.Helper()
	platform := daisyplatform.NewEmbedded()
	var pair [2]*daisydaemon.Daemon
	for i, name := range []daisyvm.Name{"vm-1", "vm-2"} {
		settings := newSettings(t)
		settings.VM = name
		settings.Peers = anyPort
		if i > 0 {
			settings.Platform = daisysetting.EmbeddedPlatform{}
		}
		d, err := daisydaemon.New(context.Background(), daisydaemon.Options{Settings: settings, Platform: platform, Log: &bytes.Buffer{}})
		assert.NilError(t, err)
		t.Cleanup(d.Close)
		pair[i] = d
	}
	return pair
}

func newOperatorClient(d *daisydaemon.Daemon, operator string) *daisyoperator.Client {
	return daisyoperator.NewClient(daisyoperator.ClientOptions{Server: "http://" + d.Operators().String(), Operator: operator, HTTP: http.DefaultClient})
}

func TestCallersContract(t *testing.T) {
	callers := startVMPair(t)[0].Callers()
	cases := []struct {
		name, host string
		header     http.Header
		status     int
	}{
		{"served", "lookups.vigia-lar", nil, http.StatusOK},
		{"host with port", "lookups.vigia-lar:80", nil, http.StatusOK},
		{"declared rank", "lookups.vigia-lar", http.Header{"Daisy-Rank": {"urgent"}}, http.StatusOK},
		{"valid timeout", "lookups.vigia-lar", http.Header{"Daisy-Timeout": {"90s"}}, http.StatusOK},
		{"unknown rank", "lookups.vigia-lar", http.Header{"Daisy-Rank": {"bulk"}}, http.StatusBadRequest},
		{"timeout without a unit", "lookups.vigia-lar", http.Header{"Daisy-Timeout": {"250"}}, http.StatusBadRequest},
		{"zero timeout", "lookups.vigia-lar", http.Header{"Daisy-Timeout": {"0s"}}, http.StatusBadRequest},
		{"host without fleet", "lookups", nil, http.StatusBadRequest},
		{"unknown service", "visits.vigia-lar", nil, http.StatusNotFound},
		{"unknown fleet", "lookups.elsewhere", nil, http.StatusNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodPost, "http://"+callers.String()+"/visits", nil)
			assert.NilError(t, err)
			r.Host = c.host
			for name, values := range c.header {
				r.Header[name] = values
			}
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, response.StatusCode, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, response.Header.Get("Daisy-Run"), "")
				return
			}
			assert.Equal(t, response.Header.Get("Daisy-Run"), "not-run")
			assert.Equal(t, response.Header.Get("Content-Type"), "application/problem+json")
		})
	}
}

func TestAddressesContract(t *testing.T) {
	d := startVMPair(t)[0]
	response := get(t, d.Callers(), "/.well-known/daisyyoke/addresses", "")
	var answer struct {
		Addresses []struct {
			Address netip.AddrPort `json:"address"`
			Zone    string         `json:"availability-zone"`
		} `json:"addresses"`
		TTL string `json:"keep-for"`
	}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	assert.Check(t, len(answer.Addresses) > 0)
	listed := false
	for _, a := range answer.Addresses {
		listed = listed || a.Address == d.Callers() && a.Zone == "vigia-lar/a"
	}
	assert.Check(t, listed, "%v", answer)
	assert.Check(t, is.Contains(response.Header.Get("Cache-Control"), "max-age="+answer.TTL[:len(answer.TTL)-1]))
}

func TestSecondOfConcurrentPlansIsStale(t *testing.T) {
	ctx := context.Background()
	pair := startVMPair(t)
	ana, rui := newOperatorClient(pair[0], "ana"), newOperatorClient(pair[1], "rui")
	first, err := ana.CreatePlan(ctx, []byte(intentFor(startEndpoint(t))))
	assert.NilError(t, err)
	second, err := rui.CreatePlan(ctx, []byte(intentFor(startEndpoint(t))))
	assert.NilError(t, err)
	assert.Equal(t, second.BaseRevision, first.BaseRevision)
	confirmed, err := ana.ConfirmPlan(ctx, first.ID)
	assert.NilError(t, err)
	_, err = rui.ConfirmPlan(ctx, second.ID)
	assert.Check(t, errorx.IsOfType(err, daisyerror.Stale), "%v", err)
	again, err := rui.ConfirmPlan(ctx, first.ID)
	assert.NilError(t, err, "confirming a plan again on another VM has no effect")
	assert.Equal(t, again.Revision, confirmed.Revision)
	_, err = rui.DiscardPlan(ctx, first.ID)
	assert.Check(t, errorx.IsOfType(err, daisyerror.Ended), "%v", err)
	_, err = rui.ViewPlan(ctx, "nope")
	assert.Check(t, errorx.IsOfType(err, daisyerror.NotFound), "%v", err)
	_, err = rui.CreatePlan(ctx, []byte("fleets: 1"))
	assert.Check(t, errorx.IsOfType(err, daisyerror.InvalidIntent), "%v", err)
}
