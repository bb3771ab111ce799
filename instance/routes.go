package instance

import (
	"sync/atomic"

	"sapphiretray/caller"
	"sapphiretray/config"
)

// routes implements caller.Routes with the configuration in effect.
type routes struct {
	current atomic.Pointer[config.Config]
	// announced is the highest revision of the table that another instance has announced, and rows is the cache of the known rows.
	announced atomic.Uint64
	rows      *rowCache
	// pollFailed is set while the last poll of the table failed.
	pollFailed atomic.Bool
}

// Outdated reports whether a newer configuration may exist: none is in effect yet, another instance has newer rows, or the last poll of the
// table failed.
func (r *routes) Outdated() bool {
	return r.current.Load() == nil || r.announced.Load() > r.rows.Revision() || r.pollFailed.Load()
}

// announce records the revision of the table that another instance has.
func (r *routes) announce(revision uint64) {
	for {
		announced := r.announced.Load()
		if revision <= announced || r.announced.CompareAndSwap(announced, revision) {
			return
		}
	}
}

// route implements caller.Route. The defaults of a configured route depend on the method of the request.
type route struct {
	config.Route
	method string
}

// Idempotent reports whether the request may be retried after it may have run.
func (r route) Idempotent() bool { return r.Route.Idempotent(r.method) }

// Once reports whether the request runs at most once, identified by its request id.
func (r route) Once() bool { return r.Route.Once(r.method) }

// Match returns the route of a request, and false if there is none or no configuration is in effect yet.
func (r *routes) Match(path, method string) (caller.Route, bool) {
	current := r.current.Load()
	if current == nil {
		return nil, false
	}
	found, ok := current.Match(path, method)
	return route{Route: found, method: method}, ok
}
