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

// row is a row of the store, or a change of one in the feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

// rowStore is a stand-in for the platform's metadata store.
type rowStore struct {
	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	version uint64
	started time.Time
	changed chan struct{}
	// rejected holds the names of the machines that are turned away.
	rejected map[string]bool
}

// reject turns a machine away, or serves it again.
func (s *rowStore) reject(machine string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[machine] = rejected
	s.notify()
}

func newRowStore() *rowStore {
	return &rowStore{rows: make(map[rowName]row), started: time.Now(), changed: make(chan struct{}), rejected: make(map[string]bool)}
}

// put writes a row of the operator.
func (s *rowStore) put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: content, Ver: s.version})
	s.notify()
}

// set stores a change. mu must be held.
func (s *rowStore) set(r row) {
	name := rowName{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
}

// notify wakes the calls that wait for changes. mu must be held.
func (s *rowStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the calls of a machine.
func (s *rowStore) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		rejected := s.rejected[machine]
		s.mu.Unlock()
		if rejected {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// respond writes a response. mu must be held.
func (s *rowStore) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.version
	body["now"] = strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *rowStore) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		SetKeys  []row `json:"set_keys"`
		Removals []row `json:"removals"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	failed := false
	for _, e := range body.Expected {
		known, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if !ok {
			known = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		current = append(current, known)
		failed = failed || known.Ver != e.Ver
	}
	if failed {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, set := range body.SetKeys {
		set.Ver = s.version
		s.set(set)
	}
	for _, removal := range body.Removals {
		removal.Ver, removal.Deleted = s.version, true
		s.set(removal)
	}
	s.notify()
	s.respond(w, http.StatusOK, map[string]any{})
}

func (s *rowStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for name, known := range s.rows {
		if name.table != q.Get("table") || name.part != q.Get("part") || name.key < q.Get("from") {
			continue
		}
		if to := q.Get("to"); to == "" || name.key < to {
			rows = append(rows, known)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(rows) > limit
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "truncated": truncated})
}

func (s *rowStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if after > s.version {
			s.respond(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, change := range s.history {
			if change.Ver > after && change.Table == q.Get("table") {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || expired {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
