package daisypeer

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisysnapshot"
	"daisyyoke/io/daisywire"
)

var (
	testNow      = time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)
	testEpoch    = testNow.Add(-time.Hour)
	testZone     = daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "lisboa-1"}
	testEndpoint = netip.MustParseAddrPort("10.0.0.7:9001")
	testService  = daisyservice.ID{Fleet: "vigia-lar", Name: "visit-lookups"}
	testTerm     = daisycredit.Term{Owner: "vm-1", Incarnation: 7, Number: 3}
)

func testVM(name daisyvm.Name) daisyvm.VM {
	return daisyvm.VM{
		Name:        name,
		Incarnation: 1_793_000_000_000,
		Zone:        testZone,
		Callers:     netip.MustParseAddrPort("10.0.0.1:8080"),
		Peers:       netip.MustParseAddrPort("[fd00::1]:8090"),
	}
}

func testSnapshot(endpoints int) daisyconfig.Snapshot {
	ranks := []daisyrank.Rank{{Name: "urgent", Target: 250 * time.Millisecond, Worth: 100, Floor: 0.5}, {Name: "bulk", Target: time.Hour}}
	service := daisyservice.Service{ID: testService, Ranks: ranks, DefaultRank: 1}
	for i := range endpoints {
		address := netip.AddrPortFrom(testEndpoint.Addr(), uint16(9001+i))
		service.Endpoints = append(service.Endpoints, daisyendpoint.Endpoint{Address: address, Zone: testZone, Slots: 3, Connections: 250, Draining: i == 1})
	}
	return withHash(daisyconfig.Snapshot{
		Revision: 9,
		Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
			Name:              "vigia-lar",
			AvailabilityZones: []daisyfleet.AvailabilityZone{{ID: testZone, City: "lisboa"}},
			Ranks:             ranks,
			Services:          []daisyservice.Service{service},
		}}},
		ConfirmedAt: testNow,
		ConfirmedBy: "ana",
		PlanID:      "p-1",
	})
}

// withHash returns the snapshot with the hash of its content.
func withHash(s daisyconfig.Snapshot) daisyconfig.Snapshot {
	hash, err := daisysnapshot.Hash(&s)
	if err != nil {
		panic(err)
	}
	s.Hash = hash
	return s
}

func testHeartbeat() daisymessage.Heartbeat {
	return daisymessage.Heartbeat{
		VM:         testVM("vm-1"),
		Sequence:   300,
		Revision:   9,
		Hash:       "00ff10",
		Spare:      12,
		Leaving:    true,
		Ready:      true,
		Stopping:   true,
		Sent:       testNow,
		Echo:       testNow.Add(-time.Second),
		EchoHeld:   time.Millisecond,
		Heard:      []daisyvm.HeartbeatReport{{VM: 5, Sequence: 6}, {VM: 7, Sequence: 1 << 40}},
		Introduced: []daisyvm.VM{testVM("vm-3")},
	}
}

var testAccount = daisyquota.Key{Fleet: "f", Account: "a"}

func testMessages() []daisymessage.Message {
	demand := []daisycredit.Demand{{Waiting: 4, InFlight: 2}, {}}
	return []daisymessage.Message{
		testHeartbeat(),
		daisymessage.Heartbeat{VM: testVM("vm-1"), Sent: testEpoch},
		daisymessage.SnapshotWanted{Hash: "00ff10"},
		daisymessage.SnapshotGiven{Snapshot: testSnapshot(3)},
		daisymessage.CreditReport{Report: daisycredit.Report{
			Service:  testService,
			Term:     testTerm,
			Sequence: 8,
			Held:     []daisycredit.Held{{Endpoint: testEndpoint, Returned: 1 << 33, InFlight: 2, Restricted: true}},
			Demand:   demand,
		}},
		daisymessage.CreditGrant{Grant: daisycredit.Grant{
			Service:  testService,
			Term:     testTerm,
			Sequence: 9,
			Granted:  []daisycredit.Granted{{Endpoint: testEndpoint, Granted: 17, Recalled: 3}},
			Target:   5,
		}},
		daisymessage.EndpointNews{
			Service: testService,
			Address: testEndpoint,
			Report:  daisyendpoint.Report{At: testNow.Add(-time.Second), InFlight: 2, Slots: 3, Draining: true},
		},
		daisymessage.StopWanted{By: "ana"},
		daisymessage.QuotaRequests{Requests: []daisyquota.Request{{Account: testAccount, Term: 7, Sequence: 2, Spent: -1, Waiting: 3}}},
		daisymessage.QuotaGrants{Grants: []daisyquota.Grant{{Account: testAccount, Term: 7, Sequence: 2, Granted: 3, Next: time.Second}}},
		daisymessage.RowsWanted{Topic: daisyfeed.Endpoints, After: 1 << 40},
		daisymessage.RowsGiven{
			Topic: daisyfeed.Endpoints,
			Changes: daisyfeed.Changes{
				Rows:     []daisyfeed.Row{{Key: "i-1", Version: 7, Value: []byte("{}")}, {Key: "i-2", Version: 8, Removed: true}},
				After:    6,
				Last:     8,
				Complete: true,
				Grace:    time.Second,
			},
		},
		daisymessage.CrashFindings{Findings: []daisycrash.Finding{
			daisycrash.Crash{
				Request:  daisyrequest.Fingerprint{Head: daisyrequest.Digest{1}, Body: daisyrequest.Digest{2}},
				Service:  testService,
				Endpoint: testEndpoint,
				Sent:     testNow.Add(-time.Minute - time.Second),
				At:       testNow.Add(-time.Minute),
			},
			daisycrash.Verdict{Request: daisyrequest.Fingerprint{Head: daisyrequest.Digest{5}, Body: daisyrequest.Digest{6}}, Service: testService},
			daisycrash.Acquittal{Request: daisyrequest.Fingerprint{Head: daisyrequest.Digest{3}, Body: daisyrequest.Digest{4}}},
		}},
	}
}

