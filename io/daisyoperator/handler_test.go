package daisyoperator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisyplatform"
)

const intent = `fleets:
  - name: vigia-lar
    availability-zones: [{name: a, city: lisboa}]
    ranks: [{name: urgent, target: 250ms, worth: 100, floor: 0.5}, {name: bulk, target: 10m, floor: 0.7}]
    services:
      - name: lookups
        ranks: [urgent, bulk]
        endpoints:
          - {address: "127.0.0.1:9001", availability-zone: a, slots: 3}
          - {address: "127.0.0.1:9002", availability-zone: a, slots: 3}
      - name: orders
        ranks: [urgent]
        endpoints: [{address: "127.0.0.1:9002", availability-zone: a, slots: 2}]
`

type fakeVM struct{ drained []daisyvm.Name }

func (f *fakeVM) ServiceWork(daisyservice.ID) (int, int) { return 2, 1 }
func (f *fakeVM) EndpointStatus(daisyconfig.EndpointID) daisyroute.EndpointStatus {
	return daisyroute.EndpointStatus{
		Condition: daisyroute.InUse,
		InFlight:  1,
		ResumesIn: 1500 * time.Millisecond,
		RateLimit: daisyendpoint.Limited{Interval: 500 * time.Millisecond},
		RateUsed:  0.25,
	}
}
func (f *fakeVM) ListVMs() []daisyoperator.VM { return []daisyoperator.VM{{Name: "vm-1", Revision: 1}} }
func (f *fakeVM) Valid(token string) bool     { return token == "secret" }
func (f *fakeVM) Readiness() daisyoperator.Readiness {
	return daisyoperator.Readiness{Reason: "waiting"}
}
func (f *fakeVM) WriteMetrics(w http.ResponseWriter) { _, _ = w.Write([]byte("up 1\n")) }
func (f *fakeVM) Drain(_ context.Context, name daisyvm.Name) error {
	if name != "vm-1" {
		return daisyerror.NotFound.New("no VM %s", name)
	}
	f.drained = append(f.drained, name)
	return nil
}

// newServer starts the operators' interface of a VM with an embedded platform.
func newServer(t *testing.T) *httptest.Server {
	t.Helper()
	f := &fakeVM{}
	platform := daisyplatform.NewEmbedded()
	self := daisyvm.VM{Name: "vm-1"}
	config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{Self: self, Platform: platform, Sender: discardSender{}})
	t.Cleanup(config.Close)
	plans := daisycontroller.NewPlan(daisycontroller.PlanOptions{Self: self, Platform: platform, Config: config})
	t.Cleanup(plans.Close)
	operations := &daisyoperator.Operations{Plans: plans, Configs: config, Work: f, Membership: f}
	handler := daisyoperator.NewHandler(operations, f, hclog.NewNullLogger(), daisyoperator.Authorize{Tokens: f}, daisyoperator.LimitBody{})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

func newClient(server *httptest.Server, token string) *daisyoperator.Client {
	return daisyoperator.NewClient(daisyoperator.ClientOptions{Server: server.URL, Token: token, Operator: "ana", HTTP: server.Client()})
}

func TestPlanLifecycle(t *testing.T) {
	ctx := context.Background()
	c := newClient(newServer(t), "secret")
	p, err := c.CreatePlan(ctx, []byte(intent))
	assert.NilError(t, err)
	assert.Equal(t, p.State, "open")
	assert.Equal(t, p.CreatedBy, "ana")
	assert.Check(t, is.Contains(strings.Join(p.Changes, "\n"), "+ endpoint vigia-lar/lookups/127.0.0.1:9001: vigia-lar/a, 3 slots"))
	assert.Check(t, is.Contains(strings.Join(p.Effects, "\n"), "service vigia-lar/lookups: 0 slots to 6; floors in slots: urgent none to 3.0"))
	assert.Check(t, is.Contains(strings.Join(p.Warnings, "\n"), "add up to 1.20"))
	assert.Check(t, is.Contains(strings.Join(p.Warnings, "\n"), "127.0.0.1:9002 is declared by several services"))
	_, err = c.ViewConfig(ctx, 0)
	assert.Check(t, errorx.IsOfType(err, daisyerror.NotFound), "a plan took effect before its confirmation: %v", err)

	evacuated, err := c.CreatePlan(ctx, []byte(strings.Replace(intent, "name: a,", "evacuated: true, name: a,", 1)))
	assert.NilError(t, err)
	assert.Check(t, is.Contains(strings.Join(evacuated.Changes, "\n"), "~ availability zone vigia-lar/a: evacuated, no new work"))
	assert.Check(t, is.Contains(strings.Join(evacuated.Warnings, "\n"), "service vigia-lar/lookups is left without a working endpoint"))
	other, err := c.CreatePlan(ctx, []byte(strings.Replace(intent, "slots: 2", "slots: 4", 1)))
	assert.NilError(t, err)
	confirmed, err := c.ConfirmPlan(ctx, p.ID)
	assert.NilError(t, err)
	assert.Equal(t, confirmed.Revision, uint64(1))
	again, err := c.ConfirmPlan(ctx, p.ID)
	assert.NilError(t, err)
	assert.Equal(t, again.Revision, uint64(1), "a second confirmation did not return the confirmed plan")
	_, err = c.ConfirmPlan(ctx, other.ID)
	assert.Check(t, errorx.IsOfType(err, daisyerror.Stale), "%v", err)

	v, err := c.ViewConfig(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, v.ConfirmedBy, "ana")
	assert.Equal(t, len(v.History), 1)
	back, err := c.RestorePlan(ctx, 1)
	assert.NilError(t, err)
	assert.Check(t, is.Contains(strings.Join(back.Warnings, "\n"), "nothing changes"))
	plans, err := c.ListPlans(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(plans), 4)
	discarded, err := c.DiscardPlan(ctx, back.ID)
	assert.NilError(t, err)
	assert.Equal(t, discarded.State, "discarded")
}

