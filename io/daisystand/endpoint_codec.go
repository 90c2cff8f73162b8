package daisystand

import (
	"bytes"
	"encoding/json"
	"net/http"

	"daisyyoke/core/daisyerror"
)

// Paths of the load probe and of the control interface, shared by the simulated endpoint
// and platform.
const (
	loadPath   = "/.well-known/daisyyoke/load"
	countsPath = "/.well-known/daisystand/ran"
	faultsPath = "/.well-known/daisystand/faults"
)

// maxFaultsSize limits the size of a faults document in bytes.
const maxFaultsSize = 4096

type faultsDocument struct {
	Slow      float64 `json:"slow,omitempty"`
	FailFast  bool    `json:"fail-fast,omitempty"`
	ShedAll   bool    `json:"shed-all,omitempty"`
	Draining  bool    `json:"draining,omitempty"`
	Leaving   bool    `json:"leaving,omitempty"`
	Pause     string  `json:"pause,omitempty"`
	Break     string  `json:"break,omitempty"`
	Freeze    bool    `json:"freeze,omitempty"`
	RateLimit float64 `json:"rate-limit,omitempty"`
}

type countsDocument struct {
	Total    int            `json:"total"`
	Limited  int            `json:"limited"`
	Shed     int            `json:"shed"`
	Canceled int            `json:"canceled"`
	Keys     map[string]int `json:"keys"`
}

type responseDocument struct {
	Host    string `json:"host"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Rank    string `json:"rank,omitempty"`
	Timeout string `json:"timeout,omitempty"`
}

var breakPointNames = []string{
	BreakNone:         "",
	BreakBeforeHeader: "before-header",
	BreakAfterHeader:  "after-header",
	BreakMidBody:      "mid-body",
}

func parseBreakPoint(text string) (BreakPoint, error) {
	for p, s := range breakPointNames {
		if s == text {
			return BreakPoint(p), nil
		}
	}
	return BreakNone, daisyerror.InvalidRequest.New("break %q: want before-header, after-header or mid-body", text)
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "want POST", http.StatusMethodNotAllowed)
		return
	}
	faults, err := decodeFaults(http.MaxBytesReader(w, r.Body, maxFaultsSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) serveCounts(w http.ResponseWriter) {
	counts := e.Ran()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(countsDocument(counts))
}

// writeResponse echoes the main fields of the request, so that a caller can detect a
// response to another request.
func (e *Endpoint) writeResponse(w http.ResponseWriter, r *http.Request, faults Faults) {
	body, err := json.Marshal(responseDocument{
		Host:    r.Host,
		Path:    r.URL.Path,
		Key:     requestKey(r),
		Rank:    r.Header.Get("Daisy-Rank"),
		Timeout: r.Header.Get("Daisy-Timeout"),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body = append(body, bytes.Repeat([]byte(" "), max(0, e.options.AnswerSize-len(body)))...)
	e.setLoadHeader(w)
	w.Header().Set("Content-Type", "application/json")
	if faults.Break == BreakAfterHeader {
		w.WriteHeader(http.StatusOK)
		abortResponse(w)
	}
	if faults.Break == BreakMidBody {
		_, _ = w.Write(body[:len(body)/2])
		abortResponse(w)
	}
	_, _ = w.Write(body)
}

func abortResponse(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
