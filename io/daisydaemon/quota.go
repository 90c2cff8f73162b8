package daisydaemon

import (
	"net/netip"
	"slices"

	"daisyyoke/core/daisyquota"
	"daisyyoke/io/daisycontroller"
)

// newQuota returns the controller of the quotas of client accounts.
func (d *Managed) newQuota(seed uint64) *daisycontroller.Quota {
	s := d.settings
	return daisycontroller.NewQuota(daisycontroller.QuotaOptions{
		Self:        d.self,
		Sender:      d.links,
		Bounds:      daisyquota.Bounds{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		OthersExist: slices.ContainsFunc(s.Seeds, func(a netip.AddrPort) bool { return a != s.Peers }),
		Log:         d.log,
		Metrics:     d.metrics,
		Seed:        seed,
	})
}
