package daisymetric

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
)

// families has a line of help for each name of the metrics that this package creates.
var families = map[string]string{
	"daisyyoke_requests_total":            "Requests that ended, by outcome.",
	"daisyyoke_request_duration_seconds":  "Time from the arrival of a request to its end.",
	"daisyyoke_request_waited_seconds":    "Time that a request waited for a slot before its first attempt.",
	"daisyyoke_request_added_seconds":     "Time to the header of the answer less the wait and the time of the endpoint.",
	"daisyyoke_requests_in_flight":        "Requests that were handed to routing and have not ended.",
	"daisyyoke_requests_waiting":          "Requests without an attempt so far.",
	"daisyyoke_attempts_total":            "Sends to endpoints, by reason.",
	"daisyyoke_attempts_canceled_total":   "Attempts that were given up.",
	"daisyyoke_probes_total":              "Probes of endpoints, by result.",
	"daisyyoke_refused_by_filters_total":  "Requests answered before routing, by HTTP status.",
	"daisyyoke_platform_operations_total": "Operations on the platform, by answer.",
	"daisyyoke_service_messages_total":    "Messages between VMs about services, by direction and kind.",
}

// helpTexts adds the lines of help to what a set writes.
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

func (h *helpTexts) find(name string) (family, help string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, suffix := range []string{"", "_bucket", "_sum", "_count"} {
		f := strings.TrimSuffix(name, suffix)
		if text, ok := families[f]; ok {
			return f, text
		}
		if text, ok := h.added[f]; ok {
			return f, text
		}
	}
	return name, ""
}

// write copies metrics in the text format, each family after its help.
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

// family gives the name of a metric without labels and value.
func family(line string) string {
	if i := strings.IndexAny(line, "{ "); i >= 0 {
		return line[:i]
	}
	return line
}
