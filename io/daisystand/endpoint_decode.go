package daisystand

import (
	"encoding/json"
	"io"
	"time"

	"daisyyoke/core/daisyerror"
)

// decodeFaults decodes a faults document. It fails with daisyerror.InvalidRequest.
func decodeFaults(r io.Reader) (Faults, error) {
	var d faultsDocument
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return Faults{}, daisyerror.InvalidRequest.Wrap(err, "faults")
	}
	if d.Slow < 0 {
		return Faults{}, daisyerror.InvalidRequest.New("slow %v: want at least 0", d.Slow)
	}
	if d.RateLimit < 0 {
		return Faults{}, daisyerror.InvalidRequest.New("rate-limit %v: want at least 0", d.RateLimit)
	}
	point, err := parseBreakPoint(d.Break)
	if err != nil {
		return Faults{}, err
	}
	pause, err := parsePause(d.Pause)
	if err != nil {
		return Faults{}, err
	}
	return Faults{
		Slow:      d.Slow,
		FailFast:  d.FailFast,
		ShedAll:   d.ShedAll,
		Draining:  d.Draining,
		Leaving:   d.Leaving,
		Pause:     pause,
		Break:     point,
		Freeze:    d.Freeze,
		RateLimit: d.RateLimit,
	}, nil
}

func parsePause(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	pause, err := time.ParseDuration(text)
	if err != nil || pause < 0 {
		return 0, daisyerror.InvalidRequest.New("pause %q: want a duration of at least 0s", text)
	}
	return pause, nil
}
