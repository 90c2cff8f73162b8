package daisypeer

import (
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyquota"
	"daisyyoke/io/daisywire"
)

func encodeQuotaRequests(m daisymessage.QuotaRequests) *daisywire.QuotaRequests {
	w := &daisywire.QuotaRequests{}
	for _, r := range m.Requests {
		w.Requests = append(w.Requests, &daisywire.QuotaRequest{
			Fleet:    string(r.Account.Fleet),
			Account:  string(r.Account.Account),
			Term:     uint64(r.Term),
			Sequence: r.Sequence,
			Spent:    r.Spent,
			Returned: r.Returned,
			Waiting:  r.Waiting,
			Ahead:    r.Ahead,
			Standby:  r.Standby,
			Vms:      r.VMs,
		})
	}
	return w
}

func decodeQuotaRequests(w *daisywire.QuotaRequests) daisymessage.QuotaRequests {
	var m daisymessage.QuotaRequests
	for _, r := range w.GetRequests() {
		m.Requests = append(m.Requests, daisyquota.Request{
			Account:  decodeQuotaKey(r.GetFleet(), r.GetAccount()),
			Term:     daisyquota.Term(r.GetTerm()),
			Sequence: r.GetSequence(),
			Spent:    r.GetSpent(),
			Returned: r.GetReturned(),
			Waiting:  r.GetWaiting(),
			Ahead:    r.GetAhead(),
			Standby:  r.GetStandby(),
			VMs:      r.GetVms(),
		})
	}
	return m
}

func encodeQuotaGrants(m daisymessage.QuotaGrants) *daisywire.QuotaGrants {
	w := &daisywire.QuotaGrants{}
	for _, g := range m.Grants {
		w.Grants = append(w.Grants, &daisywire.QuotaGrant{
			Fleet:            string(g.Account.Fleet),
			Account:          string(g.Account.Account),
			Term:             uint64(g.Term),
			Sequence:         g.Sequence,
			Granted:          g.Granted,
			NextMicroseconds: g.Next.Microseconds(),
			Declined:         g.Declined,
		})
	}
	return w
}

func decodeQuotaGrants(w *daisywire.QuotaGrants) daisymessage.QuotaGrants {
	var m daisymessage.QuotaGrants
	for _, g := range w.GetGrants() {
		m.Grants = append(m.Grants, daisyquota.Grant{
			Account:  decodeQuotaKey(g.GetFleet(), g.GetAccount()),
			Term:     daisyquota.Term(g.GetTerm()),
			Sequence: g.GetSequence(),
			Granted:  g.GetGranted(),
			Next:     time.Duration(g.GetNextMicroseconds()) * time.Microsecond,
			Declined: g.GetDeclined(),
		})
	}
	return m
}

func decodeQuotaKey(fleet, account string) daisyquota.Key {
	return daisyquota.Key{Fleet: daisyfleet.Name(fleet), Account: daisyaccount.Name(account)}
}
