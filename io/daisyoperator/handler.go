package daisyoperator

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyintent"
)

// Tokens verifies operator tokens.
type Tokens interface {
	// Valid reports whether a token grants access; an empty token means that the request had none.
	Valid(token string) bool
}

// Health provides a VM's readiness and metrics.
type Health interface {
	Readiness() Readiness
	WriteMetrics(w http.ResponseWriter)
}

// Filter is a check or limit that applies to an operator's request before its command
// is executed. It is one of Authorize and LimitBody.
type Filter interface{ filter() }

// Authorize rejects requests without a valid token.
type Authorize struct{ Tokens Tokens }

// LimitBody limits the size of a request body.
type LimitBody struct{}

func (Authorize) filter() {}
func (LimitBody) filter() {}

// Handler is the HTTP handler of the operators' interface.
type Handler struct {
	filters    []Filter
	operations *Operations
	health     Health
	log        hclog.Logger
	mux        *http.ServeMux
}

// NewHandler returns a handler. The filters apply to every path except /livez and /readyz.
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

// ServeHTTP handles one request.
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
	if err := h.applyFilters(w, r); err != nil {
		writeProblem(w, err)
		return
	}
	h.health.WriteMetrics(w)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, decode decoder) {
	result, err := h.execute(w, r, decode)
	if err != nil {
		h.log.Warn("operator request failed", "method", r.Method, "path", r.URL.Path, "operator", operatorName(r), "error", err.Error())
		writeProblem(w, err)
		return
	}
	h.log.Info("operator request", "method", r.Method, "path", r.URL.Path, "operator", operatorName(r))
	writeJSON(w, http.StatusOK, result)
}

func (h *Handler) execute(w http.ResponseWriter, r *http.Request, decode decoder) (Result, error) {
	if err := h.applyFilters(w, r); err != nil {
		return nil, err
	}
	command, err := decode(r)
	if err != nil {
		return nil, err
	}
	return h.operations.Handle(r.Context(), operatorName(r), command)
}

func (h *Handler) applyFilters(w http.ResponseWriter, r *http.Request) error {
	for _, f := range h.filters {
		switch f := f.(type) {
		case Authorize:
			if !f.Tokens.Valid(bearerToken(r)) {
				return daisyerror.Unauthorized.New("no valid operator token")
			}
		case LimitBody:
			r.Body = http.MaxBytesReader(w, r.Body, daisyintent.MaxSize+1)
		}
	}
	return nil
}

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

func operatorName(r *http.Request) string {
	if name := r.Header.Get(OperatorHeader); name != "" {
		return name
	}
	return "unknown"
}

func writeProblem(w http.ResponseWriter, err error) {
	p := newProblem(err)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
