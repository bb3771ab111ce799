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

// DefaultTimeout is the timeout of a route that names none.
const DefaultTimeout = 10 * time.Second

// Kinds of key sources.
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
	raw       rawRoute
	keyKind   string
	keyName   string
	segment   int
	timeout   time.Duration
	bodyLimit int64
}

func newRoute(r rawRoute, limits Limits) Route {
	route := Route{raw: r, timeout: time.Duration(r.Timeout), bodyLimit: r.MaxBodyBytes}
	route.keyKind, route.keyName, _ = strings.Cut(r.Key, ":")
	switch route.keyKind {
	case keyPath:
		route.segment, _ = strconv.Atoi(route.keyName)
	case keyHeader:
		route.keyName = textproto.CanonicalMIMEHeaderKey(route.keyName)
	}
	if route.timeout == 0 {
		route.timeout = DefaultTimeout
	}
	if route.bodyLimit == 0 {
		route.bodyLimit = limits.MaxBodyBytes()
	}
	return route
}

func (r *Route) accepts(method string) bool {
	return len(r.raw.Methods) == 0 || slices.Contains(r.raw.Methods, method)
}

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.raw.Prefix }

// Methods returns the methods that the route accepts; an empty list stands for all.
func (r Route) Methods() []string { return slices.Clone(r.raw.Methods) }

// Service returns the name of the service.
func (r Route) Service() string { return r.raw.Service }

// KeySource returns the key source as it is written, such as "path:2".
func (r Route) KeySource() string { return r.raw.Key }

// Importance returns the importance, 0 to 9; requests of higher importance are shed last.
func (r Route) Importance() int { return r.raw.Importance }

// Timeout bounds a request on the route.
func (r Route) Timeout() time.Duration { return r.timeout }

// MaxBodyBytes bounds the body of a request.
func (r Route) MaxBodyBytes() int64 { return r.bodyLimit }

// Idempotent reports whether a request may be run again: as the route says, otherwise by the method.
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

// Once reports whether a request needs an id and a token and runs at most once. It is never true for an idempotent
// request; otherwise as the route says, and by default for POST and PATCH.
func (r Route) Once(method string) bool {
	if r.Idempotent(method) {
		return false
	}
	if r.raw.Once != nil {
		return *r.raw.Once
	}
	return method == http.MethodPost || method == http.MethodPatch
}

// Key returns the request's key. It returns false if the key is missing, empty, or given more than once: an upstream
// could read another of the values than the one that chose its owner.
func (r Route) Key(req *http.Request) (string, bool) {
	switch r.keyKind {
	case keyPath:
		return pathSegment(req.URL.EscapedPath(), r.segment)
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

func single(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// pathSegment returns the decoded segment with a number counted from 1. An escaped slash is part of its segment.
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
