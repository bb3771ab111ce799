package config

import (
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"sapphiretray/document"
)

// DefaultTimeout is the timeout of a route that sets none.
const DefaultTimeout = 10 * time.Second

// The kinds of key sources. A key source has the form "kind:name"; for keyPath the name is the number of the path segment.
const (
	keyPath   = "path"
	keyHeader = "header"
	keyQuery  = "query"
)

type rawRoute struct {
	Prefix       string            `json:"prefix"`
	Methods      []string          `json:"methods,omitempty"`
	Service      string            `json:"service"`
	Key          string            `json:"key"`
	Importance   int               `json:"importance"`
	Timeout      document.Duration `json:"timeout,omitempty"`
	Idempotent   *bool             `json:"idempotent,omitempty"`
	Once         *bool             `json:"once,omitempty"`
	MaxBodyBytes int64             `json:"max_body_bytes,omitempty"`
}

// Route maps requests under a path prefix to a service.
type Route struct {
	raw rawRoute
	// keyKind and keyName are the two parts of the key source; keySegment is the name as a number, counted from 1, for keyPath.
	keyKind      string
	keyName      string
	keySegment   int
	timeout      time.Duration
	maxBodyBytes int64
}

func newRoute(r rawRoute, limits Limits) Route {
	route := Route{raw: r, timeout: time.Duration(r.Timeout), maxBodyBytes: r.MaxBodyBytes}
	route.keyKind, route.keyName, _ = strings.Cut(r.Key, ":")
	switch route.keyKind {
	case keyPath:
		route.keySegment, _ = strconv.Atoi(route.keyName)
	case keyHeader:
		route.keyName = textproto.CanonicalMIMEHeaderKey(route.keyName)
	}
	if route.timeout == 0 {
		route.timeout = DefaultTimeout
	}
	if route.maxBodyBytes == 0 {
		route.maxBodyBytes = limits.MaxBodyBytes()
	}
	return route
}

func (r *Route) accepts(method string) bool {
	return len(r.raw.Methods) == 0 || slices.Contains(r.raw.Methods, method)
}

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.raw.Prefix }

// Methods returns the methods that the route accepts. An empty list stands for all methods.
func (r Route) Methods() []string { return slices.Clone(r.raw.Methods) }

// Service returns the name of the service.
func (r Route) Service() string { return r.raw.Service }

// KeySource returns the key source as written in the configuration, such as "path:2".
func (r Route) KeySource() string { return r.raw.Key }

// Importance returns the importance, 0 to 9. Under overload, requests of the lowest importance are shed first.
func (r Route) Importance() int { return r.raw.Importance }

// Timeout returns the maximum duration of a request.
func (r Route) Timeout() time.Duration { return r.timeout }

// MaxBodyBytes returns the maximum size of a request body.
func (r Route) MaxBodyBytes() int64 { return r.maxBodyBytes }

// Idempotent reports whether a request with the given method may be run more than once. A route that doesn't set it has the
// default for the method.
func (r Route) Idempotent(method string) bool {
	if r.raw.Idempotent != nil {
		return *r.raw.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Once reports whether a request with the given method needs an id and a token and runs at most once. It is false for an
// idempotent request. A route that doesn't set it has the default, which is true for POST and PATCH.
func (r Route) Once(method string) bool {
	if r.Idempotent(method) {
		return false
	}
	if r.raw.Once != nil {
		return *r.raw.Once
	}
	return method == http.MethodPost || method == http.MethodPatch
}

// Key returns the request's key, and false if it is missing, empty, or given more than once. With several values, the upstream
// could use another one than the one that determined the owner.
func (r Route) Key(req *http.Request) (string, bool) {
	switch r.keyKind {
	case keyPath:
		return pathSegment(req.URL.EscapedPath(), r.keySegment)
	case keyHeader:
		return single(req.Header[r.keyName])
	case keyQuery:
		values, err := url.ParseQuery(req.URL.RawQuery)
		if err != nil {
			return "", false
		}
		return single(values[r.keyName])
	}
	return "", false
}

// single returns the only value, and false if there isn't exactly one or it is empty.
func single(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// pathSegment returns the decoded path segment with the given number, counted from 1, and false if it is missing or empty. An
// escaped slash is part of its segment.
func pathSegment(escaped string, number int) (string, bool) {
	rest, ok := strings.CutPrefix(escaped, "/")
	for ; ok && number > 1; number-- {
		_, rest, ok = strings.Cut(rest, "/")
	}
	if !ok || number < 1 {
		return "", false
	}
	segment, _, _ := strings.Cut(rest, "/")
	segment, err := url.PathUnescape(segment)
	return segment, err == nil && segment != ""
}
