package daisyplatform

import (
	"encoding/json"
	"io"
	"net/http"
)

// Handler serves a platform over HTTP. It aborts the connection of a write whose outcome
// is unknown, so that the client sees a lost response.
type Handler struct {
	platform Platform
	mux      *http.ServeMux
}

// NewHandler returns a handler that serves the platform.
func NewHandler(platform Platform) *Handler {
	h := &Handler{platform: platform, mux: http.NewServeMux()}
	h.handle("GET "+rowPath, h.getRow)
	h.handle("PUT "+rowPath, h.putRow)
	h.handle("GET "+rowsPath, h.listRows)
	h.handle("GET "+objectPath, h.getObject)
	h.handle("PUT "+objectPath, h.putObject)
	h.handle("GET "+vmsPath, h.listVMs)
	h.handle("PUT "+vmsPath, h.announceVM)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// handle registers the handler of an operation, which sets the platform's header.
func (h *Handler) handle(pattern string, serve http.HandlerFunc) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platformHeader, platformHeaderValue)
		serve(w, r)
	})
}

func (h *Handler) getRow(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, h.platform.GetRow(r.Context(), r.URL.Query().Get(keyParameter)))
}

func (h *Handler) putRow(w http.ResponseWriter, r *http.Request) {
	var expected Version
	if r.Header.Get("If-None-Match") != anyVersion {
		var ok bool
		if expected, ok = parseVersionTag(r.Header.Get("If-Match")); !ok {
			http.Error(w, `want If-Match: "VERSION" or If-None-Match: *`, http.StatusBadRequest)
			return
		}
	}
	value, ok := readBody(w, r, MaxValueSize)
	if ok {
		writeAnswer(w, h.platform.SwapRow(r.Context(), r.URL.Query().Get(keyParameter), expected, value))
	}
}

func (h *Handler) listRows(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, h.platform.ListRows(r.Context(), r.URL.Query().Get(prefixParameter)))
}

func (h *Handler) getObject(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, h.platform.GetObject(r.Context(), r.URL.Query().Get(nameParameter)))
}

func (h *Handler) putObject(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r, MaxObjectSize)
	if ok {
		writeAnswer(w, h.platform.PutObject(r.Context(), r.URL.Query().Get(nameParameter), data))
	}
}

func (h *Handler) listVMs(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, h.platform.ListVMs(r.Context()))
}

func (h *Handler) announceVM(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r, MaxValueSize)
	if !ok {
		return
	}
	var d vmDocument
	if err := json.Unmarshal(data, &d); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm, err := d.decode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeAnswer(w, h.platform.AnnounceVM(r.Context(), vm))
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return data, true
}

func writeAnswer(w http.ResponseWriter, answer Answer) {
	switch a := answer.(type) {
	case RowRead:
		setEra(w.Header(), a.Era)
		w.Header().Set("ETag", formatVersionTag(a.Row.Version))
		writeBytes(w, a.Row.Value)
	case RowsListed:
		writeJSON(w, encodeRows(a.Rows))
	case RowWritten:
		w.Header().Set("ETag", formatVersionTag(a.Version))
		w.WriteHeader(http.StatusNoContent)
	case ObjectRead:
		writeBytes(w, a.Data)
	case ObjectWritten, VMAnnounced:
		w.WriteHeader(http.StatusNoContent)
	case VMsListed:
		documents := make([]vmDocument, 0, len(a.VMs))
		for _, v := range a.VMs {
			documents = append(documents, encodeVM(v))
		}
		writeJSON(w, documents)
	case Conflict:
		w.WriteHeader(http.StatusPreconditionFailed)
	case NotFound:
		setEra(w.Header(), a.Era)
		w.WriteHeader(http.StatusNotFound)
	case Unknown:
		panic(http.ErrAbortHandler)
	case Unavailable:
		writeUnavailable(w, a.Err)
	}
}

func writeUnavailable(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if isPermanent(err) {
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}

func writeBytes(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}