var compareOptions = []cmp.Option{cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateApproxTime(time.Microsecond)}

func testCodecs() (*encoder, *decoder) {
	e := &encoder{epoch: testEpoch, peerEpoch: testEpoch.Add(time.Minute), lastVM: testVM("vm-1"), compressor: &rowCompressor{}}
	d := &decoder{epoch: testEpoch.Add(time.Minute), peerEpoch: testEpoch, lastVM: testVM("vm-1")}
	return e, d
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	e, d := testCodecs()
	for range 2 {
		for _, m := range testMessages() {
			frame, err := proto.Marshal(e.encode(testNow, m))
			assert.NilError(t, err)
			got, err := d.decode(testNow, frame)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, m, compareOptions...)
		}
	}
}

func TestHeartbeatOmitsUnchangedFields(t *testing.T) {
	e, _ := testCodecs()
	m := testHeartbeat()
	m.Introduced = nil
	first := proto.Size(e.encode(testNow, m))
	second := proto.Size(e.encode(testNow, m))
	assert.Assert(t, second < first, "%d bytes, then %d", first, second)
	assert.Assert(t, e.encode(testNow, m).GetHeartbeat().Vm == nil)
	m.VM.Incarnation++
	assert.Assert(t, e.encode(testNow, m).GetHeartbeat().Vm != nil)
}

// frameOfNextVersion returns a frame as a VM of the next version may send it, with a field that
// this version does not know.
func frameOfNextVersion(t testing.TB, known *daisywire.Frame) []byte {
	t.Helper()
	frame, err := proto.Marshal(known)
	assert.NilError(t, err)
	frame = protowire.AppendTag(frame, 900, protowire.BytesType)
	return protowire.AppendString(frame, "field of a later version")
}

func TestDecodeIgnoresUnknownFieldsAndMessages(t *testing.T) {
	e, d := testCodecs()
	m := testMessages()[7]
	got, err := d.decode(testNow, frameOfNextVersion(t, e.encode(testNow, m)))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
	got, err = d.decode(testNow, frameOfNextVersion(t, &daisywire.Frame{}))
	assert.NilError(t, err)
	assert.Assert(t, got == nil)
}

func TestDecodeRejectsInvalidFrames(t *testing.T) {
	unpaired := &daisywire.Frame{Message: &daisywire.Frame_Heartbeat{Heartbeat: &daisywire.Heartbeat{HeardDigests: []uint32{1}}}}
	badName := &daisywire.Frame{Message: &daisywire.Frame_Heartbeat{Heartbeat: &daisywire.Heartbeat{Vm: &daisywire.VM{Name: "VM 1"}}}}
	badAddress := &daisywire.Frame{Message: &daisywire.Frame_EndpointNews{EndpointNews: &daisywire.EndpointNews{Address: []byte{1, 2, 3}}}}
	unknownRank := testSnapshot(1)
	unknownRank.Intent.Fleets[0].Services[0].DefaultRank = 3
	badRank := &daisywire.Frame{Message: &daisywire.Frame_SnapshotGiven{SnapshotGiven: encodeSnapshot(unknownRank)}}
	truncated := encodeSnapshot(testSnapshot(1))
	truncated.Snapshot = truncated.Snapshot[:len(truncated.Snapshot)/2]
	badSnapshot := &daisywire.Frame{Message: &daisywire.Frame_SnapshotGiven{SnapshotGiven: truncated}}
	for name, f := range map[string]*daisywire.Frame{
		"unpaired digests":   unpaired,
		"invalid name":       badName,
		"invalid address":    badAddress,
		"invalid rank":       badRank,
		"truncated snapshot": badSnapshot,
	} {
		t.Run(name, func(t *testing.T) {
			frame, err := proto.Marshal(f)
			assert.NilError(t, err)
			_, d := testCodecs()
			_, err = d.decode(testNow, frame)
			assert.Assert(t, errorx.IsOfType(err, Malformed), "%v", err)
		})
	}
}

