// Package fake holds in-memory fakes of the systems that instances depend on: the table service and the object store, the row store of
// the users' platform, and the upstreams of both. It also holds a network relay. All of them inject faults for tests, the demo and
// measurements.
package fake

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"sapphiretray/table"
)

const maxBodyBytes = 256 << 20

// Platform is a fake of the table service and the object store that package instance uses. The users' platform has other fakes: RowStore
// and KeyedUpstream. The zero value is empty and ready to use.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
	// lastVersion is the newest version of a row.
	lastVersion uint64
	writes      uint64
	reads       uint64
	faults      Faults
}

// Counts returns the numbers of reads and writes served so far.
func (p *Platform) Counts() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Faults returns the injector of the platform's faults.
func (p *Platform) Faults() *Faults { return &p.faults }

// Handler serves the HTTP API of the table service and the object store, and POST /fault to set a Fault.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows/{key}", p.getRow)
	mux.HandleFunc("GET /v1/rows", p.listRows)
	mux.HandleFunc("POST /v1/transact", p.transact)
	mux.HandleFunc("PUT /v1/objects/{name}", p.putObject)
	mux.HandleFunc("GET /v1/objects/{name}", p.getObject)
	mux.HandleFunc("GET /v1/objects", p.listObjects)
	root := http.NewServeMux()
	root.Handle("POST /fault", &p.faults)
	root.Handle("/", p.faults.wrap(mux))
	return root
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	row, ok := p.rows[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows := []table.Row{}
	p.mu.Lock()
	p.reads++
	revision := p.lastVersion
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && row.Version > after {
			rows = append(rows, row)
		}
	}
	p.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "revision": revision})
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var transaction table.Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&transaction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conflicts := p.conflicts(transaction.Conditions); len(conflicts) > 0 {
		writeJSON(w, http.StatusConflict, map[string]any{"conflicts": conflicts})
		return
	}
	p.writes++
	writeJSON(w, http.StatusOK, map[string]any{"rows": p.apply(transaction.Writes)})
}

// conflicts returns the current rows, with version 0 if there is none, whose versions differ from the conditions. mu must be held.
func (p *Platform) conflicts(conditions []table.Condition) []table.Row {
	var conflicts []table.Row
	for _, condition := range conditions {
		row := p.rows[condition.Key]
		if row.Version != condition.Version {
			row.Key = condition.Key
			conflicts = append(conflicts, row)
		}
	}
	return conflicts
}

// apply carries out the writes and returns the rows with their new versions but without values. mu must be held.
func (p *Platform) apply(writes []table.Write) []table.Row {
	if p.rows == nil {
		p.rows = make(map[string]table.Row)
	}
	written := make([]table.Row, 0, len(writes))
	for _, write := range writes {
		if write.Delete {
			delete(p.rows, write.Key)
			written = append(written, table.Row{Key: write.Key})
			continue
		}
		p.lastVersion++
		p.rows[write.Key] = table.Row{Key: write.Key, Version: p.lastVersion, Value: write.Value}
		written = append(written, table.Row{Key: write.Key, Version: p.lastVersion})
	}
	return written
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[name]; ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if p.objects == nil {
		p.objects = make(map[string][]byte)
	}
	p.writes++
	p.objects[name] = content
	w.WriteHeader(http.StatusCreated)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	content, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(content)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	names := []string{}
	p.mu.Lock()
	p.reads++
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	p.mu.Unlock()
	sort.Strings(names)
	writeJSON(w, http.StatusOK, map[string]any{"names": names})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
