package daisypeer

import (
	"encoding/hex"
	"math"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisysnapshot"
	"daisyyoke/io/daisywire"
)

// decoder maps the frames of one stream to messages. It restores the heartbeat fields
// that the encoder at the other end omits, so it needs every frame of the stream in order.
type decoder struct {
	// epoch and peerEpoch are the epochs in the hellos of this VM and of the sender.
	epoch     time.Time
	peerEpoch time.Time
	// lastVM and lastConfig are the values in the sender's last heartbeat.
	lastVM     daisyvm.VM
	lastConfig configID
}

// decode returns the message in a frame, or nil without an error for a message type
// that a later version added. It fails with Malformed.
func (d *decoder) decode(now time.Time, frame []byte) (daisymessage.Message, error) {
	var w daisywire.Frame
	if err := proto.Unmarshal(frame, &w); err != nil {
		return nil, Malformed.Wrap(err, "cannot decode frame of %d bytes", len(frame))
	}
	r := &fieldReader{}
	var m daisymessage.Message
	switch x := w.Message.(type) {
	case *daisywire.Frame_Heartbeat:
		m = d.heartbeat(r, x.Heartbeat)
	case *daisywire.Frame_SnapshotWanted:
		m = daisymessage.SnapshotWanted{Hash: decodeHash(x.SnapshotWanted.GetHash())}
	case *daisywire.Frame_SnapshotGiven:
		m = daisymessage.SnapshotGiven{Snapshot: r.snapshot(x.SnapshotGiven)}
	case *daisywire.Frame_CreditReport:
		m = daisymessage.CreditReport{Report: r.report(x.CreditReport)}
	case *daisywire.Frame_CreditGrant:
		m = daisymessage.CreditGrant{Grant: r.grant(x.CreditGrant)}
	case *daisywire.Frame_EndpointNews:
		m = r.news(now, x.EndpointNews)
	case *daisywire.Frame_EndpointLeaving:
		m = r.leaving(x.EndpointLeaving)
	case *daisywire.Frame_CrashFindings:
		m = r.findings(now, x.CrashFindings)
	case *daisywire.Frame_RowsWanted:
		m = daisymessage.RowsWanted{Topic: r.topic(x.RowsWanted.GetTopic()), After: daisyfeed.Version(x.RowsWanted.GetAfter()), Era: daisyfeed.Era(x.RowsWanted.GetEra())}
	case *daisywire.Frame_RowsGiven:
		m = r.rows(x.RowsGiven)
	case *daisywire.Frame_QuotaRequests:
		m = decodeQuotaRequests(x.QuotaRequests)
	case *daisywire.Frame_QuotaGrants:
		m = decodeQuotaGrants(x.QuotaGrants)
	case *daisywire.Frame_StopWanted:
		m = daisymessage.StopWanted{By: x.StopWanted.GetBy()}
	}
	return m, r.err
}

func (d *decoder) heartbeat(r *fieldReader, w *daisywire.Heartbeat) daisymessage.Message {
	if w.Vm != nil {
		d.lastVM = r.vm(w.Vm)
	}
	if w.InForce != nil {
		d.lastConfig = configID{revision: daisyconfig.Revision(w.InForce.Revision), hash: decodeHash(w.InForce.Hash)}
	}
	if len(w.HeardDigests) != len(w.HeardMarks) {
		r.fail("heartbeat has %d heard digests, but %d heard marks", len(w.HeardDigests), len(w.HeardMarks))
		return nil
	}
	m := daisymessage.Heartbeat{
		VM:               d.lastVM,
		Sequence:         w.Sequence,
		Revision:         d.lastConfig.revision,
		Hash:             d.lastConfig.hash,
		Spare:            w.Spare,
		Leaving:          w.Leaving,
		Ready:            w.Ready,
		Stopping:         w.Stopping,
		StoreUnavailable: w.Blind,
		Sent:             d.peerEpoch.Add(time.Duration(w.SentMicroseconds) * time.Microsecond),
	}
	if w.EchoMicroseconds != nil {
		m.Echo = d.epoch.Add(time.Duration(w.GetEchoMicroseconds()) * time.Microsecond)
		m.EchoHeld = time.Duration(w.EchoHeldMicroseconds) * time.Microsecond
		m.StoreClock = r.milliseconds(w.StoreClockMilliseconds)
	}
	for i, h := range w.HeardDigests {
		mark := w.HeardMarks[i]
		m.Heard = append(m.Heard, daisyvm.HeartbeatReport{VM: daisyvm.Digest(h), Sequence: mark >> 1, Leaving: mark&1 == 1})
	}
	for _, v := range w.Introduced {
		m.Introduced = append(m.Introduced, r.vm(v))
	}
	for i, v := range w.Known {
		if i < len(m.Known) {
			m.Known[i] = daisyfeed.Version(v)
		}
	}
	for i, era := range w.KnownEras {
		if i < len(m.KnownEras) {
			m.KnownEras[i] = daisyfeed.Era(era)
		}
	}
	copy(m.Holding[:], w.Holding)
	return m
}