func TestPlanEndpoint(t *testing.T) {
	ctx := context.Background()
	c := newClient(newServer(t), "secret")
	p, err := c.CreatePlan(ctx, []byte(intent))
	assert.NilError(t, err)
	_, err = c.ConfirmPlan(ctx, p.ID)
	assert.NilError(t, err)
	endpoints, err := c.ListEndpoints(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(endpoints), 3)
	cases := []struct {
		name      string
		request   daisyoperator.EndpointRequest
		errorType *errorx.Type
	}{
		{"one service", daisyoperator.EndpointRequest{Address: endpoints[0].Address}, nil},
		{"two services", daisyoperator.EndpointRequest{Address: endpoints[1].Address}, daisyerror.InvalidRequest},
		{"chosen service", daisyoperator.EndpointRequest{Address: endpoints[1].Address, Service: "orders"}, nil},
		{"other fleet", daisyoperator.EndpointRequest{Address: endpoints[0].Address, Fleet: "elsewhere"}, daisyerror.NotFound},
		{"no address", daisyoperator.EndpointRequest{}, daisyerror.InvalidRequest},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			k.request.Draining = true
			p, err := c.PlanEndpoint(ctx, k.request)
			if k.errorType != nil {
				assert.Check(t, errorx.IsOfType(err, k.errorType), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Check(t, is.Contains(strings.Join(p.Changes, "\n"), "drained, no new work"))
		})
	}
}

func TestClientReturnsErrorTypesOfServer(t *testing.T) {
	ctx := context.Background()
	server := newServer(t)
	c := newClient(server, "secret")
	cases := []struct {
		name      string
		call      func() error
		errorType *errorx.Type
		text      string
	}{
		{"no token", func() error { _, err := newClient(server, "").ListVMs(ctx); return err }, daisyerror.Unauthorized, "token"},
		{"wrong token", func() error { _, err := newClient(server, "x").ListPlans(ctx); return err }, daisyerror.Unauthorized, "token"},
		{"bad intent", func() error { _, err := c.CreatePlan(ctx, []byte("fleets: 1")); return err }, daisyerror.InvalidIntent, "line 1"},
		{"no such plan", func() error { _, err := c.ViewPlan(ctx, "x"); return err }, daisyerror.NotFound, ""},
		{"no such revision", func() error { _, err := c.ViewConfig(ctx, 7); return err }, daisyerror.NotFound, ""},
		{"no such VM", func() error { _, err := c.DrainVM(ctx, "vm-9"); return err }, daisyerror.NotFound, "vm-9"},
		{"VM that is there", func() error { _, err := c.DrainVM(ctx, "vm-1"); return err }, nil, ""},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			err := k.call()
			if k.errorType == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errorx.IsOfType(err, k.errorType), "%v", err)
			assert.Check(t, is.Contains(err.Error(), k.text))
		})
	}
}

func TestAuthorizationByPath(t *testing.T) {
	server := newServer(t)
	cases := []struct {
		path, token string
		status      int
	}{
		{"/livez", "", 200},
		{"/readyz", "", 503},
		{"/metrics", "", 401},
		{"/metrics", "secret", 200},
		{"/v1/services", "", 401},
		{"/v1/services", "secret", 200},
		{"/v1/config?revision=x", "secret", 400},
		{"/v1/nothing", "secret", 404},
	}
	for _, c := range cases {
		t.Run(c.path+" "+c.token, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodGet, server.URL+c.path, nil)
			assert.NilError(t, err)
			r.Header.Set("Authorization", "Bearer "+c.token)
			response, err := server.Client().Do(r)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, c.status)
		})
	}
}
