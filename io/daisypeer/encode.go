package daisypeer

import (
	"encoding/hex"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisysnapshot"
	"daisyyoke/io/daisywire"
)

// encoder maps messages to frames for one stream. It omits fields of a heartbeat that have
// not changed since the last heartbeat on the stream. This is safe because a stream is
// reliable and ordered.
type encoder struct {
	// epoch and peerEpoch are the epochs in the hellos of this VM and of the peer.
	epoch     time.Time
	peerEpoch time.Time
	// lastVM and lastConfig are the values in the last heartbeat on the stream.
	lastVM     daisyvm.VM
	lastConfig configID
	// compressor is shared by the streams to all peers.
	compressor *rowCompressor
}

// configID identifies the configuration in force at the sender of a heartbeat.
type configID struct {
	revision daisyconfig.Revision
	hash     daisyconfig.Hash
}

func (e *encoder) encode(now time.Time, message daisymessage.Message) *daisywire.Frame {
	switch m := message.(type) {
	case daisymessage.Heartbeat:
		return &daisywire.Frame{Message: &daisywire.Frame_Heartbeat{Heartbeat: e.heartbeat(m)}}
	case daisymessage.SnapshotWanted:
		w := &daisywire.SnapshotWanted{Hash: encodeHash(m.Hash)}
		return &daisywire.Frame{Message: &daisywire.Frame_SnapshotWanted{SnapshotWanted: w}}
	case daisymessage.SnapshotGiven:
		return &daisywire.Frame{Message: &daisywire.Frame_SnapshotGiven{SnapshotGiven: encodeSnapshot(m.Snapshot)}}
	case daisymessage.CreditReport:
		return &daisywire.Frame{Message: &daisywire.Frame_CreditReport{CreditReport: encodeReport(m.Report)}}
	case daisymessage.CreditGrant:
		return &daisywire.Frame{Message: &daisywire.Frame_CreditGrant{CreditGrant: encodeGrant(m.Grant)}}
	case daisymessage.EndpointNews:
		return &daisywire.Frame{Message: &daisywire.Frame_EndpointNews{EndpointNews: encodeNews(now, m)}}
	case daisymessage.EndpointLeaving:
		return &daisywire.Frame{Message: &daisywire.Frame_EndpointLeaving{EndpointLeaving: encodeLeaving(m)}}
	case daisymessage.CrashFindings:
		return &daisywire.Frame{Message: &daisywire.Frame_CrashFindings{CrashFindings: encodeFindings(now, m)}}
	case daisymessage.RowsWanted:
		w := &daisywire.RowsWanted{Topic: uint32(m.Topic), After: uint64(m.After), Era: uint64(m.Era)}
		return &daisywire.Frame{Message: &daisywire.Frame_RowsWanted{RowsWanted: w}}
	case daisymessage.RowsGiven:
		return &daisywire.Frame{Message: &daisywire.Frame_RowsGiven{RowsGiven: e.rowsGiven(m)}}
	case daisymessage.QuotaRequests:
		return &daisywire.Frame{Message: &daisywire.Frame_QuotaRequests{QuotaRequests: encodeQuotaRequests(m)}}
	case daisymessage.QuotaGrants:
		return &daisywire.Frame{Message: &daisywire.Frame_QuotaGrants{QuotaGrants: encodeQuotaGrants(m)}}
	case daisymessage.StopWanted:
		return &daisywire.Frame{Message: &daisywire.Frame_StopWanted{StopWanted: &daisywire.StopWanted{By: m.By}}}
	}
	return &daisywire.Frame{}
}

func (e *encoder) heartbeat(m daisymessage.Heartbeat) *daisywire.Heartbeat {
	w := &daisywire.Heartbeat{
		Sequence:         m.Sequence,
		Spare:            m.Spare,
		Leaving:          m.Leaving,
		Ready:            m.Ready,
		Stopping:         m.Stopping,
		Blind:            m.StoreUnavailable,
		SentMicroseconds: m.Sent.Sub(e.epoch).Microseconds(),
	}
	if m.VM != e.lastVM {
		w.Vm = encodeVM(m.VM)
		e.lastVM = m.VM
	}
	if current := (configID{revision: m.Revision, hash: m.Hash}); current != e.lastConfig {
		w.InForce = &daisywire.InForce{Revision: uint64(m.Revision), Hash: encodeHash(m.Hash)}
		e.lastConfig = current
	}
	if !m.Echo.IsZero() {
		w.EchoMicroseconds = proto.Int64(m.Echo.Sub(e.peerEpoch).Microseconds())
		w.EchoHeldMicroseconds = uint32(m.EchoHeld.Microseconds())
		w.StoreClockMilliseconds = uint64((m.StoreClock + time.Millisecond - 1) / time.Millisecond)
	}
	for _, h := range m.Heard {
		w.HeardDigests = append(w.HeardDigests, uint32(h.VM))
		w.HeardMarks = append(w.HeardMarks, encodeHeardMark(h))
	}
	for _, v := range m.Introduced {
		w.Introduced = append(w.Introduced, encodeVM(v))
	}
	if m.Known != [daisyfeed.Topics]daisyfeed.Version{} {
		for _, v := range m.Known {
			w.Known = append(w.Known, uint64(v))
		}
	}
	if m.KnownEras != [daisyfeed.Topics]daisyfeed.Era{} {
		for _, era := range m.KnownEras {
			w.KnownEras = append(w.KnownEras, uint64(era))
		}
	}
	if m.Holding != [daisyfeed.Topics]bool{} {
		w.Holding = append(w.Holding, m.Holding[:]...)
	}
	return w
}

