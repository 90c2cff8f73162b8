package daisymetric

import "daisyyoke/core/daisymessage"

// Names of the counters of messages about services, one for each kind and direction.
const (
	reportsSent      = `daisyyoke_service_messages_total{direction="sent",kind="credit-report"}`
	grantsSent       = `daisyyoke_service_messages_total{direction="sent",kind="credit-grant"}`
	findingsSent     = `daisyyoke_service_messages_total{direction="sent",kind="crash-findings"}`
	findingsReceived = `daisyyoke_service_messages_total{direction="received",kind="crash-findings"}`
	leavingSent      = `daisyyoke_service_messages_total{direction="sent",kind="endpoint-leaving"}`
	leavingReceived  = `daisyyoke_service_messages_total{direction="received",kind="endpoint-leaving"}`
	newsSent         = `daisyyoke_service_messages_total{direction="sent",kind="endpoint-news"}`
	reportsReceived  = `daisyyoke_service_messages_total{direction="received",kind="credit-report"}`
	grantsReceived   = `daisyyoke_service_messages_total{direction="received",kind="credit-grant"}`
	newsReceived     = `daisyyoke_service_messages_total{direction="received",kind="endpoint-news"}`
)

// MessageSent counts a message about a service that was sent to another VM.
func (m *Metrics) MessageSent(message daisymessage.Message) {
	m.countMessage(message, reportsSent, grantsSent, newsSent, leavingSent, findingsSent)
}

// MessageReceived counts a message about a service that was received from another VM.
func (m *Metrics) MessageReceived(message daisymessage.Message) {
	m.countMessage(message, reportsReceived, grantsReceived, newsReceived, leavingReceived, findingsReceived)
}

func (m *Metrics) countMessage(message daisymessage.Message, report, grant, news, leaving, findings string) {
	if m == nil {
		return
	}
	switch message.(type) {
	case daisymessage.CreditReport:
		m.counter(report).Inc()
	case daisymessage.CreditGrant:
		m.counter(grant).Inc()
	case daisymessage.EndpointNews:
		m.counter(news).Inc()
	case daisymessage.EndpointLeaving:
		m.counter(leaving).Inc()
	case daisymessage.CrashFindings:
		m.counter(findings).Inc()
	case daisymessage.Heartbeat, daisymessage.SnapshotWanted, daisymessage.SnapshotGiven,
		daisymessage.RowsWanted, daisymessage.RowsGiven, daisymessage.StopWanted:
		// These messages concern no service; package daisypeer counts them.
	}
}
