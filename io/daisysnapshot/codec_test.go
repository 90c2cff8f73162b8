package daisysnapshot_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisysnapshot"
)

var equateAddresses = cmpopts.EquateComparable(netip.AddrPort{})

var confirmedAt = time.Date(2026, time.November, 1, 8, 0, 0, 123, time.UTC)

// testSnapshot returns a snapshot with the given numbers of services and of
// endpoints per service.
func testSnapshot(services, endpoints int) *daisyconfig.Snapshot {
	fleet := daisyconfig.Fleet{Name: "vigia-lar"}
	for i := range 7 {
		id := daisyfleet.ZoneID{Fleet: fleet.Name, Zone: fmt.Sprintf("lisboa-%d", i+1)}
		fleet.AvailabilityZones = append(fleet.AvailabilityZones, daisyfleet.AvailabilityZone{ID: id, City: "lisboa"})
	}
	fleet.Ranks = []daisyrank.Rank{
		{Name: "urgent", Target: 250 * time.Millisecond, Worth: 100, Floor: 0.5},
		{Name: "standard", Target: 2 * time.Second, Worth: 10, Floor: 0.3},
	}
	for i := range services {
		s := daisyservice.Service{
			ID:          daisyservice.ID{Fleet: fleet.Name, Name: fmt.Sprintf("service-%d", i)},
			Ranks:       fleet.Ranks,
			DefaultRank: 1,
			Protocol:    daisyservice.Protocol(i % 2),
		}
		for j := range endpoints {
			s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{
				Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(j), 1}), 9000),
				Zone:        fleet.AvailabilityZones[j%7].ID,
				Slots:       3,
				Connections: 250,
				Draining:    j == 1,
			})
		}
		fleet.Services = append(fleet.Services, s)
	}
	return &daisyconfig.Snapshot{
		Revision:    7,
		Previous:    "ab",
		PlanID:      "20261101-080000-000001",
		ConfirmedBy: "ana",
		ConfirmedAt: confirmedAt,
		Intent:      daisyconfig.Intent{Fleets: []daisyconfig.Fleet{fleet}},
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	want := testSnapshot(2, 3)
	data, hash, err := daisysnapshot.Encode(want)
	assert.NilError(t, err)
	again, err := daisysnapshot.Hash(want)
	assert.NilError(t, err)
	assert.Equal(t, again, hash)
	got, err := daisysnapshot.Decode(data)
	assert.NilError(t, err)
	want.Hash = hash
	assert.DeepEqual(t, got, want, equateAddresses)
}

// TestHashIsStable guards against changes of the canonical JSON. VMs of different
// versions check each other's snapshots by their hash, so that the hash of a snapshot
// has to be the same in every version.
func TestHashIsStable(t *testing.T) {
	hash, err := daisysnapshot.Hash(testSnapshot(1, 2))
	assert.NilError(t, err)
	assert.Equal(t, hash, daisyconfig.Hash("31766bd17f0c3c9d50a923f736a4681e768624b14ad53a3989b2761574e74490"))
}

func TestRandomSnapshotRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := testSnapshot(rapid.IntRange(0, 3).Draw(t, "services"), rapid.IntRange(0, 3).Draw(t, "endpoints"))
		want.Revision = daisyconfig.Revision(rapid.Uint64Min(1).Draw(t, "revision"))
		want.ConfirmedBy = rapid.StringMatching(`[ -~äß€]*`).Draw(t, "by")
		f := &want.Intent.Fleets[0]
		f.AvailabilityZones[0].Evacuated = rapid.Bool().Draw(t, "evacuated")
		for _, s := range f.Services {
			for i := range s.Endpoints {
				s.Endpoints[i].Evacuated = f.Evacuated(s.Endpoints[i].Zone)
			}
		}
		want.Intent.Fleets[0].Ranks[0].Floor = rapid.Float64Range(0, 1).Draw(t, "floor")
		data, hash, err := daisysnapshot.Encode(want)
		assert.NilError(t, err)
		got, err := daisysnapshot.Decode(data)
		assert.NilError(t, err)
		want.Hash = hash
		assert.DeepEqual(t, got, want, equateAddresses)
	})
}

func compress(t testing.TB, text string) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write([]byte(text))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return b.Bytes()
}

func TestDecodeRejectsInvalidSnapshots(t *testing.T) {
	valid, _, err := daisysnapshot.Encode(testSnapshot(1, 1))
	assert.NilError(t, err)
	cases := []struct {
		name string
		data []byte
	}{
		{name: "nothing", data: nil},
		{name: "not compressed", data: []byte(`{"revision":1}`)},
		{name: "truncated", data: valid[:len(valid)/2]},
		{name: "not an object", data: compress(t, `[]`)},
		{name: "missing revision", data: compress(t, `{"intent":{"fleets":[]}}`)},
		{name: "negative revision", data: compress(t, `{"revision":-1}`)},
		{name: "invalid fleet name", data: compress(t, `{"revision":1,"intent":{"fleets":[{"name":"A B"}]}}`)},
		{name: "invalid target", data: compress(t, `{"revision":1,"intent":{"fleets":[{"name":"a","ranks":[{"name":"u","target":"soon"}]}]}}`)},
		{name: "undeclared rank", data: compress(t, `{"revision":1,"intent":{"fleets":[{"name":"a","services":[{"name":"s","ranks":["u"]}]}]}}`)},
		{name: "default rank out of range", data: compress(t, `{"revision":1,"intent":{"fleets":[{"name":"a","services":[{"name":"s","default-rank":3}]}]}}`)},
		{name: "protocol", data: compress(t, `{"revision":1,"intent":{"fleets":[{"name":"a","services":[{"name":"s","protocol":"x"}]}]}}`)},
		{name: "slots", data: compress(t, `{"revision":1,"intent":{"fleets":[{"name":"a","services":[{"name":"s","endpoints":[{"address":"10.0.0.1:1","slots":-1}]}]}]}}`)},
		{name: "address", data: compress(t, `{"revision":1,"intent":{"fleets":[{"name":"a","services":[{"name":"s","endpoints":[{"slots":1}]}]}]}}`)},
		{name: "too large", data: compress(t, string(bytes.Repeat([]byte{' '}, daisysnapshot.MaxDecodedSize+1)))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := daisysnapshot.Decode(c.data)
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidRequest), "%v", err)
		})
	}
}

