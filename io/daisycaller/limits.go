package daisycaller

import "time"

// Limits are the limits for callers' connections and requests on a VM.
type Limits struct {
	// MaxConnections is the maximum number of open connections; further ones wait in the
	// backlog of the listening socket.
	MaxConnections int
	// MaxStreams is the maximum number of concurrent requests on one HTTP/2 connection.
	MaxStreams int
	// MaxHeaderBytes is the maximum size of a request header; a larger one is answered with 431.
	MaxHeaderBytes int
	// HeaderTimeout is the timeout for reading a request header.
	HeaderTimeout time.Duration
	// BodyTimeout is the timeout for reading the part of a request body that is buffered
	// before the handler starts.
	BodyTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body with a Content-Length; a larger one
	// is answered with 413. 0 means no limit.
	MaxBodyBytes int64
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// PingTimeout is the time without received data after which an HTTP/2 connection is
	// checked by a ping, and the timeout for the response to the ping.
	PingTimeout time.Duration
	// WriteTimeout is the timeout for a write: over HTTP/1.1 for the whole write, over HTTP/2
	// while no byte can be written.
	WriteTimeout time.Duration
	// StreamBytes and ConnectionBytes are the receive windows of an HTTP/2 stream and of
	// an HTTP/2 connection: what a caller may send before the handler reads it.
	StreamBytes     int
	ConnectionBytes int
}

// DefaultLimits returns the limits of a VM that has no other settings.
func DefaultLimits() Limits {
	return Limits{
		MaxConnections:  10_000,
		MaxStreams:      250,
		MaxHeaderBytes:  32 << 10,
		HeaderTimeout:   5 * time.Second,
		BodyTimeout:     30 * time.Second,
		IdleTimeout:     2 * time.Minute,
		PingTimeout:     30 * time.Second,
		WriteTimeout:    30 * time.Second,
		StreamBytes:     256 << 10,
		ConnectionBytes: 1 << 20,
	}
}
