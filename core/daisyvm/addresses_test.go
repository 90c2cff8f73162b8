package daisyvm_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

func memberNamed(name daisyvm.Name, state daisyvm.State, status daisyvm.Status) daisyvm.Member {
	callers := netip.MustParseAddrPort("10.0.0.1:8080")
	return daisyvm.Member{VM: daisyvm.VM{Name: name, Callers: callers}, State: state, Status: status}
}

func TestAnswersNameReadyVMsWithShortTTLWhileOthersAreNotReady(t *testing.T) {
	ready := daisyvm.Status{Ready: true}
	cases := []struct {
		name   string
		self   daisyvm.Status
		others []daisyvm.Member
		vms    int
		ttl    time.Duration
	}{
		{"all ready", ready, []daisyvm.Member{memberNamed("b", daisyvm.Live, ready)}, 2, daisyvm.AnswerTTL},
		{"one not ready", ready, []daisyvm.Member{memberNamed("b", daisyvm.Live, daisyvm.Status{})}, 1, daisyvm.NotReadyTTL},
		{"none ready", daisyvm.Status{}, []daisyvm.Member{memberNamed("b", daisyvm.Live, daisyvm.Status{})}, 2, daisyvm.NotReadyTTL},
		{"one dead", ready, []daisyvm.Member{memberNamed("b", daisyvm.Dead, daisyvm.Status{})}, 1, daisyvm.AnswerTTL},
		{"one leaving", ready, []daisyvm.Member{memberNamed("b", daisyvm.Live, daisyvm.Status{Ready: true, Leaving: true})}, 1, daisyvm.AnswerTTL},
		{"alone and leaving", daisyvm.Status{Ready: true, Leaving: true}, nil, 1, daisyvm.NotReadyTTL},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := daisyvm.NewAddressSelector(rand.New(rand.NewPCG(1, 1)), daisyvm.DefaultSpareExponent)
			answer := a.Answer(memberNamed("a", daisyvm.Live, c.self), c.others)
			assert.Equal(t, len(answer.VMs), c.vms)
			assert.Equal(t, answer.TTL, c.ttl)
		})
	}
}
