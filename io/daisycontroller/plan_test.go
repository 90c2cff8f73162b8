package daisycontroller_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

var lookups = daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}

// testIntent declares one service with the given number of endpoints.
func testIntent(endpoints int) daisyconfig.Intent {
	zone := daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "a"}
	ranks := []daisyrank.Rank{{Name: "urgent", Target: time.Second, Worth: 10, Floor: 0.5}}
	s := daisyservice.Service{ID: lookups, Ranks: ranks}
	for i := range endpoints {
		s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{Address: endpointAddress(i), Zone: zone, Slots: 3, Connections: 250})
	}
	return daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Name:              "vigia-lar",
		AvailabilityZones: []daisyfleet.AvailabilityZone{{ID: zone, City: "lisboa"}},
		Ranks:             ranks,
		Services:          []daisyservice.Service{s},
	}}}
}

func endpointAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
}

type noopSender struct{}

func (noopSender) Send(daisyvm.Name, daisymessage.Message) {}

// configVM contains the configuration controllers of a VM.
type configVM struct {
	config *daisycontroller.Config
	plans  *daisycontroller.Plan
}

func newConfigVM(t *testing.T, name daisyvm.Name, platform daisyplatform.Platform, sender daisycontroller.Sender, seed uint64) *configVM {
	t.Helper()
	self := daisyvm.VM{Name: name}
	config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{Self: self, Platform: platform, Sender: sender, Seed: seed})
	plans := daisycontroller.NewPlan(daisycontroller.PlanOptions{Self: self, Platform: platform, Config: config, Seed: seed})
	return &configVM{config: config, plans: plans}
}

func (v *configVM) Close() {
	v.plans.Close()
	v.config.Close()
}

func TestPlanLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := daisyplatform.NewEmbedded()
		v := newConfigVM(t, "vm-1", platform, noopSender{}, 1)
		defer v.Close()
		synctest.Wait()
		assert.DeepEqual(t, v.config.WaitReason(), daisyconfig.WaitReason(daisyconfig.NothingConfirmed{}))

		first, err := v.plans.Create(ctx, testIntent(2), "ana")
		assert.NilError(t, err)
		rival, err := v.plans.Create(ctx, testIntent(3), "rui")
		assert.NilError(t, err)
		unwanted, err := v.plans.Create(ctx, testIntent(4), "rui")
		assert.NilError(t, err)
		assert.NilError(t, v.plans.Discard(ctx, unwanted.ID, "rui"))
		p, err := v.plans.Confirm(ctx, first.ID, "ana")
		assert.NilError(t, err)
		assert.Equal(t, daisyplan.StateName(p.State), "confirmed")
		synctest.Wait()
		assert.Equal(t, v.config.InForce().PlanID, string(first.ID))

		p, err = v.plans.Confirm(ctx, first.ID, "eva")
		assert.NilError(t, err)
		assert.Equal(t, p.State.(daisyplan.Confirmed).By, "ana")
		_, err = v.plans.Confirm(ctx, rival.ID, "rui")
		assert.Assert(t, errorx.IsOfType(err, daisyerror.Stale), "%v", err)
		_, err = v.plans.Confirm(ctx, unwanted.ID, "rui")
		assert.Assert(t, errorx.IsOfType(err, daisyerror.Ended), "%v", err)
		assert.Assert(t, errorx.IsOfType(v.plans.Discard(ctx, first.ID, "rui"), daisyerror.Ended))

		drain, err := v.plans.DrainEndpoint(ctx, daisyconfig.EndpointID{Service: lookups, Address: endpointAddress(1)}, "ana")
		assert.NilError(t, err)
		assert.Equal(t, len(drain.WithdrawnEndpoints), 1)
		_, err = v.plans.Confirm(ctx, drain.ID, "ana")
		assert.NilError(t, err)
		again, err := v.plans.Create(ctx, testIntent(2), "ana")
		assert.NilError(t, err)
		assert.Equal(t, len(again.Changes), 0, "an unchanged intent must not resume the drained endpoint")
		time.Sleep(daisyplan.Lifetime)
		_, err = v.plans.Confirm(ctx, again.ID, "ana")
		assert.Assert(t, errorx.IsOfType(err, daisyerror.Ended), "%v", err)

		history, err := v.config.History(ctx, 10)
		assert.NilError(t, err)
		assert.Equal(t, len(history), 2)
		assert.Equal(t, history[0].ConfirmedBy, "ana")
		back, err := v.plans.Restore(ctx, 1, "ana")
		assert.NilError(t, err)
		assert.Equal(t, len(back.Changes), 1)
		states := map[daisyplan.ID]string{}
		records, err := v.plans.List(ctx)
		assert.NilError(t, err)
		for _, r := range records {
			states[r.ID] = daisyplan.StateName(r.State)
		}
		want := map[daisyplan.ID]string{
			first.ID: "confirmed", rival.ID: "superseded", unwanted.ID: "discarded",
			drain.ID: "confirmed", again.ID: "expired", back.ID: "open",
		}
		assert.DeepEqual(t, states, want)
	})
}

// slowApplier takes a while to apply a configuration.
type slowApplier struct{ duration time.Duration }

func (a slowApplier) Apply(*daisyconfig.Snapshot) { time.Sleep(a.duration) }

// newSlowVM returns the configuration controllers of a VM that takes the given time to
// apply a configuration.
func newSlowVM(applyTime time.Duration) *configVM {
	platform := daisyplatform.NewEmbedded()
	self := daisyvm.VM{Name: "vm-1"}
	config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{
		Self: self, Platform: platform, Sender: noopSender{}, Appliers: []daisycontroller.Applier{slowApplier{applyTime}},
	})
	plans := daisycontroller.NewPlan(daisycontroller.PlanOptions{Self: self, Platform: platform, Config: config})
	return &configVM{config: config, plans: plans}
}

// Guards against an operator's next command at the same VM that finds the configuration
// from before the confirmation.
func TestConfirmedConfigurationIsInForceOnTheVM(t *testing.T) {
	const applyTime = time.Second
	synctest.Test(t, func(t *testing.T) {
		v := newSlowVM(applyTime)
		defer v.Close()
		for i := range 3 {
			p, err := v.plans.Create(t.Context(), testIntent(i+1), "ana")
			assert.NilError(t, err)
			p, err = v.plans.Confirm(t.Context(), p.ID, "ana")
			assert.NilError(t, err)
			assert.Equal(t, v.config.Revision(), p.State.(daisyplan.Confirmed).Revision)
		}
	})
}

// Guards against a confirmation that is reported as failed, or that never ends, because
// the VM is slow to apply the configuration.
func TestConfirmationEndsBeforeTheConfigurationIsInForce(t *testing.T) {
	const (
		applyTime = time.Minute
		waitTime  = time.Second
	)
	cases := []struct {
		name      string
		interrupt func(v *configVM, cancel context.CancelFunc)
	}{
		{"context ends", func(_ *configVM, cancel context.CancelFunc) { cancel() }},
		{"configuration closed", func(v *configVM, _ context.CancelFunc) { v.config.Close() }},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newSlowVM(applyTime)
				defer v.Close()
				p, err := v.plans.Create(t.Context(), testIntent(1), "ana")
				assert.NilError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(waitTime, func() { k.interrupt(v, cancel) })
				began := time.Now()
				p, err = v.plans.Confirm(ctx, p.ID, "ana")
				assert.NilError(t, err)
				assert.Equal(t, time.Since(began), waitTime)
				assert.Equal(t, p.State.(daisyplan.Confirmed).Revision, daisyconfig.Revision(1))
			})
		})
	}
}
