// Package config holds the configuration that operators put into effect: services, routes, limits and weights. Of the limits, only
// MaxBodyBytes is applied at present; the other limits and the weights are validated and stored.
package config

import (
	"encoding/json"
	"slices"

	"sapphiretray/code"
	"sapphiretray/document"
)

// RowKey is the table key of the accepted configuration.
const RowKey = "config"

// Config is an immutable configuration. The zero value has no routes and version 0, which no accepted configuration has.
type Config struct {
	raw    rawConfig
	routes []Route
	// byPrefix holds the routes of each prefix, those that list methods first.
	byPrefix map[string][]*Route
	// longestPrefix is the length of the longest prefix in bytes.
	longestPrefix int
}

// rawConfig is the JSON form of a configuration.
type rawConfig struct {
	Version  uint64       `json:"version"`
	Services []rawService `json:"services"`
	Routes   []rawRoute   `json:"routes"`
	Limits   rawLimits    `json:"limits"`
	Weights  rawWeights   `json:"weights"`
}

type rawService struct {
	Name       string `json:"name"`
	Partitions int    `json:"partitions"`
}

// Parse reads a configuration strictly and calls Check. The error carries code.BadConfig and wraps document.ValidationErrors, which lists
// every error with its position.
func Parse(content []byte) (Config, error) {
	root, errs := document.ParseJSON(content)
	if root == nil {
		return Config{}, code.Wrap(code.BadConfig, errs, "configuration")
	}
	var c Config
	errs = append(errs, document.Decode(root, &c.raw)...)
	reported := make(map[string]bool)
	for _, v := range errs {
		reported[v.Path()] = true
	}
	c.buildRoutes()
	for _, v := range c.Check() {
		if !reported[v.Path()] {
			line, column := root.Position(v.Path())
			errs = append(errs, v.At(line, column))
		}
	}
	if len(errs) > 0 {
		errs.Sort()
		return Config{}, code.Wrap(code.BadConfig, errs, "configuration")
	}
	return c, nil
}

// UnmarshalJSON reads a configuration. It ignores unknown fields, so that a row written by a newer release can be read, and
// doesn't call Check.
func (c *Config) UnmarshalJSON(content []byte) error {
	var next Config
	if err := json.Unmarshal(content, &next.raw); err != nil {
		return err
	}
	next.buildRoutes()
	*c = next
	return nil
}

// MarshalJSON is the inverse of UnmarshalJSON.
func (c Config) MarshalJSON() ([]byte, error) { return json.Marshal(c.raw) }

// buildRoutes fills in routes and the fields that Match uses from the JSON form.
func (c *Config) buildRoutes() {
	c.routes = make([]Route, len(c.raw.Routes))
	for n, r := range c.raw.Routes {
		c.routes[n] = newRoute(r, c.Limits())
	}
	c.byPrefix = make(map[string][]*Route)
	for n := range c.routes {
		r := &c.routes[n]
		c.byPrefix[r.raw.Prefix] = append(c.byPrefix[r.raw.Prefix], r)
		c.longestPrefix = max(c.longestPrefix, len(r.raw.Prefix))
	}
	for _, routes := range c.byPrefix {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.raw.Methods) - len(a.raw.Methods) })
	}
}

// WithVersion returns the configuration with the given version.
func (c Config) WithVersion(version uint64) Config {
	c.raw.Version = version
	return c
}

// Version returns the version, which grows by one with each accepted change.
func (c Config) Version() uint64 { return c.raw.Version }

// Services returns the services.
func (c Config) Services() []Service {
	services := make([]Service, len(c.raw.Services))
	for n, s := range c.raw.Services {
		services[n] = Service{name: s.Name, partitions: s.Partitions}
	}
	return services
}

// Service returns the service with the given name, and false if there is none.
func (c Config) Service(name string) (Service, bool) {
	for _, s := range c.raw.Services {
		if s.Name == name {
			return Service{name: s.Name, partitions: s.Partitions}, true
		}
	}
	return Service{}, false
}

// Routes returns the routes in the order of the configuration.
func (c Config) Routes() []Route { return slices.Clone(c.routes) }

// Match returns the route with the longest prefix that matches path and that accepts the method, and false if there is none. A
// prefix matches whole path segments: "/book" doesn't match "/bookings". Match doesn't allocate, and its time grows with the
// longest prefix, not with the number of routes or the length of path.
func (c Config) Match(path, method string) (Route, bool) {
	for end := min(len(path), c.longestPrefix); end > 0; end-- {
		segmentEnd := end == len(path) || path[end] == '/' || path[end-1] == '/'
		if !segmentEnd {
			continue
		}
		for _, r := range c.byPrefix[path[:end]] {
			if r.accepts(method) {
				return *r, true
			}
		}
	}
	return Route{}, false
}

// Service is a service whose keys are partitioned.
type Service struct {
	name       string
	partitions int
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Partitions returns the number of partitions, a power of two.
func (s Service) Partitions() int { return s.partitions }