// The VMs that read the platform's store send the same rows to all others, so the rows must
// be compressed only once, not once for each peer.
func TestLargeRowsAreCompressedOnceForAllPeers(t *testing.T) {
	e, d := testCodecs()
	value := bytes.Repeat([]byte(`{"name":"lookups","prefix":"/a/"},`), 1000)
	m := daisymessage.RowsGiven{Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{{Key: "config", Version: 7, Value: value}}, Last: 7}}
	w := e.encode(testNow, m)
	frame, err := proto.Marshal(w)
	assert.NilError(t, err)
	assert.Assert(t, len(frame) < len(value)/5, "%d bytes of %d", len(frame), len(value))
	got, err := d.decode(testNow, frame)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
	again := e.encode(testNow, m)
	assert.Assert(t, &w.GetRowsGiven().Packed[0] == &again.GetRowsGiven().Packed[0], "rows were compressed again for another peer")
	other := m
	other.Changes.Rows = []daisyfeed.Row{{Key: "config", Version: 8, Value: value[:2000]}}
	frame, err = proto.Marshal(e.encode(testNow, other))
	assert.NilError(t, err)
	got, err = d.decode(testNow, frame)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, other)
}

func TestDecodeRejectsInvalidCompressedRows(t *testing.T) {
	_, d := testCodecs()
	packed, err := compressRows([]daisyfeed.Row{{Key: "config", Value: make([]byte, maxDecompressedBytes)}})
	assert.NilError(t, err)
	for _, p := range [][]byte{packed, packed[:len(packed)/2], []byte("not DEFLATE")} {
		frame, err := proto.Marshal(&daisywire.Frame{Message: &daisywire.Frame_RowsGiven{RowsGiven: &daisywire.RowsGiven{Packed: p}}})
		assert.NilError(t, err)
		_, err = d.decode(testNow, frame)
		assert.Assert(t, errorx.IsOfType(err, Malformed), "%v", err)
	}
}

func TestFrameReaderRejectsInvalidFrames(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
		kind  *errorx.Type
	}{
		{name: "invalid length", bytes: bytes.Repeat([]byte{0xff}, 12), kind: Malformed},
		{name: "truncated length", bytes: []byte{0x80}, kind: Malformed},
		{name: "truncated frame", bytes: []byte{5, 1, 2}, kind: Malformed},
		{name: "oversized", bytes: binary.AppendUvarint(nil, maxUrgentFrame+1), kind: Oversized},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &frameReader{reader: bytes.NewReader(c.bytes), limit: maxUrgentFrame}
			_, err := f.next()
			assert.Assert(t, errorx.IsOfType(err, c.kind), "%v", err)
		})
	}
	_, err := appendFrame(nil, &daisywire.Frame{Message: &daisywire.Frame_StopWanted{StopWanted: &daisywire.StopWanted{By: "a long name"}}}, 5)
	assert.Assert(t, errorx.IsOfType(err, Oversized))
}

func FuzzFrames(f *testing.F) {
	e, _ := testCodecs()
	for _, m := range testMessages() {
		frame, err := appendFrame(nil, e.encode(testNow, m), maxBulkFrame)
		assert.NilError(f, err)
		f.Add(frame)
		f.Add(frame[:len(frame)/2])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, b []byte) {
		reader := &frameReader{reader: bytes.NewReader(b), limit: maxUrgentFrame}
		encoder, decoder := testCodecs()
		for {
			frame, err := reader.next()
			if err != nil {
				return
			}
			assert.Assert(t, len(frame) <= maxUrgentFrame)
			m, err := decoder.decode(testNow, frame)
			if err == nil && m != nil {
				encoder.encode(testNow, m)
			}
		}
	})
}

func BenchmarkEncodeHeartbeat(b *testing.B) {
	e, _ := testCodecs()
	m := testHeartbeat()
	m.Introduced = nil
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer, _ = appendFrame(buffer[:0], e.encode(testNow, m), maxUrgentFrame)
	}
	b.ReportMetric(float64(len(buffer)), "B/frame")
}

func BenchmarkDecode(b *testing.B) {
	for name, m := range map[string]daisymessage.Message{"heartbeat": testHeartbeat(), "grant": testMessages()[5], "snapshot-1800": daisymessage.SnapshotGiven{Snapshot: testSnapshot(1800)}} {
		b.Run(name, func(b *testing.B) {
			e, d := testCodecs()
			frame, err := proto.Marshal(e.encode(testNow, m))
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.decode(testNow, frame); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)), "B/frame")
		})
	}
}
