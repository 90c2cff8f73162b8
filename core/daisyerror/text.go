package daisyerror

import "github.com/joomcode/errorx"

// Text returns the message of an error for people: its own message and those of its
// causes, without the names of their types.
func Text(err error) string {
	x := errorx.Cast(err)
	if x == nil {
		return err.Error()
	}
	cause := x.Cause()
	if cause == nil {
		return x.Message()
	}
	if x.Message() == "" {
		return Text(cause)
	}
	return x.Message() + ": " + Text(cause)
}