func (e *encoder) rowsGiven(m daisymessage.RowsGiven) *daisywire.RowsGiven {
	c := m.Changes
	w := &daisywire.RowsGiven{
		Topic:             uint32(m.Topic),
		After:             uint64(c.After),
		Last:              uint64(c.Last),
		Whole:             c.Complete,
		GraceMicroseconds: c.Grace.Microseconds(),
		Era:               uint64(c.Era),
		Held:              encodeRows(c.Held),
		HoldMicroseconds:  c.HoldTime.Microseconds(),

		BookmarkVersion:      uint64(c.Bookmark.Version),
		BookmarkMicroseconds: c.Bookmark.Clock.Microseconds(),
	}
	if w.Packed = e.compressor.compress(c.Rows); w.Packed == nil {
		w.Rows = encodeRows(c.Rows)
	}
	return w
}

func encodeRows(rows []daisyfeed.Row) []*daisywire.Row {
	var w []*daisywire.Row
	for _, r := range rows {
		w = append(w, &daisywire.Row{
			Key:                       r.Key,
			Version:                   uint64(r.Version),
			Value:                     r.Value,
			Removed:                   r.Removed,
			Era:                       uint64(r.Era),
			WriterStartedMilliseconds: r.Written.Started,
			WriterSequence:            r.Written.Sequence,
		})
	}
	return w
}

// encodeHeardMark returns the sequence number shifted left by one, with the leaving flag in
// the lowest bit.
func encodeHeardMark(h daisyvm.HeartbeatReport) uint64 {
	if h.Leaving {
		return h.Sequence<<1 | 1
	}
	return h.Sequence << 1
}

// encodeHash returns the bytes of a hexadecimal hash, or nil if it is not hexadecimal.
func encodeHash(h daisyconfig.Hash) []byte {
	b, err := hex.DecodeString(string(h))
	if err != nil {
		return nil
	}
	return b
}

func encodeAddress(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil || !a.IsValid() {
		return nil
	}
	return b
}

func encodeZone(z daisyfleet.ZoneID) *daisywire.Zone {
	return &daisywire.Zone{Fleet: string(z.Fleet), Name: z.Zone}
}

func encodeServiceID(s daisyservice.ID) *daisywire.ServiceID {
	return &daisywire.ServiceID{Fleet: string(s.Fleet), Name: s.Name}
}

func encodeVM(v daisyvm.VM) *daisywire.VM {
	return &daisywire.VM{
		Name:        string(v.Name),
		Incarnation: uint64(v.Incarnation),
		Zone:        encodeZone(v.Zone),
		Callers:     encodeAddress(v.Callers),
		Peers:       encodeAddress(v.Peers),
		Millicores:  v.Capacity.Millicores,

		LinkBitsPerSecond: v.Capacity.LinkBitsPerSecond,
	}
}

// encodeSnapshot returns an empty message, which receivers reject, if the snapshot cannot
// be encoded.
func encodeSnapshot(s daisyconfig.Snapshot) *daisywire.SnapshotGiven {
	data, _, err := daisysnapshot.Encode(&s)
	if err != nil {
		return &daisywire.SnapshotGiven{}
	}
	return &daisywire.SnapshotGiven{Snapshot: data}
}

func encodeTerm(t daisycredit.Term) *daisywire.Term {
	return &daisywire.Term{Owner: string(t.Owner), Incarnation: uint64(t.Incarnation), Takeover: t.Number}
}

func encodeDemand(demand []daisycredit.Demand) []*daisywire.Demand {
	var w []*daisywire.Demand
	for _, d := range demand {
		w = append(w, &daisywire.Demand{Waiting: d.Waiting, InFlight: d.InFlight})
	}
	return w
}

