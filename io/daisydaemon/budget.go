package daisydaemon

import (
	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisysetting"
)

const (
	// budgetUsed is the part of the platform's retry budget that is used: VMs may
	// disagree for a moment on how many share it.
	budgetUsed = 0.8
	// hedgeFraction is the fraction of the budget that hedges may use; the rest is for retries.
	hedgeFraction = 0.6
)

// retryBudget takes the limits of retries and hedges from the settings.
func retryBudget(s daisysetting.Managed) daisyroute.Budget {
	limits := daisybudget.Limits{
		Window:        s.RetryWindow,
		Share:         budgetUsed * s.RetryShare,
		Reserve:       budgetUsed * s.RetryReserve,
		HedgeFraction: hedgeFraction,
		HedgeReserve:  budgetUsed * s.RetryReserve,
	}
	if limits.Share == 0 && limits.Reserve == 0 {
		limits = daisybudget.DefaultLimits()
	}
	return daisyroute.Shared{Limits: limits}
}
