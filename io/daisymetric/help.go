package daisymetric

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
)

// builtinHelp maps each metric family that this package creates to its help text.
var builtinHelp = map[string]string{
	"daisyyoke_requests_total":               "Requests that ended, by outcome.",
	"daisyyoke_request_duration_seconds":     "Time from the arrival of a request to its end.",
	"daisyyoke_request_waited_seconds":       "Time that a request waited for a slot before its first attempt.",
	"daisyyoke_request_added_seconds":        "Time to the header of the answer less the wait and the time of the endpoint.",
	"daisyyoke_requests_in_flight":           "Requests that were handed to routing and have not ended.",
	"daisyyoke_requests_waiting":             "Requests without an attempt so far.",
	"daisyyoke_attempts_total":               "Sends to endpoints, by reason.",
	"daisyyoke_attempts_canceled_total":      "Attempts that were given up.",
	"daisyyoke_probes_total":                 "Probes of endpoints, by result.",
	"daisyyoke_endpoint_cold":                "Whether an endpoint is cold: 1 while its requests are limited for that.",
	"daisyyoke_endpoint_rate_limit":          "Requests per second that an endpoint accepts from all VMs, +Inf without a limit.",
	"daisyyoke_endpoint_limited_sends_total": "Attempts and probes of this VM at an endpoint with a rate limit.",
	"daisyyoke_endpoint_crashes_total":       "Crashes of endpoints, for each request that they were running.",
	"daisyyoke_malformed_responses_total":    "Responses of endpoints that were rejected because they are not valid, by kind.",
	"daisyyoke_endpoint_notices_total":       "Notices of endpoints that leave, ask for a pause, or cannot be understood.",
	"daisyyoke_refused_by_filters_total":     "Requests answered before routing, by HTTP status.",
	"daisyyoke_rejected_as_outdated_total":   "Requests with a client account that were rejected because the configuration may be too old.",
	"daisyyoke_configuration_age_seconds":    "Time before a request's arrival at which its configuration was last known to be the newest.",
	"daisyyoke_platform_operations_total":    "Operations on the platform, by answer.",
	"daisyyoke_quota_requests_total":         "Requests of client accounts with a quota, by whether they passed; all but the largest accounts together.",
	"daisyyoke_quota_wait_seconds":           "Time that requests of client accounts waited for a token of the quota.",
	"daisyyoke_service_messages_total":       "Messages between VMs about services, by direction and kind.",
}

// helpTexts holds the help texts of metrics and inserts them into the output of a
// metrics.Set, which writes none by default.
type helpTexts struct {
	mu    sync.Mutex
	added map[string]string
}

func (h *helpTexts) add(name, help string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.added == nil {
		h.added = make(map[string]string)
	}
	h.added[family(name)] = help
}

// find returns the family of a metric and its help text. A histogram has several metrics,
// which differ in their suffix. Without a help text, the family is the name itself.
func (h *helpTexts) find(name string) (family, help string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, suffix := range []string{"", "_bucket", "_sum", "_count"} {
		f := strings.TrimSuffix(name, suffix)
		if text, ok := builtinHelp[f]; ok {
			return f, text
		}
		if text, ok := h.added[f]; ok {
			return f, text
		}
	}
	return name, ""
}

// write copies metrics in the Prometheus text format and inserts the help text before
// each family.
func (h *helpTexts) write(w io.Writer, text *bytes.Buffer) error {
	out := bufio.NewWriter(w)
	last := ""
	for line := range bytes.Lines(text.Bytes()) {
		f, help := h.find(family(string(line)))
		if f != last && help != "" {
			fmt.Fprintf(out, "# HELP %s %s\n", f, help)
		}
		last = f
		out.Write(line)
	}
	return out.Flush()
}

// family returns the name of a metric without labels and value.
func family(line string) string {
	if i := strings.IndexAny(line, "{ "); i >= 0 {
		return line[:i]
	}
	return line
}
