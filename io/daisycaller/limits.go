package daisycaller

import "time"

// Limits are the limits for callers' connections and requests on a VM.
type Limits struct {
	// Connections is the maximum number of open connections; further ones wait in the
	// backlog of the listening socket.
	Connections int
	// Streams is the maximum number of concurrent requests on one HTTP/2 connection.
	Streams int
	// HeaderBytes is the maximum size of a request header; a larger one is answered with 431.
	HeaderBytes int
	// Header is the timeout for reading a request header.
	Header time.Duration
	// Body is the timeout for reading the part of a request body that is buffered before
	// the handler starts.
	Body time.Duration
	// BodyBytes is the maximum size of a request body with a Content-Length; a larger one
	// is answered with 413. 0 means no limit.
	BodyBytes int64
	// Idle is the time after which a connection without a request is closed.
	Idle time.Duration
	// Ping is the time without received data after which an HTTP/2 connection is
	// checked by a ping, and the timeout for the response to the ping.
	Ping time.Duration
	// Write is the timeout for a write: over HTTP/1.1 for the whole write, over HTTP/2
	// while no byte can be written.
	Write time.Duration
	// StreamBytes and ConnectionBytes are the receive windows of an HTTP/2 stream and of
	// an HTTP/2 connection: what a caller may send before the handler reads it.
	StreamBytes     int
	ConnectionBytes int
}

// DefaultLimits returns the limits of a VM that has no other settings.
func DefaultLimits() Limits {
	return Limits{
		Connections:     10_000,
		Streams:         250,
		HeaderBytes:     32 << 10,
		Header:          5 * time.Second,
		Body:            30 * time.Second,
		Idle:            2 * time.Minute,
		Ping:            30 * time.Second,
		Write:           30 * time.Second,
		StreamBytes:     256 << 10,
		ConnectionBytes: 1 << 20,
	}
}
