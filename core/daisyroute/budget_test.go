package daisyroute

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisybudget"
)

func TestSharedBudgetsDivideTheReserves(t *testing.T) {
	l := daisybudget.Limits{Share: 0.2, Reserve: 60, HedgeFraction: 0.6, HedgeReserve: 30}
	assert.Equal(t, PerVM{Limits: l}.limits(6), l)
	assert.Equal(t, Shared{Limits: l}.limits(6), daisybudget.Limits{Share: 0.2, Reserve: 10, HedgeFraction: 0.6, HedgeReserve: 5})
}
