package daisycontroller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
	"daisyyoke/io/daisyplatform"
)

var platformFaults = []daisyplatform.Fault{
	daisyplatform.Down{},
	daisyplatform.Slow{Delay: 3 * time.Second},
	daisyplatform.Slow{Delay: 20 * time.Second},
	daisyplatform.Lagging{By: 5 * time.Second},
	daisyplatform.LostReplies{Share: 0.5},
	daisyplatform.LostReplies{Share: 1},
	daisyplatform.Throttled{PerSecond: 5},
}

// raceTest is two VMs, each with an operator, on a platform that can have faults.
type raceTest struct {
	t      *testing.T
	random *rand.Rand
	faulty *daisyplatform.Faulty
	vms    []*configVM
}

// raceGroups is the number of groups of seeds that run in parallel.
const raceGroups = 10

// runRaces runs a test with the given number of seeds, each in its own virtual time.
// Short mode runs a tenth of the seeds.
func runRaces(t *testing.T, seeds int, test func(r *raceTest)) {
	t.Helper()
	perGroup := seeds / raceGroups
	if testing.Short() {
		perGroup /= 10
	}
	for group := range raceGroups {
		t.Run(fmt.Sprintf("group %d", group), func(t *testing.T) {
			t.Parallel()
			for i := range perGroup {
				seed := uint64(perGroup*group + i)
				synctest.Test(t, func(t *testing.T) { runRace(t, seed, test) })
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

func runRace(t *testing.T, seed uint64, test func(r *raceTest)) {
	t.Helper()
	r := &raceTest{t: t, random: rand.New(rand.NewPCG(seed, 3)), faulty: daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), seed)}
	r.vms = []*configVM{
		newConfigVM(t, "vm-1", r.faulty, noopSender{}, seed),
		newConfigVM(t, "vm-2", r.faulty, noopSender{}, seed),
	}
	defer r.vms[0].Close()
	defer r.vms[1].Close()
	assert.NilError(t, r.vms[0].plans.ConfirmFirst(t.Context(), testIntent(1), "ana"))
	time.Sleep(10 * time.Second)
	test(r)
}

// injectFaults injects two random faults and clears them after less than 15 s.
func (r *raceTest) injectFaults() {
	a := platformFaults[r.random.IntN(len(platformFaults))]
	b := platformFaults[r.random.IntN(len(platformFaults))]
	length := time.Duration(r.random.Int64N(int64(15 * time.Second)))
	r.faulty.SetFaults(a, b)
	time.AfterFunc(length, func() { r.faulty.SetFaults() })
}

// confirm retries the confirmation on a VM until the result is definite.
func (r *raceTest) confirm(v *configVM, id daisyplan.ID, operator string, wait time.Duration) error {
	time.Sleep(wait)
	for {
		_, err := v.plans.Confirm(r.t.Context(), id, operator)
		if !errorx.IsOfType(err, daisyerror.Unavailable) && !errorx.IsOfType(err, daisyerror.Unknown) {
			return err
		}
	}
}

func (r *raceTest) randomDelays() (time.Duration, time.Duration) {
	return time.Duration(r.random.IntN(3)) * time.Millisecond, time.Duration(r.random.IntN(3)) * time.Millisecond
}

// waitSettled waits until the faults are cleared and both VMs have the same configuration in
// force, and checks their history.
func (r *raceTest) waitSettled() *daisyconfig.Snapshot {
	time.Sleep(time.Minute)
	s := r.vms[0].config.InForce()
	assert.Equal(r.t, s.Hash, r.vms[1].config.InForce().Hash)
	history, err := r.vms[1].config.History(r.t.Context(), 10)
	assert.NilError(r.t, err)
	assert.Equal(r.t, len(history), int(s.Revision))
	return s
}

func (r *raceTest) state(id daisyplan.ID) string {
	p, err := r.vms[1].plans.View(r.t.Context(), id)
	assert.NilError(r.t, err)
	return daisyplan.StateName(p.State)
}

func TestTwoOperatorsRace(t *testing.T) {
	runRaces(t, 1000, func(r *raceTest) {
		ctx := r.t.Context()
		a, err := r.vms[0].plans.Create(ctx, testIntent(2), "ana")
		assert.NilError(r.t, err)
		b, err := r.vms[1].plans.Create(ctx, testIntent(3), "rui")
		assert.NilError(r.t, err)
		r.injectFaults()
		waitA, waitB := r.randomDelays()
		result := make(chan error, 1)
		go func() { result <- r.confirm(r.vms[0], a.ID, "ana", waitA) }()
		errB := r.confirm(r.vms[1], b.ID, "rui", waitB)
		errA := <-result
		s := r.waitSettled()
		assert.Equal(r.t, s.Revision, daisyconfig.Revision(2))
		winner, loser, loserErr := a, b, errB
		if errA != nil {
			winner, loser, loserErr = b, a, errA
		}
		assert.Assert(r.t, (errA == nil) != (errB == nil), "%v, %v", errA, errB)
		assert.Assert(r.t, errorx.IsOfType(loserErr, daisyerror.Stale), "%v", loserErr)
		assert.Equal(r.t, s.PlanID, string(winner.ID))
		assert.DeepEqual(r.t, len(s.Intent.Fleets[0].Services[0].Endpoints), len(winner.Intent.Fleets[0].Services[0].Endpoints))
		assert.Equal(r.t, r.state(winner.ID), "confirmed")
		assert.Equal(r.t, r.state(loser.ID), "superseded")
	})
}

func TestOnePlanConfirmedTwice(t *testing.T) {
	runRaces(t, 300, func(r *raceTest) {
		p, err := r.vms[0].plans.Create(r.t.Context(), testIntent(2), "ana")
		assert.NilError(r.t, err)
		r.injectFaults()
		waitA, waitB := r.randomDelays()
		result := make(chan error, 1)
		go func() { result <- r.confirm(r.vms[0], p.ID, "ana", waitA) }()
		assert.NilError(r.t, r.confirm(r.vms[1], p.ID, "rui", waitB))
		assert.NilError(r.t, <-result)
		s := r.waitSettled()
		assert.Equal(r.t, s.Revision, daisyconfig.Revision(2))
		assert.Equal(r.t, s.PlanID, string(p.ID))
	})
}

func TestConfirmAndDiscardRace(t *testing.T) {
	runRaces(t, 300, func(r *raceTest) {
		p, err := r.vms[0].plans.Create(r.t.Context(), testIntent(2), "ana")
		assert.NilError(r.t, err)
		r.injectFaults()
		waitA, waitB := r.randomDelays()
		result := make(chan error, 1)
		go func() { result <- r.confirm(r.vms[0], p.ID, "ana", waitA) }()
		time.Sleep(waitB)
		discardErr := r.vms[1].plans.Discard(r.t.Context(), p.ID, "rui")
		for errorx.IsOfType(discardErr, daisyerror.Unavailable) {
			discardErr = r.vms[1].plans.Discard(r.t.Context(), p.ID, "rui")
		}
		confirmErr := <-result
		s := r.waitSettled()
		assert.Assert(r.t, (confirmErr == nil) != (discardErr == nil), "%v, %v", confirmErr, discardErr)
		assert.Equal(r.t, s.Revision == 2, confirmErr == nil)
	})
}
