package daisysnapshot

import (
	"encoding/hex"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
)

type accountDocument struct {
	Name string `json:"name"`
	// KeyDigests are lower-case hexadecimal SHA-256 digests.
	KeyDigests []string `json:"key-digests,omitempty"`
	Rank       string   `json:"rank,omitempty"`
	PerSecond  float64  `json:"rate-per-second,omitempty"`
	Burst      float64  `json:"burst,omitempty"`
}

type adjustmentDocument struct {
	Entry   string `json:"entry"`
	Problem string `json:"problem"`
	Effect  string `json:"effect"`
}

func newAccountDocument(a daisyaccount.Account) accountDocument {
	d := accountDocument{Name: string(a.Name), Rank: string(a.Rank), PerSecond: a.Quota.PerSecond, Burst: a.Quota.Burst}
	for _, k := range a.Keys {
		d.KeyDigests = append(d.KeyDigests, hex.EncodeToString(k[:]))
	}
	return d
}

func (d accountDocument) account() (daisyaccount.Account, error) {
	a := daisyaccount.Account{Name: daisyaccount.Name(d.Name), Rank: daisyrank.Name(d.Rank)}
	for _, text := range d.KeyDigests {
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != len(daisyaccount.Digest{}) {
			return a, daisyerror.InvalidRequest.New("account %q: malformed digest of a key", d.Name)
		}
		a.Keys = append(a.Keys, daisyaccount.Digest(digest))
	}
	var ok bool
	if a.Quota, ok = daisyaccount.NewQuota(d.PerSecond, d.Burst); !ok {
		return a, daisyerror.InvalidRequest.New("account %q: negative rate or burst", d.Name)
	}
	return a, nil
}

func newAdjustmentDocuments(adjustments []daisyconfig.Adjustment) []adjustmentDocument {
	var documents []adjustmentDocument
	for _, a := range adjustments {
		documents = append(documents, adjustmentDocument{Entry: a.Entry, Problem: a.Problem, Effect: a.Effect})
	}
	return documents
}

func (d snapshotDocument) adjustments() []daisyconfig.Adjustment {
	var adjustments []daisyconfig.Adjustment
	for _, a := range d.Adjustments {
		adjustments = append(adjustments, daisyconfig.Adjustment{Entry: a.Entry, Problem: a.Problem, Effect: a.Effect})
	}
	return adjustments
}

func encodeZones(zones []daisyfleet.ZoneID) []string {
	var names []string
	for _, z := range zones {
		names = append(names, z.String())
	}
	return names
}

func decodeZones(names []string) ([]daisyfleet.ZoneID, error) {
	var zones []daisyfleet.ZoneID
	for _, n := range names {
		z, err := daisyfleet.ParseZoneID(n)
		if err != nil {
			return nil, daisyerror.InvalidRequest.Wrap(err, "evacuated availability zone")
		}
		zones = append(zones, z)
	}
	return zones, nil
}
