package daisymetric

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyquota"
)

// maxNamedAccounts is the number of accounts with metrics under their own names. All others
// count as one, named "" in the label, since their number is the configuration's.
const maxNamedAccounts = 20

// SetQuotas names the accounts with the highest quotas in the metrics. An account that had a
// name keeps it, so that the number of metrics stays bounded when the configuration changes.
func (m *Metrics) SetQuotas(quotas map[daisyquota.Key]daisyaccount.Quota) {
	if m == nil {
		return
	}
	keys := slices.SortedFunc(maps.Keys(quotas), func(a, b daisyquota.Key) int {
		return cmp.Or(cmp.Compare(quotas[b].PerSecond, quotas[a].PerSecond), cmp.Compare(a.Fleet, b.Fleet), cmp.Compare(a.Account, b.Account))
	})
	m.accountsMu.Lock()
	defer m.accountsMu.Unlock()
	for _, k := range keys {
		if len(m.accounts) < maxNamedAccounts && quotas[k].Limited() {
			if m.accounts == nil {
				m.accounts = make(map[daisyquota.Key]bool)
			}
			m.accounts[k] = true
		}
	}
}

// QuotaRequest counts a request of an account with a quota by whether it may pass, and the
// time that it waited for the decision.
func (m *Metrics) QuotaRequest(account daisyquota.Key, passed bool, waited time.Duration) {
	if m == nil {
		return
	}
	m.accountsMu.RLock()
	named := m.accounts[account]
	m.accountsMu.RUnlock()
	if !named {
		account = daisyquota.Key{}
	}
	outcome := "refused"
	if passed {
		outcome = "passed"
	}
	key := quotaKey{account: account, outcome: outcome}
	m.quotas.get(key, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`daisyyoke_quota_requests_total{fleet=%q,account=%q,outcome=%q}`,
			string(account.Fleet), string(account.Account), outcome))
	}).Inc()
	m.quotaWait.Update(seconds(waited))
}
