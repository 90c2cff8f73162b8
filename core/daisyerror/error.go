// Package daisyerror holds the error types that the whole of daisyyoke shares.
//
// Every failure is an errorx error with one of the types below, or with a
// subtype that a package derives from them, so that a caller decides by type and
// never by text.
package daisyerror

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("daisyyoke")

var (
	// InvalidSetting marks a flag or an environment variable that cannot be used.
	InvalidSetting = namespace.NewType("invalid-setting")
	// InvalidIntent marks an intent that breaks a rule of its format or its meaning.
	InvalidIntent = namespace.NewType("invalid-intent")
	// InvalidRequest marks a message that its sender has to change before it is sent again.
	InvalidRequest = namespace.NewType("invalid-request")
	// NotFound marks a name or an id that nothing carries.
	NotFound = namespace.NewType("not-found", errorx.NotFound())
	// Stale marks a change made from a revision that is no longer the confirmed one.
	Stale = namespace.NewType("stale")
	// Ended marks the use of something whose life is over, for instance a plan that was discarded.
	Ended = namespace.NewType("ended")
	// Unauthorized marks a sender without valid credentials.
	Unauthorized = namespace.NewType("unauthorized")
	// Unavailable marks an operation that was not carried out and may succeed later.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())
	// Unknown marks an operation that may or may not have been carried out.
	Unknown = namespace.NewType("unknown")
	// Closed marks the use of something after its Close.
	Closed = namespace.NewType("closed")
	// Internal marks a broken invariant of daisyyoke itself.
	Internal = namespace.NewType("internal")
)
