package daisycontroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/io/daisyplatform"
)

func TestHistoryIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const revisions = 30
		f := newFleet(t, 1, 1, testHeartbeatInterval)
		defer f.Close()
		plans := f.vm("vm-1").plans
		for i := range revisions {
			p, err := plans.Create(t.Context(), testIntent(1+i), "ana")
			assert.NilError(t, err)
			_, err = plans.Confirm(t.Context(), p.ID, "ana")
			assert.NilError(t, err)
			time.Sleep(time.Second)
		}
		f.start(vmName(1), 1)
		time.Sleep(time.Second)
		config := f.vm("vm-2").config
		for _, reads := range []int64{revisions - 1, 0} {
			before := f.platform.objects.Load()
			history, err := config.History(t.Context(), 100)
			assert.NilError(t, err)
			assert.Equal(t, len(history), revisions)
			for i, h := range history {
				assert.Equal(t, h.Revision, daisyconfig.Revision(revisions-i))
			}
			assert.Equal(t, f.platform.objects.Load()-before, reads)
		}
		s, err := config.View(t.Context(), 7)
		assert.NilError(t, err)
		assert.Equal(t, len(s.Intent.Fleets[0].Services[0].Endpoints), 7)
		f.faulty.SetFaults(daisyplatform.Down{})
		history, err := config.History(t.Context(), 10)
		assert.NilError(t, err)
		assert.Equal(t, len(history), 10)
	})
}
