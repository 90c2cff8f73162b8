package daisyfilter

import (
	"net/http"
	"strings"
)

// Screen refuses what cannot be forwarded: CONNECT and upgrades to another protocol.
type Screen struct{}

func (Screen) filter() {}

func (Screen) apply(call *Call) Verdict {
	if call.HTTP.Method == http.MethodConnect {
		return refuse(http.StatusNotImplemented, "CONNECT is not supported")
	}
	if wantsUpgrade(call.HTTP.Header) {
		return refuse(http.StatusNotImplemented, "Upgrades to another protocol are not supported")
	}
	return GoOn{}
}

// wantsUpgrade leaves out an upgrade to HTTP/2, which some clients offer with
// every first request and which a server may ignore (RFC 9110, 7.8).
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
