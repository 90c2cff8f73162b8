package daisycontroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyplan"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

// confirm creates and confirms a plan on a VM.
func (v *configVM) confirm(t *testing.T, endpoints int) daisyplan.Plan {
	t.Helper()
	p, err := v.plans.Create(t.Context(), testIntent(endpoints), "ana")
	assert.NilError(t, err)
	p, err = v.plans.Confirm(t.Context(), p.ID, "ana")
	assert.NilError(t, err)
	return p
}

// Guards against a confirmed configuration that is lost, and against plans that no VM puts
// in force any more, after the platform was restored from a backup.
func TestConfirmedConfigurationSurvivesRestoreOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := daisyplatform.NewEmbedded()
		v := newConfigVM(t, "vm-1", platform, noopSender{}, 1)
		defer v.Close()
		v.confirm(t, 2)
		time.Sleep(10 * time.Second)
		open, err := v.plans.Create(t.Context(), testIntent(5), "rui")
		assert.NilError(t, err)
		v.confirm(t, 3)
		platform.Restore(5 * time.Second)
		time.Sleep(2 * daisyconfig.HeadPollInterval)
		assert.Equal(t, v.config.Revision(), daisyconfig.Revision(2))

		fresh := newConfigVM(t, "vm-2", platform, noopSender{}, 2)
		defer fresh.Close()
		time.Sleep(time.Second)
		assert.Equal(t, fresh.config.Revision(), daisyconfig.Revision(2), "the head row is written again")

		assert.NilError(t, v.plans.Discard(t.Context(), open.ID, "rui"), "a plan that the platform lost is written again")
		v.confirm(t, 4)
		time.Sleep(2 * daisyconfig.HeadPollInterval)
		for _, c := range []*daisycontroller.Config{v.config, fresh.config} {
			assert.Equal(t, c.Revision(), daisyconfig.Revision(3))
		}
	})
}

// Guards against a plan that cannot be changed while reads lag, on a platform that was
// restored long before.
func TestPlanIsChangedDespiteLagAfterAnEarlierRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		embedded := daisyplatform.NewEmbedded()
		platform := daisyplatform.NewFaulty(embedded, 1)
		embedded.Restore(time.Second)
		v := newConfigVM(t, "vm-1", platform, noopSender{}, 1)
		defer v.Close()
		p, err := v.plans.Create(t.Context(), testIntent(2), "ana")
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		platform.SetFaults(daisyplatform.Lagging{By: 30 * time.Second})
		start := time.Now()
		assert.NilError(t, v.plans.Discard(t.Context(), p.ID, "ana"))
		assert.Check(t, time.Since(start) < time.Second, "discarded after %v", time.Since(start))
	})
}
