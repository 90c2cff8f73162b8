// Package daisyerror defines the error types that all of daisyyoke shares.
//
// Every error is an errorx error of one of the types below, or of a subtype that a
// package derives from them, so that callers decide by type and never by text.
package daisyerror

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("daisyyoke")

var (
	// InvalidSetting marks an unusable flag or environment variable.
	InvalidSetting = namespace.NewType("invalid-setting")
	// InvalidIntent marks an intent that breaks a rule of its format or its meaning.
	InvalidIntent = namespace.NewType("invalid-intent")
	// InvalidRequest marks a message that its sender has to change before sending it again.
	InvalidRequest = namespace.NewType("invalid-request")
	// NotFound marks a name or an ID that does not exist.
	NotFound = namespace.NewType("not-found", errorx.NotFound())
	// Stale marks a change based on a revision that is no longer the confirmed one.
	Stale = namespace.NewType("stale")
	// Ended marks the use of something that has reached a final state, for instance a discarded plan.
	Ended = namespace.NewType("ended")
	// CheckFailed marks a configuration in which a check found errors.
	CheckFailed = namespace.NewType("check-failed")
	// Unauthorized marks a sender without valid credentials.
	Unauthorized = namespace.NewType("unauthorized")
	// Unavailable marks an operation that was not carried out and may succeed later.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())
	// Unknown marks an operation that may or may not have been carried out.
	Unknown = namespace.NewType("unknown")
	// Closed marks the use of something after its Close.
	Closed = namespace.NewType("closed")
	// Internal marks a violated invariant of daisyyoke itself.
	Internal = namespace.NewType("internal")
)
