package daisyforward

import (
	"net/http"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyfilter"
)

// isHopByHop reports whether a header field always applies to a single connection
// (RFC 9110, section 7.6.1). Fields listed in Connection are hop-by-hop as well.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Proxy-Authenticate", "Proxy-Authorization", "Http2-Settings":
		return true
	}
	return false
}

// copyEndToEnd copies all fields that are not hop-by-hop. The value slices are shared.
func copyEndToEnd(to, from http.Header) {
	options := connectionOptions(from["Connection"])
	for k, v := range from {
		if !isHopByHop(k) && !slices.Contains(options, k) {
			to[k] = v
		}
	}
}

// connectionOptions returns the names of the fields that Connection lists.
func connectionOptions(values []string) []string {
	var names []string
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// requestHeader returns the header for endpoints without the fields that are specific
// to one attempt.
func (f *Forwarder) requestHeader(call *daisyfilter.Call, rank daisyrank.Name) http.Header {
	r, protocol := call.HTTP, call.Service.Protocol
	h := make(http.Header, len(r.Header)+5)
	copyEndToEnd(h, r.Header)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	if acceptsTrailers(r.Header) {
		h["Te"] = []string{"trailers"}
		if protocol == daisyservice.HTTP1 {
			h["Connection"] = []string{"TE"}
		}
	}
	f.dialect.EncodeRequest(h, r, rank)
	if account := call.Account.Name; account != "" {
		f.dialect.EncodeAccount(h, account)
	}
	return h
}

// copyResponseHeader copies the header of an endpoint's response to that for the caller.
func (f *Forwarder) copyResponseHeader(to http.Header, response *http.Response) {
	copyEndToEnd(to, response.Header)
	f.dialect.EncodeResponse(to, response)
	if _, ok := to["Content-Type"]; !ok {
		// A nil value prevents net/http from detecting a content type.
		to["Content-Type"] = nil
	}
	if len(response.Trailer) == 0 {
		return
	}
	// In HTTP/1.1 only a chunked response can have trailers.
	delete(to, "Content-Length")
	names := make([]string, 0, len(response.Trailer))
	for k := range response.Trailer {
		names = append(names, k)
	}
	to["Trailer"] = names
}

// appendCopy returns a copy of values with last appended. It does not modify values,
// which may be shared with other attempts or the HTTP server.
func appendCopy(values []string, last string) []string {
	return append(append(make([]string, 0, len(values)+1), values...), last)
}

// acceptsTrailers reports whether the field TE lists trailers.
func acceptsTrailers(h http.Header) bool {
	for _, v := range h["Te"] {
		for coding := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(coding), "trailers") {
				return true
			}
		}
	}
	return false
}

// via returns a value of the field Via (RFC 9110, section 7.6.3) with the name of the
// VM as the pseudonym.
func via(major, minor int, self daisyvm.Name) string {
	if major >= 2 {
		return strconv.Itoa(major) + " " + string(self)
	}
	return strconv.Itoa(major) + "." + strconv.Itoa(minor) + " " + string(self)
}

// forwarded returns a value of the field Forwarded (RFC 7239) with the name of the VM
// as an obfuscated identifier.
func forwarded(r *http.Request, self daisyvm.Name) string {
	var b strings.Builder
	b.WriteString("for=")
	b.WriteString(forwardedFor(r.RemoteAddr))
	b.WriteString(";by=_")
	b.WriteString(string(self))
	b.WriteString(";proto=http")
	return b.String()
}

// forwardedFor returns the node identifier of a remote address.
func forwardedFor(remote string) string {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return "unknown"
	}
	ip := a.Addr().Unmap().WithZone("")
	if ip.Is4() {
		return ip.String()
	}
	return `"[` + ip.String() + `]"`
}

// formatTimeout formats a duration in whole milliseconds, at least 1 ms.
func formatTimeout(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "ms"
}
