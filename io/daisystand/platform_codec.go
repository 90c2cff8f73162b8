package daisystand

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyplatform"
)

// platformFaultsDocument has a field for each fault; an omitted field injects none.
type platformFaultsDocument struct {
	Down        bool    `json:"down,omitempty"`
	Slow        string  `json:"slow,omitempty"`
	Lagging     string  `json:"lagging,omitempty"`
	LaggingVMs  string  `json:"lagging-vms,omitempty"`
	LostReplies float64 `json:"lost-replies,omitempty"`
	Throttled   float64 `json:"throttled,omitempty"`
	// Restored is the age of the backup that the platform is restored from, once.
	Restored string `json:"restored,omitempty"`
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(newPlatformFaultsDocument(p.faulty.Faults()))
	case http.MethodPost:
		faults, backupAge, err := decodePlatformFaults(http.MaxBytesReader(w, r.Body, maxFaultsSize))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(faults...)
		if backupAge > 0 {
			p.Restore(backupAge)
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", http.MethodGet+", "+http.MethodPost)
		http.Error(w, "want GET or POST", http.StatusMethodNotAllowed)
	}
}

func newPlatformFaultsDocument(faults []daisyplatform.Fault) platformFaultsDocument {
	var d platformFaultsDocument
	for _, f := range faults {
		switch f := f.(type) {
		case daisyplatform.Down:
			d.Down = true
		case daisyplatform.Slow:
			d.Slow = f.Delay.String()
		case daisyplatform.Lagging:
			d.Lagging = f.By.String()
		case daisyplatform.LaggingVMs:
			d.LaggingVMs = f.By.String()
		case daisyplatform.LostReplies:
			d.LostReplies = f.Share
		case daisyplatform.Throttled:
			d.Throttled = f.PerSecond
		}
	}
	return d
}

// decodePlatformFaults decodes a faults document. The age of the backup is 0 if the platform
// is not to be restored. It fails with daisyerror.InvalidRequest.
func decodePlatformFaults(body io.Reader) (faults []daisyplatform.Fault, backupAge time.Duration, err error) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	var d platformFaultsDocument
	if err := decoder.Decode(&d); err != nil {
		return nil, 0, daisyerror.InvalidRequest.Wrap(err, "faults")
	}
	slow, err := parseFaultDuration("slow", d.Slow)
	if err != nil {
		return nil, 0, err
	}
	lag, err := parseFaultDuration("lagging", d.Lagging)
	if err != nil {
		return nil, 0, err
	}
	vmLag, err := parseFaultDuration("lagging-vms", d.LaggingVMs)
	if err != nil {
		return nil, 0, err
	}
	if backupAge, err = parseFaultDuration("restored", d.Restored); err != nil {
		return nil, 0, err
	}
	if d.LostReplies < 0 || d.LostReplies > 1 || d.Throttled < 0 {
		return nil, 0, daisyerror.InvalidRequest.New("faults: lost-replies is a share from 0 to 1, throttled is a rate per second")
	}
	return d.faults(slow, lag, vmLag), backupAge, nil
}

func (d platformFaultsDocument) faults(slow, lag, vmLag time.Duration) []daisyplatform.Fault {
	var faults []daisyplatform.Fault
	if d.Down {
		faults = append(faults, daisyplatform.Down{})
	}
	if slow > 0 {
		faults = append(faults, daisyplatform.Slow{Delay: slow})
	}
	if lag > 0 {
		faults = append(faults, daisyplatform.Lagging{By: lag})
	}
	if vmLag > 0 {
		faults = append(faults, daisyplatform.LaggingVMs{By: vmLag})
	}
	if d.LostReplies > 0 {
		faults = append(faults, daisyplatform.LostReplies{Share: d.LostReplies})
	}
	if d.Throttled > 0 {
		faults = append(faults, daisyplatform.Throttled{PerSecond: d.Throttled})
	}
	return faults
}

func parseFaultDuration(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > daisyplatform.MaxLag {
		return 0, daisyerror.InvalidRequest.New("faults: %s %q: want a duration up to %v", name, text, daisyplatform.MaxLag)
	}
	return d, nil
}