func TestDecodeIgnoresUnknownFields(t *testing.T) {
	s, err := daisysnapshot.Decode(compress(t, `{"revision":3,"confirmed-at":"2026-11-01T08:00:00Z","intent":{"fleets":[]},"later":true}`))
	assert.NilError(t, err)
	assert.Equal(t, s.Revision, daisyconfig.Revision(3))
}

func TestHeadAndRecordRoundTrip(t *testing.T) {
	head := daisyconfig.Head{Revision: 3, Hash: "ab", PlanID: "p", ConfirmedBy: "ana", ConfirmedAt: confirmedAt}
	data, err := daisysnapshot.EncodeHead(head)
	assert.NilError(t, err)
	got, err := daisysnapshot.DecodeHead(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, head)
	states := []daisyplan.State{
		daisyplan.Open{}, daisyplan.Confirming{By: "ana", At: confirmedAt}, daisyplan.Confirmed{Revision: 4, By: "ana", At: confirmedAt},
		daisyplan.Discarded{By: "rui", At: confirmedAt}, daisyplan.Expired{}, daisyplan.Superseded{Revision: 5, By: "rui"},
	}
	for _, s := range states {
		want := daisyplan.Record{
			ID: "p", Base: 3, BaseHash: "ab", IntentHash: "cd", CreatedAt: confirmedAt, CreatedBy: "ana",
			Expires: confirmedAt.Add(daisyplan.Lifetime), State: s, ChangeCount: 2, WarningCount: 1,
		}
		data, err := daisysnapshot.EncodePlanRecord(want)
		assert.NilError(t, err)
		got, err := daisysnapshot.DecodePlanRecord(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
	_, err = daisysnapshot.DecodeHead([]byte(`{"revision":0,"hash":"ab"}`))
	assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidRequest))
	_, err = daisysnapshot.DecodePlanRecord([]byte(`{"state":{"name":"lost"}}`))
	assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidRequest))
}

// twoYearSnapshot returns a snapshot of the two-year size: 150 services with 1,800 endpoints.
// The addresses are random, because regular ones would compress better than real ones.
func twoYearSnapshot() *daisyconfig.Snapshot {
	s := testSnapshot(150, 12)
	random := rand.New(rand.NewPCG(1, 1))
	for _, v := range s.Intent.Fleets[0].Services {
		for i := range v.Endpoints {
			host := netip.AddrFrom4([4]byte{10, byte(random.IntN(256)), byte(random.IntN(256)), byte(random.IntN(256))})
			v.Endpoints[i].Address = netip.AddrPortFrom(host, uint16(9000+random.IntN(100)))
			v.Endpoints[i].Slots = 2 + random.IntN(3)
			v.Endpoints[i].Connections = 200 + 50*random.IntN(2)
		}
	}
	return s
}

// TestSnapshotTrafficAtTheTwoYearSize checks that 3,200 configuration changes a day,
// with one snapshot each, use less than a tenth of a VM's budget for control traffic,
// 18 KB per second.
func TestSnapshotTrafficAtTheTwoYearSize(t *testing.T) {
	const maxBytesPerSecond = 18_000 / 10
	const changesPerSecond = 3200.0 / 86_400
	s := twoYearSnapshot()
	data, _, err := daisysnapshot.Encode(s)
	assert.NilError(t, err)
	t.Logf("150 services with 1,800 endpoints: %d bytes, %.0f bytes a second at 3,200 changes a day", len(data), float64(len(data))*changesPerSecond)
	assert.Assert(t, float64(len(data))*changesPerSecond < maxBytesPerSecond)
}

func FuzzDecode(f *testing.F) {
	for _, size := range []int{0, 1, 3} {
		data, _, err := daisysnapshot.Encode(testSnapshot(size, size))
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add(compress(f, `{"revision":1,"intent":{"fleets":[{"name":"a","services":[{"name":"s","default-rank":3}]}]}}`))
	f.Add(compress(f, `{"revision":18446744073709551615,"confirmed-at":"9999-12-31T23:59:59.999999999Z","intent":{"fleets":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := daisysnapshot.Decode(data)
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidRequest), "%v", err)
			return
		}
		// A decoded snapshot can be encoded again, and decodes to an equal snapshot.
		data, hash, err := daisysnapshot.Encode(s)
		assert.NilError(t, err)
		again, err := daisysnapshot.Decode(data)
		assert.NilError(t, err)
		assert.Equal(t, again.Hash, hash)
		s.Hash = hash
		assert.DeepEqual(t, again, s, equateAddresses, cmpopts.EquateEmpty())
	})
}

func BenchmarkEncode(b *testing.B) {
	s := twoYearSnapshot()
	for b.Loop() {
		_, _, _ = daisysnapshot.Encode(s)
	}
}

func BenchmarkHash(b *testing.B) {
	s := twoYearSnapshot()
	for b.Loop() {
		_, _ = daisysnapshot.Hash(s)
	}
}

func BenchmarkDecode(b *testing.B) {
	data, _, err := daisysnapshot.Encode(twoYearSnapshot())
	assert.NilError(b, err)
	for b.Loop() {
		_, _ = daisysnapshot.Decode(data)
	}
}
