package daisystand

import (
	"bytes"
	"encoding/json"
	"net/http"

	"daisyyoke/core/daisyerror"
)

// Paths that the stand-ins answer besides their work.
const (
	loadPath   = "/.well-known/daisyyoke/load"
	ranPath    = "/.well-known/daisystand/ran"
	faultsPath = "/.well-known/daisystand/faults"
)

// maxFaultsSize bounds a faults document in bytes.
const maxFaultsSize = 4096

type faultsDocument struct {
	Slow     float64 `json:"slow,omitempty"`
	FailFast bool    `json:"fail-fast,omitempty"`
	ShedAll  bool    `json:"shed-all,omitempty"`
	Draining bool    `json:"draining,omitempty"`
	Break    string  `json:"break,omitempty"`
	Freeze   bool    `json:"freeze,omitempty"`
}

type ranDocument struct {
	Total    int            `json:"total"`
	Shed     int            `json:"shed"`
	Canceled int            `json:"canceled"`
	Keys     map[string]int `json:"keys"`
}

type answerDocument struct {
	Host    string `json:"host"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Rank    string `json:"rank,omitempty"`
	Timeout string `json:"timeout,omitempty"`
}

var breakPoints = []string{
	BreakNowhere:      "",
	BreakBeforeHeader: "before-header",
	BreakAfterHeader:  "after-header",
	BreakMidBody:      "mid-body",
}

func parseBreakPoint(text string) (BreakPoint, error) {
	for p, s := range breakPoints {
		if s == text {
			return BreakPoint(p), nil
		}
	}
	return BreakNowhere, daisyerror.InvalidRequest.New("break %q: want before-header, after-header or mid-body", text)
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "want POST", http.StatusMethodNotAllowed)
		return
	}
	faults, err := readFaults(http.MaxBytesReader(w, r.Body, maxFaultsSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) serveRan(w http.ResponseWriter) {
	ran := e.Ran()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ranDocument(ran))
}

// answer writes what the endpoint was asked, so that a caller can tell its own answer from another's.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, faults Faults) {
	body, err := json.Marshal(answerDocument{
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
	e.setLoad(w)
	w.Header().Set("Content-Type", "application/json")
	if faults.Break == BreakAfterHeader {
		w.WriteHeader(http.StatusOK)
		breakOff(w)
	}
	if faults.Break == BreakMidBody {
		_, _ = w.Write(body[:len(body)/2])
		breakOff(w)
	}
	_, _ = w.Write(body)
}

func breakOff(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
