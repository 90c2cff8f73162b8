package daisymetric_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisymetric"
)

func TestMetricsOfARequest(t *testing.T) {
	m := daisymetric.New()
	service := daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}
	r := m.Rank(service, "urgent")
	r.Begin()
	r.Attempt("first", time.Millisecond)
	r.Attempt("hedge", 0)
	r.Cancel()
	r.AddedLatency(time.Millisecond)
	r.End(daisymetric.Served, true, 20*time.Millisecond)
	m.Rank(service, "urgent").Begin()
	m.Probe(service, true)
	m.FilterResponse(404)
	m.MessageSent(daisymessage.CreditReport{})
	m.MessageReceived(daisymessage.CreditGrant{})
	m.MessageReceived(daisymessage.Heartbeat{})
	m.PlatformOperation("read-rows", "read")
	m.AddGauge(`daisyyoke_ready`, "Whether it is.", func() float64 { return 1 })
	var b strings.Builder
	assert.NilError(t, m.WritePrometheus(&b))
	labels := `fleet="vigia-lar",service="lookups"`
	for _, want := range []string{
		`# HELP daisyyoke_request_waited_seconds Time that a request waited for a slot before its first attempt.`,
		`# HELP daisyyoke_ready Whether it is.`,
		`daisyyoke_requests_total{` + labels + `,rank="urgent",outcome="served"} 1`,
		`daisyyoke_attempts_total{` + labels + `,rank="urgent",reason="first"} 1`,
		`daisyyoke_attempts_total{` + labels + `,rank="urgent",reason="hedge"} 1`,
		`daisyyoke_attempts_canceled_total{` + labels + `,rank="urgent"} 1`,
		`daisyyoke_requests_in_flight{` + labels + `,rank="urgent"} 1`,
		`daisyyoke_requests_waiting{` + labels + `,rank="urgent"} 1`,
		`daisyyoke_probes_total{` + labels + `,result="answered"} 1`,
		`daisyyoke_platform_operations_total{operation="read-rows",answer="read"} 1`,
		`daisyyoke_refused_by_filters_total{status="404"} 1`,
		`daisyyoke_service_messages_total{direction="sent",kind="credit-report"} 1`,
		`daisyyoke_service_messages_total{direction="received",kind="credit-grant"} 1`,
		`daisyyoke_ready 1`,
		`daisyyoke_request_waited_seconds_count{` + labels + `,rank="urgent"} 1`,
	} {
		assert.Assert(t, strings.Contains(b.String(), want+"\n"), "%s in\n%s", want, b.String())
	}
}

func TestMethodsDoNothingOnNil(t *testing.T) {
	var m *daisymetric.Metrics
	r := m.Rank(daisyservice.ID{}, "urgent")
	r.Begin()
	r.Attempt("first", 0)
	r.End(daisymetric.Interrupted, true, 0)
	m.Probe(daisyservice.ID{}, false)
	m.FilterResponse(400)
}
