package daisyfilter

import (
	"net/http"
	"strings"
)

// RejectUnsupported rejects requests that cannot be forwarded: CONNECT and upgrades to
// another protocol.
type RejectUnsupported struct{}

func (RejectUnsupported) filter() {}

func (RejectUnsupported) apply(call *Call) Verdict {
	if call.HTTP.Method == http.MethodConnect {
		return reject(http.StatusNotImplemented, "CONNECT is not supported")
	}
	if wantsUpgrade(call.HTTP.Header) {
		return reject(http.StatusNotImplemented, "Upgrades to another protocol are not supported")
	}
	return Continue{}
}

// wantsUpgrade reports whether a request asks for an upgrade to a protocol other
// than HTTP/2. Some clients offer an upgrade to HTTP/2 with every first request,
// and a server may ignore it (RFC 9110, 7.8).
func wantsUpgrade(h http.Header) bool {
	return hasToken(h["Connection"], "upgrade") && len(h["Upgrade"]) > 0 && !hasOnly(h["Upgrade"], "h2c")
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

func hasOnly(values []string, token string) bool {
	return len(values) == 1 && strings.EqualFold(strings.TrimSpace(values[0]), token)
}
