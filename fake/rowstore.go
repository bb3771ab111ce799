package fake

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// StoredRow is a row of a RowStore, or a change of it in the feed. Part subdivides a table, Value is base64-encoded in JSON, and Ver is the
// version of the store after the change.
type StoredRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// RowStore is a fake of the row store of the users' platform. The zero value is empty and ready to use.
type RowStore struct {
	faults Faults

	mu   sync.Mutex
	rows map[rowName]StoredRow
	// history has all changes after droppedVersion in their order.
	history        []StoredRow
	droppedVersion uint64
	// version grows by one with each transaction. era grows by one with each return from a copy, and is part of all responses.
	version, era uint64
	// started is the time of the first response; responses carry the time since then.
	started time.Time
	// changed is closed at the next change.
	changed chan struct{}
	// refused has the IP addresses whose calls get status 503.
	refused map[string]bool
	calls   int
	// forgets counts the calls of ForgetWaits, and muted means that the feed doesn't respond. feedStatus is the status with which the feed
	// refuses all calls, or 0.
	forgets    int
	muted      bool
	feedStatus int
}

// rowName identifies a row.
type rowName struct{ table, part, key string }

// Faults returns the injector of the store's faults.
func (s *RowStore) Faults() *Faults { return &s.faults }

// Refuse makes the store respond with 503 to calls from an IP address, or serve them again.
func (s *RowStore) Refuse(ip string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = make(map[string]bool)
	}
	s.refused[ip] = refuse
}

// DropHistory removes all changes so far from the feed, so that reading it from an older version fails with 410.
func (s *RowStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedVersion, s.history = s.version, nil
	s.notify()
}

// ForgetWaits makes the store never respond to the calls that wait for changes. Later calls are answered.
func (s *RowStore) ForgetWaits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgets++
	s.notify()
}

// MuteFeed makes the store leave all calls for changes unanswered, those that wait too, until it is called with false. Calls that arrived
// before are never answered.
func (s *RowStore) MuteFeed(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = mute
	s.forgets++
	s.notify()
}

// RefuseFeed makes the store respond with a status to all calls for changes, those that wait too, or serve them again if it is 0.
func (s *RowStore) RefuseFeed(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feedStatus = status
	s.notify()
}

// RowStoreCopy is a copy of a RowStore.
type RowStoreCopy struct {
	rows    map[rowName]StoredRow
	version uint64
}

// Copy returns a copy of the present content.
func (s *RowStore) Copy() RowStoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return RowStoreCopy{rows: maps.Clone(s.rows), version: s.version}
}

// Values returns the values of the rows of a table with an empty part, by key.
func (c RowStoreCopy) Values(table string) map[string][]byte {
	values := make(map[string][]byte)
	for name, row := range c.rows {
		if name.table == table && name.part == "" {
			values[name.key] = row.Value
		}
	}
	return values
}

// Restore replaces the content by a copy, from whose version the store counts on in the next era. The calls that wait for changes never
// get a response.
func (s *RowStore) Restore(c RowStoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.history = slices.DeleteFunc(s.history, func(row StoredRow) bool { return row.Ver > c.version })
	s.droppedVersion = min(s.droppedVersion, c.version)
	s.era++
	s.forgets++
	s.notify()
}

// Calls returns the number of calls that arrived.
func (s *RowStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row with an empty part without conditions, and returns the version.
func (s *RowStore) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(StoredRow{Table: table, Key: key, Value: value, Ver: s.version})
	s.notify()
	return s.version
}

// Remove removes a row with an empty part without conditions.
func (s *RowStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(StoredRow{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.notify()
}

// Get returns a row with an empty part.
func (s *RowStore) Get(table, key string) (StoredRow, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowName{table: table, key: key}]
	return row, ok
}

// Handler serves the store's HTTP API.
func (s *RowStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.list)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	faulty := s.faults.wrap(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.calls++
		refused := s.refused[host]
		s.nameEra(w)
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		faulty.ServeHTTP(w, r)
	})
}

// nameEra sets the header with the era. mu must be held.
func (s *RowStore) nameEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// set stores a row or, if Deleted is set, removes it, and adds it to the history. mu must be held.
func (s *RowStore) set(row StoredRow) {
	if s.rows == nil {
		s.rows = make(map[rowName]StoredRow)
	}
	name := rowName{row.Table, row.Part, row.Key}
	if row.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = row
	}
	s.history = append(s.history, row)
}

// notify wakes the calls that wait for changes. mu must be held.
func (s *RowStore) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// transact writes and removes rows if all expected rows have the versions given; otherwise it responds with 412 and the current rows.
func (s *RowStore) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []StoredRow `json:"expected"`
		SetKeys  []StoredRow `json:"set_keys"`
		Removals []StoredRow `json:"removals"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make([]StoredRow, 0, len(body.Expected))
	failed := false
	for _, e := range body.Expected {
		row, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if !ok {
			row = StoredRow{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		current = append(current, row)
		failed = failed || row.Ver != e.Ver
	}
	if failed {
		s.writeResponse(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, row := range body.SetKeys {
		row.Ver = s.version
		s.set(row)
	}
	for _, row := range body.Removals {
		row.Ver, row.Deleted = s.version, true
		s.set(row)
	}
	s.notify()
	s.writeResponse(w, http.StatusOK, map[string]any{})
}

// writeResponse writes a body with the newest version and the time of the store. mu must be held.
func (s *RowStore) writeResponse(w http.ResponseWriter, status int, body map[string]any) {
	if s.started.IsZero() {
		s.started = time.Now()
	}
	body["ver"], body["now"] = s.version, strconv.FormatInt(time.Since(s.started).Milliseconds(), 10)+"ms"
	w.Header().Set("Content-Type", "application/json")
	s.nameEra(w)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// list returns the rows of a part from a key on, sorted by key, at most limit (500 by default).
func (s *RowStore) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []StoredRow{}
	for name, row := range s.rows {
		if name.table == query.Get("table") && name.part == query.Get("part") && name.key >= query.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b StoredRow) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated})
}

// feed returns the changes of a table after a version. If there are none yet, it waits for one for up to wait_ms. It responds with 410 if
// the history no longer has all of them, or the store doesn't have the version.
func (s *RowStore) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	forgets := s.forgets
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.muted || s.forgets != forgets {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if s.feedStatus != 0 {
			s.writeResponse(w, s.feedStatus, map[string]any{})
			s.mu.Unlock()
			return
		}
		if after < s.droppedVersion || after > s.version {
			s.writeResponse(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		rows := []StoredRow{}
		for _, row := range s.history {
			if row.Ver > after && row.Table == query.Get("table") {
				rows = append(rows, row)
			}
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		if len(rows) > 0 {
			s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows})
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
			s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
	}
}
