package daisydaemon

import (
	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisysetting"
)

const (
	// usedBudgetFraction is the fraction of the platform's retry budget that is used.
	// It leaves a margin, because VMs may briefly disagree on how many share the budget.
	usedBudgetFraction = 0.8
	// hedgeFraction is the fraction of the budget that hedges may use; the rest is for retries.
	hedgeFraction = 0.6
)

// retryBudget returns the budget for retries and hedges from the settings, or the
// default limits if the settings have none.
func retryBudget(s daisysetting.Managed) daisyroute.Budget {
	limits := daisybudget.Limits{
		Window:        s.RetryWindow,
		Share:         usedBudgetFraction * s.RetryShare,
		Reserve:       usedBudgetFraction * s.RetryReserve,
		HedgeFraction: hedgeFraction,
		HedgeReserve:  usedBudgetFraction * s.RetryReserve,
	}
	if limits.Share == 0 && limits.Reserve == 0 {
		limits = daisybudget.DefaultLimits()
	}
	return daisyroute.Shared{Limits: limits}
}