func encodeReport(r daisycredit.Report) *daisywire.CreditReport {
	w := &daisywire.CreditReport{
		Service:      encodeServiceID(r.Service),
		Term:         encodeTerm(r.Term),
		Sequence:     r.Sequence,
		Demand:       encodeDemand(r.Demand),
		Zone:         encodeServiceZone(r.Service, r.Zone),
		Acknowledged: r.Acknowledged,
		Division:     uint32(r.Division),

		RequestsPerSecond: float32(r.Rate),
	}
	for _, h := range r.Held {
		w.Held = append(w.Held, &daisywire.Held{
			Endpoint:                encodeAddress(h.Endpoint),
			Returned:                h.Returned,
			InFlight:                h.InFlight,
			Broken:                  h.Restricted,
			Claimed:                 h.Claimed,
			Shed:                    h.Shed,
			Answers:                 h.Answers,
			RateIntervalNanoseconds: encodeRateLimit(h.RateLimit),
			ColdMicroseconds:        encodeColdFor(h.ColdFor),
		})
	}
	return w
}

// encodeRateLimit returns the interval between requests: 0 without a limit, nil if that
// is not known.
func encodeRateLimit(limit daisyendpoint.RateLimit) *uint64 {
	var interval uint64
	switch l := limit.(type) {
	case daisyendpoint.Unlimited:
	case daisyendpoint.Limited:
		interval = uint64(l.Interval)
	default:
		return nil
	}
	return &interval
}

// encodeColdFor rounds up, so that a short coldness is not taken for none.
func encodeColdFor(coldFor time.Duration) uint64 {
	return uint64((max(coldFor, 0) + time.Microsecond - 1) / time.Microsecond)
}

func encodeGrant(g daisycredit.Grant) *daisywire.CreditGrant {
	w := &daisywire.CreditGrant{
		Service:      encodeServiceID(g.Service),
		Term:         encodeTerm(g.Term),
		Sequence:     g.Sequence,
		Target:       g.Target,
		Zone:         encodeServiceZone(g.Service, g.Zone),
		Acknowledged: g.Acknowledged,
		Division:     uint32(g.Division),
	}
	for _, x := range g.Granted {
		w.Granted = append(w.Granted, &daisywire.Granted{
			Endpoint:                encodeAddress(x.Endpoint),
			Granted:                 x.Granted,
			Recalled:                x.Recalled,
			RateIntervalNanoseconds: encodeRateLimit(x.RateLimit),
			ColdMicroseconds:        encodeColdFor(x.ColdFor),
		})
	}
	return w
}

// encodeServiceZone returns the name of an availability zone of the service's fleet,
// FLEET/NAME for one of another fleet, and "" for none.
func encodeServiceZone(service daisyservice.ID, zone daisyfleet.ZoneID) string {
	if zone.Fleet == service.Fleet || zone == (daisyfleet.ZoneID{}) {
		return zone.Zone
	}
	return zone.String()
}

func encodeLeaving(m daisymessage.EndpointLeaving) *daisywire.EndpointLeaving {
	return &daisywire.EndpointLeaving{
		Service:             encodeServiceID(m.Service),
		Address:             encodeAddress(m.Endpoint.Address),
		Instance:            string(m.Endpoint.Instance),
		StartedMilliseconds: m.Endpoint.Started,
	}
}

func encodeFindings(now time.Time, m daisymessage.CrashFindings) *daisywire.CrashFindings {
	w := &daisywire.CrashFindings{}
	for _, finding := range m.Findings {
		switch f := finding.(type) {
		case daisycrash.Crash:
			w.Findings = append(w.Findings, &daisywire.CrashFinding{
				Head:            f.Request.Head[:],
				Body:            f.Request.Body[:],
				Address:         encodeAddress(f.Endpoint),
				Service:         encodeServiceID(f.Service),
				AgeMicroseconds: now.Sub(f.At).Microseconds(),
				RunMicroseconds: f.At.Sub(f.Sent).Microseconds(),
			})
		case daisycrash.Verdict:
			w.Findings = append(w.Findings, &daisywire.CrashFinding{Head: f.Request.Head[:], Body: f.Request.Body[:], Service: encodeServiceID(f.Service), Verdict: true})
		case daisycrash.Acquittal:
			w.Findings = append(w.Findings, &daisywire.CrashFinding{Head: f.Request.Head[:], Body: f.Request.Body[:]})
		}
	}
	return w
}

func encodeNews(now time.Time, m daisymessage.EndpointNews) *daisywire.EndpointNews {
	return &daisywire.EndpointNews{
		Service:         encodeServiceID(m.Service),
		Address:         encodeAddress(m.Address),
		AgeMicroseconds: now.Sub(m.Report.At).Microseconds(),
		InFlight:        int64(m.Report.InFlight),
		Slots:           int64(m.Report.Slots),
		Draining:        m.Report.Draining,
		Waiting:         int64(m.Report.Waiting),
		SlowdownPercent: uint32(math.Round(100 * m.Report.Slowdown)),

		RateIntervalNanoseconds: encodeRateLimit(m.Report.RateLimit),
		ColdMicroseconds:        encodeColdFor(m.Report.ColdFor),
	}
}
