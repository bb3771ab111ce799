package routing

import (
	"fmt"
	"strings"
	"time"
)

const (
	// maxColdStart and maxColdRate, in requests per second, bound what a configuration may say of cold upstreams.
	maxColdStart = 24 * time.Hour
	maxColdRate  = 1e6
)

// ValidationErrors lists all errors of a configuration, one text for each.
type ValidationErrors []string

// Error implements error.
func (v ValidationErrors) Error() string { return "configuration refused: " + strings.Join(v, "; ") }

// check adds the services to the table and returns all errors of the services, the routes and the limits.
func (t *Table) check(services []Service, routes []Route) ValidationErrors {
	var errs ValidationErrors
	add := func(format string, args ...any) { errs = append(errs, fmt.Sprintf(format, args...)) }
	if t.version == 0 {
		add("the version is missing")
	}
	if t.limits.MaxHeaderBytes < 0 || t.limits.MaxBodyBytes < 0 || t.limits.HeaderTimeout < 0 || t.limits.IdleTimeout < 0 {
		add("a limit is negative")
	}
	for _, s := range services {
		errs = append(errs, s.check()...)
		t.services[s.Name] = s
	}
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for _, r := range routes {
		errs = append(errs, t.checkRoute(r)...)
		address := r.Host + r.Prefix
		if names[r.Name] || addresses[address] {
			add("route %q: another route has the same name, or the same host and prefix", r.Name)
		}
		names[r.Name], addresses[address] = true, true
	}
	return errs
}

// check returns the errors of a service.
func (s Service) check() ValidationErrors {
	var errs ValidationErrors
	if s.Name == "" {
		errs = append(errs, "a service has no name")
	}
	if s.MaxConnections < 0 || s.Warmup < 0 {
		errs = append(errs, fmt.Sprintf("service %q: the number of connections or the warm-up time is negative", s.Name))
	}
	if s.ColdStart < 0 || s.ColdStart > maxColdStart || !(s.ColdRate >= 0 && s.ColdRate <= maxColdRate) {
		errs = append(errs, fmt.Sprintf("service %q: cold time %v or cold rate %v out of range", s.Name, s.ColdStart, s.ColdRate))
	}
	return errs
}

// checkRoute returns the errors of one route.
func (t *Table) checkRoute(r Route) ValidationErrors {
	var errs ValidationErrors
	add := func(format string, args ...any) {
		errs = append(errs, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
	}
	if r.Name == "" || r.Host == "" {
		add("the name or the host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix %q doesn't begin and end with a slash", r.Prefix)
	}
	if r.Kind.String() == "unknown" {
		add("the kind is unknown")
	}
	if r.Timeout <= 0 || r.Objective < 0 {
		add("the timeout is not positive, or the objective is negative")
	}
	if r.MaxAttempts < 1 {
		add("the number of attempts is below 1")
	}
	if r.Priority < 0 {
		add("the priority is negative")
	}
	total := 0
	for _, s := range r.Shares {
		if _, ok := t.services[s.Service]; !ok {
			add("service %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			add("the weight %d is negative", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		add("no service has a weight above 0")
	}
	return errs
}
