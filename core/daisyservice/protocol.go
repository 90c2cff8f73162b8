package daisyservice

// Protocol is the HTTP version that the endpoints of a service support.
type Protocol int

const (
	// HTTP1 is HTTP/1.1, the default.
	HTTP1 Protocol = iota
	// HTTP2 is cleartext HTTP/2 with prior knowledge (RFC 9113, 3.3).
	HTTP2
)

// String returns the protocol as it is written in the intent.
func (p Protocol) String() string {
	switch p {
	case HTTP1:
		return "http1"
	case HTTP2:
		return "http2"
	}
	return "unknown"
}
