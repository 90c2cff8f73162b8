package daisymetric

import "daisyyoke/core/daisymessage"

// direction is that of a message, as in the label of the metric.
type direction string

const (
	sent     direction = "sent"
	received direction = "received"
)

// MessageSent counts a message about a service or an account that was sent to another VM.
func (m *Metrics) MessageSent(message daisymessage.Message) { m.countMessage(message, sent) }

// MessageReceived counts a message about a service or an account that was received from
// another VM.
func (m *Metrics) MessageReceived(message daisymessage.Message) { m.countMessage(message, received) }

func (m *Metrics) countMessage(message daisymessage.Message, direction direction) {
	if m == nil {
		return
	}
	if kind := kindOf(message); kind != "" {
		m.counter(`daisyyoke_service_messages_total{direction="` + string(direction) + `",kind="` + kind + `"}`).Inc()
	}
}

// kindOf returns the kind of a message in the label of the metric; empty for a message that
// concerns neither a service nor an account, which package daisypeer counts.
func kindOf(message daisymessage.Message) string {
	switch message.(type) {
	case daisymessage.CreditReport:
		return "credit-report"
	case daisymessage.CreditGrant:
		return "credit-grant"
	case daisymessage.EndpointNews:
		return "endpoint-news"
	case daisymessage.EndpointLeaving:
		return "endpoint-leaving"
	case daisymessage.CrashFindings:
		return "crash-findings"
	case daisymessage.QuotaRequests:
		return "quota-requests"
	case daisymessage.QuotaGrants:
		return "quota-grants"
	case daisymessage.Heartbeat, daisymessage.SnapshotWanted, daisymessage.SnapshotGiven,
		daisymessage.RowsWanted, daisymessage.RowsGiven, daisymessage.StopWanted:
	}
	return ""
}
