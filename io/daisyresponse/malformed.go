package daisyresponse

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
)

var (
	// Malformed means that what arrived is not a valid response. Nothing in it can be
	// believed, and the request may have been executed. Its subtypes say what is wrong.
	Malformed = daisyerror.Unknown.NewSubtype("malformed-response")
	// MalformedStatus means that the status is not a status code.
	MalformedStatus = Malformed.NewSubtype("status")
	// MalformedField means that a field of the header is not valid.
	MalformedField = Malformed.NewSubtype("field")
	// MalformedInterim means that an interim response (1xx) is not valid.
	MalformedInterim = Malformed.NewSubtype("interim")
	// MalformedTrailer means that a trailer is not valid.
	MalformedTrailer = Malformed.NewSubtype("trailer")
	// MalformedFraming means that the end of the response cannot be known for certain.
	MalformedFraming = Malformed.NewSubtype("framing")
)

// IsMalformed reports whether err is a Malformed error, or one of net/http that wraps it.
func IsMalformed(err error) bool {
	var x *errorx.Error
	return errors.As(err, &x) && x.IsOfType(Malformed)
}

// KindOf returns the subtype of the Malformed error that led to err, for instance "status".
// It returns "" if there is none.
func KindOf(err error) string {
	for err != nil {
		x := errorx.Cast(err)
		if x == nil {
			err = errors.Unwrap(err)
			continue
		}
		if kind, ok := strings.CutPrefix(x.Type().FullName(), Malformed.FullName()+"."); ok {
			return kind
		}
		err = x.Cause()
	}
	return ""
}
