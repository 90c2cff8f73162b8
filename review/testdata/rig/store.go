package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, in its JSON form.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"api_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Limits of one answer of rows-get, from PROTOCOL.md.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

// storeLatency is how long a call takes: SYSTEM.md says 4 ms an answer.
const storeLatency = 4 * time.Millisecond

// store is a stand-in for the platform's store: rows, transactions and the feed.
type store struct {
	started time.Time
	server  *http.Server
	address string

	mu      sync.Mutex
	version uint64
	rows    map[[2]string]row
	changes []row
	changed chan struct{}
	// afterPage, if set, is called after a page of a table was made that more pages follow.
	afterPage func(table string)
}

func newStore() *store {
	s := &store{started: time.Now(), rows: make(map[[2]string]row), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row. Its return is the acknowledgement.
func (s *store) put(table, key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			cannotRun("row %s: %v", key, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changeLocked(row{Table: table, Key: key, Value: data, Version: s.version})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.changeLocked(row{Table: table, Key: key, Version: s.version, Deleted: true})
}

func (s *store) changeLocked(r row) {
	k := [2]string{r.Table, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), q.Get("limit"))
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) clock() float64 { return time.Since(s.started).Seconds() + 100 }

func (s *store) get(w http.ResponseWriter, table, part, from, target, limit string) {
	most := maxPageRows
	if n, err := strconv.Atoi(limit); err == nil && n > 0 {
		most = min(most, n)
	}
	s.mu.Lock()
	var keys []string
	for k, r := range s.rows {
		if k[0] == table && r.Part == part && k[1] >= from && (target == "" || k[1] < target) {
			keys = append(keys, k[1])
		}
	}
	sort.Strings(keys)
	page := []row{}
	bytes := 0
	more := false
	for _, k := range keys {
		r := s.rows[[2]string{table, k}]
		if len(page) >= most || len(page) > 0 && bytes+len(r.Value) > maxPageBytes {
			more = true
			break
		}
		bytes += len(r.Value)
		page = append(page, r)
	}
	version, hook := s.version, s.afterPage
	s.mu.Unlock()
	reply(w, map[string]any{"rows": page, "has_more": more, "api_version": version, "current_time_s": s.clock()})
	if more && hook != nil {
		hook(table)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		for _, c := range s.changes {
			if c.Table == table && c.Version > after {
				rows = append(rows, c)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, map[string]any{"rows": rows, "api_version": version, "current_time_s": s.clock()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"rows": rows, "api_version": version, "current_time_s": s.clock()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var tx struct{ Expected, Writes, Deletes []row }
	if err != nil || json.Unmarshal(data, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range tx.Expected {
		if s.rows[[2]string{e.Table, e.Key}].Version != e.Version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, x := range tx.Writes {
		x.Version = s.version
		s.changeLocked(x)
	}
	for _, x := range tx.Deletes {
		s.changeLocked(row{Table: x.Table, Key: x.Key, Version: s.version, Deleted: true})
	}
	version := s.version
	s.mu.Unlock()
	reply(w, map[string]any{"api_version": version, "current_time_s": s.clock()})
}

func reply(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
