package routing

import (
	"fmt"
	"strings"
)

// Faults lists everything that is wrong with a configuration.
type Faults []string

// Error implements error.
func (f Faults) Error() string { return "configuration refused: " + strings.Join(f, "; ") }

func (t *Table) check(services []Service, routes []Route) Faults {
	var faults Faults
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if t.version == 0 {
		add("it has no version")
	}
	if t.limits.MaxHeaderBytes < 0 || t.limits.MaxBodyBytes < 0 || t.limits.HeaderTimeout < 0 || t.limits.IdleTimeout < 0 {
		add("a limit is negative")
	}
	for _, s := range services {
		if s.Name == "" {
			add("a service has no name")
		}
		if s.MaxConnections < 0 || s.Warmup < 0 {
			add("service %q has a negative number", s.Name)
		}
		t.services[s.Name] = s
	}
	names := make(map[string]bool)
	places := make(map[string]bool)
	for _, r := range routes {
		faults = append(faults, t.checkRoute(r)...)
		place := r.Host + r.Prefix
		if names[r.Name] || places[place] {
			add("route %q is given twice", r.Name)
		}
		names[r.Name], places[place] = true, true
	}
	return faults
}

func (t *Table) checkRoute(r Route) Faults {
	var faults Faults
	add := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
	}
	if r.Name == "" || r.Host == "" {
		add("it has no name or no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add("prefix %q doesn't begin and end with a slash", r.Prefix)
	}
	if r.Kind.String() == "unknown" {
		add("its kind is unknown")
	}
	if r.Timeout <= 0 || r.Objective < 0 {
		add("timeout or objective is not positive")
	}
	if r.MaxAttempts < 1 {
		add("it allows no attempt")
	}
	if r.Priority < 0 {
		add("its priority is negative")
	}
	total := 0
	for _, s := range r.Shares {
		if _, ok := t.services[s.Service]; !ok {
			add("service %q is unknown", s.Service)
		}
		if s.Weight < 0 {
			add("weight %d is negative", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		add("no service has a weight")
	}
	return faults
}
