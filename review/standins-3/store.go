package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Times of a healthy store: a transaction takes 8 ms, and an answer 4 ms.
const (
	storeTx     = 8 * time.Millisecond
	storeAnswer = 4 * time.Millisecond
)

// row is a row of the store, or a change of it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

// metadataStore is a stand-in for the platform's store.
type metadataStore struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	ver     uint64
	changed chan struct{}
	started time.Time
	// refusing is set while all calls get status 503.
	refusing bool
}

func startStore(address string) (*metadataStore, error) {
	s := &metadataStore{
		rows: make(map[rowName]row), changed: make(chan struct{}), started: time.Now(), ver: 1,
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *metadataStore) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusing
}

// refuse makes the store answer 503 to all calls, or serve them again.
func (s *metadataStore) refuse(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refuse
	s.notify()
}

func (s *metadataStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *metadataStore) set(r row) {
	name := rowName{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
}

// put writes a row of the operator and returns its version.
func (s *metadataStore) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.notify()
	return s.ver
}

func (s *metadataStore) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now"] = strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *metadataStore) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		SetKeys  []row `json:"set_keys"`
		Removals []row `json:"removals"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, written := range append(append([]row{}, body.SetKeys...), body.Removals...) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(storeTx)
	status, answer := s.apply(body.Expected, body.SetKeys, body.Removals)
	s.answer(w, status, answer)
}

func (s *metadataStore) apply(expected, written, removed []row) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, e := range expected {
		known, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if !ok {
			known = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		current = append(current, known)
		holds = holds && known.Ver == e.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver}
	}
	if len(written)+len(removed) > 0 {
		s.ver++
		for _, r := range written {
			r.Ver = s.ver
			s.set(r)
		}
		for _, r := range removed {
			r.Ver, r.Deleted, r.Value = s.ver, true, nil
			s.set(r)
		}
		s.notify()
	}
	return http.StatusOK, map[string]any{"ver": s.ver}
}

func (s *metadataStore) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []row{}
	for name, known := range s.rows {
		inRange := name.key >= query.Get("from") && (query.Get("to") == "" || name.key < query.Get("to"))
		if name.table == query.Get("table") && name.part == query.Get("part") && inRange {
			rows = append(rows, known)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": ver})
}

func (s *metadataStore) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		rows := []row{}
		for _, change := range s.history {
			if change.Ver > after && change.Table == query.Get("table") {
				rows = append(rows, change)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if after > ver {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || !waiting {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
			if s.refuses() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
