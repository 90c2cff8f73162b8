package daisyload

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunglas/httpsfv"

	"daisyyoke/core/daisyendpoint"
)

// retryAfterHeader is the field in which an endpoint asks for a pause (RFC 9110, 10.2.3).
const retryAfterHeader = "Retry-After"

// ParseNotice returns what a response with this status and header asks for: Leaving if
// Daisy-Load says so, also in a report that is not valid otherwise, and else a pause.
func ParseNotice(now time.Time, status int, header http.Header) daisyendpoint.Notice {
	for _, v := range header[Header] {
		if !strings.Contains(v, leavingMember) {
			continue
		}
		if d, err := httpsfv.UnmarshalDictionary(header[Header]); err == nil {
			if leaving, err := parseFlag(d, leavingMember); err == nil && leaving {
				return daisyendpoint.Leaving{}
			}
		}
		break
	}
	return ParsePause(now, status, header)
}

// leavingMember is the member of a load report by which an endpoint says that it leaves.
const leavingMember = "leaving"

// ParsePause returns the pause that a response with status 503 asks for in Retry-After, in
// seconds, also fractions of them, or as a date. It returns nil without one, and Malformed
// for a value that is neither or is negative.
func ParsePause(now time.Time, status int, header http.Header) daisyendpoint.Notice {
	text := strings.TrimSpace(header.Get(retryAfterHeader))
	if status != http.StatusServiceUnavailable || text == "" {
		return nil
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			return daisyendpoint.Malformed{Text: text}
		}
		return daisyendpoint.NewPause(pauseOf(seconds))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return daisyendpoint.Malformed{Text: text}
	}
	return daisyendpoint.NewPause(at.Sub(now))
}

// pauseOf converts seconds, which may exceed what a duration can hold.
func pauseOf(seconds float64) time.Duration {
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}