// fieldReader converts the fields of a frame and keeps the first error, so that callers
// check for errors once per frame.
type fieldReader struct{ err error }

func (r *fieldReader) fail(format string, arguments ...any) {
	if r.err == nil {
		r.err = Malformed.New(format, arguments...)
	}
}

func (r *fieldReader) address(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if len(b) == 0 {
		return a
	}
	if err := a.UnmarshalBinary(b); err != nil {
		r.fail("invalid address of %d bytes", len(b))
	}
	return a
}

func (r *fieldReader) vm(w *daisywire.VM) daisyvm.VM {
	v := daisyvm.VM{
		Name:        daisyvm.Name(w.GetName()),
		Incarnation: daisyvm.Incarnation(w.GetIncarnation()),
		Zone:        decodeZone(w.GetZone()),
		Callers:     r.address(w.GetCallers()),
		Peers:       r.address(w.GetPeers()),
		Capacity:    daisyvm.Capacity{Millicores: w.GetMillicores(), LinkBitsPerSecond: w.GetLinkBitsPerSecond()},
	}
	if !daisyfleet.ValidName(string(v.Name)) {
		r.fail("invalid VM name %q", v.Name)
	}
	return v
}

// milliseconds returns a duration, and fails if it is out of range.
func (r *fieldReader) milliseconds(n uint64) time.Duration {
	if n > uint64(math.MaxInt64/time.Millisecond) {
		r.fail("duration of %d ms is out of range", n)
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func decodeHash(b []byte) daisyconfig.Hash { return daisyconfig.Hash(hex.EncodeToString(b)) }

func decodeZone(w *daisywire.Zone) daisyfleet.ZoneID {
	return daisyfleet.ZoneID{Fleet: daisyfleet.Name(w.GetFleet()), Zone: w.GetName()}
}

func decodeServiceID(w *daisywire.ServiceID) daisyservice.ID {
	return daisyservice.ID{Fleet: daisyfleet.Name(w.GetFleet()), Name: w.GetName()}
}

// snapshot returns a snapshot whose hash is computed from the bytes received, not taken
// from the sender.
func (r *fieldReader) snapshot(w *daisywire.SnapshotGiven) daisyconfig.Snapshot {
	s, err := daisysnapshot.Decode(w.GetSnapshot())
	if err != nil {
		r.fail("invalid snapshot: %v", err)
		return daisyconfig.Snapshot{}
	}
	return *s
}

func decodeTerm(w *daisywire.Term) daisycredit.Term {
	return daisycredit.Term{
		Owner:       daisyvm.Name(w.GetOwner()),
		Incarnation: daisyvm.Incarnation(w.GetIncarnation()),
		Number:      w.GetTakeover(),
	}
}

func decodeDemand(w []*daisywire.Demand) []daisycredit.Demand {
	var demand []daisycredit.Demand
	for _, d := range w {
		demand = append(demand, daisycredit.Demand{Waiting: d.GetWaiting(), InFlight: d.GetInFlight()})
	}
	return demand
}

func (r *fieldReader) report(w *daisywire.CreditReport) daisycredit.Report {
	report := daisycredit.Report{
		Service:      decodeServiceID(w.GetService()),
		Term:         decodeTerm(w.GetTerm()),
		Sequence:     w.GetSequence(),
		Demand:       decodeDemand(w.GetDemand()),
		Zone:         decodeServiceZone(w.GetService(), w.GetZone()),
		Acknowledged: w.GetAcknowledged(),
		Rate:         decodeRate(w.GetRequestsPerSecond()),
		Division:     decodeDivision(w.GetDivision()),
	}
	for _, h := range w.GetHeld() {
		report.Held = append(report.Held, daisycredit.Held{
			Endpoint:   r.address(h.GetEndpoint()),
			Returned:   h.GetReturned(),
			InFlight:   h.GetInFlight(),
			Restricted: h.GetBroken(),
			Claimed:    h.GetClaimed(),
			Shed:       h.GetShed(),
			RateLimit:  decodeRateLimit(h.RateIntervalNanoseconds),
			Answers:    h.GetAnswers(),
			ColdFor:    decodeColdFor(h.GetColdMicroseconds()),
		})
	}
	return report
}

// decodeRate returns a rate, or 0 for one that is negative or not finite.
func decodeRate(perSecond float32) float64 {
	if !(perSecond > 0) || perSecond > math.MaxFloat32 {
		return 0
	}
	return float64(perSecond)
}

// decodeDivision keeps a division that a later version added from becoming a known one.
func decodeDivision(division uint32) daisycredit.Division {
	return daisycredit.Division(min(division, math.MaxUint8))
}

func decodeRateLimit(interval *uint64) daisyendpoint.RateLimit {
	switch {
	case interval == nil || *interval > math.MaxInt64:
		return nil
	case *interval == 0:
		return daisyendpoint.Unlimited{}
	}
	return daisyendpoint.Limited{Interval: time.Duration(*interval)}
}

// maxColdFor bounds how long another VM may say that an endpoint stays cold, as the
// endpoint's own word is bounded.
const maxColdFor = 10 * time.Minute

func decodeColdFor(microseconds uint64) time.Duration {
	return time.Duration(min(microseconds, uint64(maxColdFor/time.Microsecond))) * time.Microsecond
}

func (r *fieldReader) grant(w *daisywire.CreditGrant) daisycredit.Grant {
	grant := daisycredit.Grant{
		Service:      decodeServiceID(w.GetService()),
		Term:         decodeTerm(w.GetTerm()),
		Sequence:     w.GetSequence(),
		Target:       w.GetTarget(),
		Zone:         decodeServiceZone(w.GetService(), w.GetZone()),
		Acknowledged: w.GetAcknowledged(),
		Division:     decodeDivision(w.GetDivision()),
	}
	for _, x := range w.GetGranted() {
		grant.Granted = append(grant.Granted, daisycredit.Granted{
			Endpoint:  r.address(x.GetEndpoint()),
			Granted:   x.GetGranted(),
			Recalled:  x.GetRecalled(),
			RateLimit: decodeRateLimit(x.RateIntervalNanoseconds),
			ColdFor:   decodeColdFor(x.GetColdMicroseconds()),
		})
	}
	return grant
}

// decodeServiceZone is the inverse of encodeServiceZone.
func decodeServiceZone(service *daisywire.ServiceID, zone string) daisyfleet.ZoneID {
	if zone == "" {
		return daisyfleet.ZoneID{}
	}
	if fleet, name, ok := strings.Cut(zone, "/"); ok {
		return daisyfleet.ZoneID{Fleet: daisyfleet.Name(fleet), Zone: name}
	}
	return daisyfleet.ZoneID{Fleet: daisyfleet.Name(service.GetFleet()), Zone: zone}
}

func (r *fieldReader) news(now time.Time, w *daisywire.EndpointNews) daisymessage.EndpointNews {
	age := max(0, time.Duration(w.GetAgeMicroseconds())*time.Microsecond)
	return daisymessage.EndpointNews{
		Service: decodeServiceID(w.GetService()),
		Address: r.address(w.GetAddress()),
		Report: daisyendpoint.Report{
			At:       now.Add(-age),
			InFlight: int(w.GetInFlight()),
			Slots:    int(w.GetSlots()),
			Draining: w.GetDraining(),
			Waiting:  int(w.GetWaiting()),
			Slowdown: float64(w.GetSlowdownPercent()) / 100,

			RateLimit: decodeRateLimit(w.RateIntervalNanoseconds),
			ColdFor:   decodeColdFor(w.GetColdMicroseconds()),
		},
	}
}

func (r *fieldReader) leaving(w *daisywire.EndpointLeaving) daisymessage.EndpointLeaving {
	return daisymessage.EndpointLeaving{
		Service: decodeServiceID(w.GetService()),
		Endpoint: daisyendpoint.Identity{
			Address:  r.address(w.GetAddress()),
			Instance: daisyendpoint.Instance(w.GetInstance()),
			Started:  w.GetStartedMilliseconds(),
		},
	}
}

func (r *fieldReader) findings(now time.Time, w *daisywire.CrashFindings) daisymessage.CrashFindings {
	var m daisymessage.CrashFindings
	for _, f := range w.GetFindings() {
		request := daisyrequest.Fingerprint{Head: r.digest(f.GetHead()), Body: r.digest(f.GetBody())}
		switch {
		case f.GetVerdict():
			m.Findings = append(m.Findings, daisycrash.Verdict{Request: request, Service: decodeServiceID(f.GetService())})
			continue
		case len(f.GetAddress()) == 0:
			m.Findings = append(m.Findings, daisycrash.Acquittal{Request: request})
			continue
		}
		at := now.Add(-max(0, time.Duration(f.GetAgeMicroseconds())*time.Microsecond))
		m.Findings = append(m.Findings, daisycrash.Crash{
			Request:  request,
			Service:  decodeServiceID(f.GetService()),
			Endpoint: r.address(f.GetAddress()),
			Sent:     at.Add(-max(0, time.Duration(f.GetRunMicroseconds())*time.Microsecond)),
			At:       at,
		})
	}
	return m
}

func (r *fieldReader) digest(bytes []byte) daisyrequest.Digest {
	var d daisyrequest.Digest
	if len(bytes) != len(d) {
		r.fail("digest of %d bytes", len(bytes))
		return d
	}
	return daisyrequest.Digest(bytes)
}

func (r *fieldReader) topic(number uint32) daisyfeed.Topic {
	if number >= uint32(daisyfeed.Topics) {
		r.fail("unknown topic %d", number)
		return 0
	}
	return daisyfeed.Topic(number)
}

func (r *fieldReader) rows(w *daisywire.RowsGiven) daisymessage.RowsGiven {
	c := daisyfeed.Changes{
		After:    daisyfeed.Version(w.GetAfter()),
		Last:     daisyfeed.Version(w.GetLast()),
		Complete: w.GetWhole(),
		Grace:    time.Duration(w.GetGraceMicroseconds()) * time.Microsecond,
		Era:      daisyfeed.Era(w.GetEra()),
		Held:     decodeRows(w.GetHeld()),
		HoldTime: time.Duration(w.GetHoldMicroseconds()) * time.Microsecond,
		Bookmark: daisyfeed.Bookmark{
			Version: daisyfeed.Version(w.GetBookmarkVersion()),
			Clock:   time.Duration(w.GetBookmarkMicroseconds()) * time.Microsecond,
		},
	}
	rows := w.GetRows()
	if packed := w.GetPacked(); len(packed) > 0 {
		rows = r.decompressRows(packed)
	}
	c.Rows = decodeRows(rows)
	return daisymessage.RowsGiven{Topic: r.topic(w.GetTopic()), Changes: c}
}

func decodeRows(w []*daisywire.Row) []daisyfeed.Row {
	var rows []daisyfeed.Row
	for _, x := range w {
		rows = append(rows, daisyfeed.Row{
			Key:     x.GetKey(),
			Version: daisyfeed.Version(x.GetVersion()),
			Value:   x.GetValue(),
			Removed: x.GetRemoved(),
			Era:     daisyfeed.Era(x.GetEra()),
			Written: daisyfeed.Written{Started: x.GetWriterStartedMilliseconds(), Sequence: x.GetWriterSequence()},
		})
	}
	return rows
}
