package instance

import (
	"sync/atomic"

	"sapphiretray/caller"
	"sapphiretray/config"
)

// routes gives package caller the routes of the configuration in effect.
type routes struct {
	current atomic.Pointer[config.Config]
}

// route binds a route to the method of a request, on which its defaults depend.
type route struct {
	config.Route
	method string
}

// Idempotent reports whether the request may be repeated.
func (r route) Idempotent() bool { return r.Route.Idempotent(r.method) }

// Once reports whether the request runs at most once by its id.
func (r route) Once() bool { return r.Route.Once(r.method) }

// Match returns the route of a request.
func (r *routes) Match(path, method string) (caller.Route, bool) {
	current := r.current.Load()
	if current == nil {
		return nil, false
	}
	found, ok := current.Match(path, method)
	return route{Route: found, method: method}, ok
}
