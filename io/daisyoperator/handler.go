package daisyoperator

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyintent"
)

// Tokens checks operators' tokens.
type Tokens interface {
	// Valid says whether a token lets its bearer in; an empty one stands for none.
	Valid(token string) bool
}

// Health gives a VM's readiness and its metrics.
type Health interface {
	Readiness() Readiness
	WriteMetrics(w http.ResponseWriter)
}

// Filter is one step that an operator's request goes through before it is
// carried out. It is one of Authorize and LimitBody.
type Filter interface{ filter() }

// Authorize lets in the bearers of a valid token.
type Authorize struct{ Tokens Tokens }

// LimitBody bounds the size of a request.
type LimitBody struct{}

func (Authorize) filter() {}
func (LimitBody) filter() {}

// Handler is the operators' HTTP interface.
type Handler struct {
	filters    []Filter
	operations *Operations
	health     Health
	log        hclog.Logger
	mux        *http.ServeMux
}

// NewHandler gives the handler. /livez and /readyz are open; all else goes through the filters.
func NewHandler(operations *Operations, health Health, log hclog.Logger, filters ...Filter) *Handler {
	h := &Handler{filters: filters, operations: operations, health: health, log: log, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	h.mux.HandleFunc("GET /readyz", h.serveReadiness)
	h.mux.HandleFunc("GET /metrics", h.serveMetrics)
	for p, d := range decoders {
		h.mux.HandleFunc(p, func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, d) })
	}
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	v := h.health.Readiness()
	if v.Ready {
		writeJSON(w, http.StatusOK, v)
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, v)
}

func (h *Handler) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if err := h.judge(w, r); err != nil {
		writeProblem(w, err)
		return
	}
	h.health.WriteMetrics(w)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, decode decoder) {
	answer, err := h.carryOut(w, r, decode)
	if err != nil {
		h.log.Warn("operator request failed", "method", r.Method, "path", r.URL.Path, "operator", operatorOf(r), "error", err.Error())
		writeProblem(w, err)
		return
	}
	h.log.Info("operator request", "method", r.Method, "path", r.URL.Path, "operator", operatorOf(r))
	writeJSON(w, http.StatusOK, answer)
}

func (h *Handler) carryOut(w http.ResponseWriter, r *http.Request, decode decoder) (Answer, error) {
	if err := h.judge(w, r); err != nil {
		return nil, err
	}
	command, err := decode(r)
	if err != nil {
		return nil, err
	}
	return h.operations.Handle(r.Context(), operatorOf(r), command)
}

func (h *Handler) judge(w http.ResponseWriter, r *http.Request) error {
	for _, f := range h.filters {
		switch f := f.(type) {
		case Authorize:
			if !f.Tokens.Valid(bearer(r)) {
				return daisyerror.Unauthorized.New("no valid operator token")
			}
		case LimitBody:
			r.Body = http.MaxBytesReader(w, r.Body, daisyintent.MaxSize+1)
		}
	}
	return nil
}

func bearer(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

func operatorOf(r *http.Request) string {
	if name := r.Header.Get(OperatorHeader); name != "" {
		return name
	}
	return "unknown"
}

func writeProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
