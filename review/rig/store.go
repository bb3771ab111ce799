package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedRow is a row of the platform's store.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

// store is a stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[rowName]storedRow
	history []storedRow
	version uint64
	changed chan struct{}
	started time.Time
	rec     *record
}

const (
	readTime        = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
)

func newStore(rec *record) *store {
	return &store{rows: make(map[rowName]storedRow), changed: make(chan struct{}), started: time.Now(), rec: rec}
}

// put writes a row unconditionally, as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storedRow{Table: table, Key: key, Value: value, Ver: s.version})
	s.wake()
}

func (s *store) set(row storedRow) {
	name := rowName{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = row
	}
	s.history = append(s.history, row)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.list)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return mux
}

// respond writes a response. s.mu must be held.
func (s *store) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now"] = s.version, strconv.FormatInt(time.Since(s.started).Milliseconds(), 10)+"ms"
	content, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []storedRow `json:"expected"`
		SetKeys  []storedRow `json:"set_keys"`
		Removals []storedRow `json:"removals"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []storedRow{}, false
	for _, e := range body.Expected {
		row, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if !ok {
			row = storedRow{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		current = append(current, row)
		failed = failed || row.Ver != e.Ver
	}
	if failed {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	for _, row := range slices.Concat(body.SetKeys, body.Removals) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, row := range body.SetKeys {
		row.Ver = s.version
		s.set(row)
		s.rec.event("store writes %s/%s version %d", row.Table, row.Key, row.Ver)
	}
	for _, row := range body.Removals {
		row.Ver, row.Deleted = s.version, true
		s.set(row)
		s.rec.event("store removes %s/%s version %d", row.Table, row.Key, row.Ver)
	}
	s.wake()
	s.respond(w, http.StatusOK, map[string]any{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storedRow{}
	for name, row := range s.rows {
		to := query.Get("to")
		if name.table == query.Get("table") && name.part == query.Get("part") && name.key >= query.Get("from") &&
			(to == "" || name.key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(rows) > limit
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "truncated": truncated})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	time.Sleep(readTime)
	for {
		s.mu.Lock()
		rows := []storedRow{}
		for _, row := range s.history {
			if row.Ver > after && row.Table == query.Get("table") {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
	}
}
