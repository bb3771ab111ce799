package config

import (
	"fmt"
	"math/bits"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"sapphiretray/document"
	"sapphiretray/partition"
)

const (
	// MaxTimeout is the longest timeout of a route. It lets all requests in flight end before the stop timeout of an
	// instance, 30 s by default.
	MaxTimeout      = 25 * time.Second
	maxImportance   = 9
	maxBodyBytes    = 1 << 40
	maxLimitCount   = 1 << 24
	maxWeight       = 1e6
	maxPathSegment  = 64
	maxPrefixBytes  = 256
	maxRetryPercent = 100
)

var (
	headerNamePattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
	routeMethods      = []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

// Check validates the configuration and returns all validation errors with the paths of their fields, but without positions.
func (c Config) Check() document.ValidationErrors {
	var k checker
	k.services(c.raw.Services)
	for n, r := range c.raw.Routes {
		k.route(fmt.Sprintf("routes[%d]", n), r, c.raw.Services)
		for earlier, other := range c.raw.Routes[:n] {
			k.require(!overlaps(r, other), fmt.Sprintf("routes[%d].prefix", n),
				"routes[%d] has the same prefix and accepts the same method", earlier)
		}
	}
	k.limits(c.raw.Limits)
	for _, w := range []struct {
		name  string
		value float64
	}{{"churn", c.raw.Weights.Churn}, {"imbalance", c.raw.Weights.Imbalance}, {"unavailable", c.raw.Weights.Unavailable}} {
		k.require(w.value >= 0 && w.value <= maxWeight, "weights."+w.name, "want 0 to %g", maxWeight)
	}
	return k.errs
}

// checker collects the validation errors of a configuration.
type checker struct{ errs document.ValidationErrors }

// require adds an error unless ok.
func (k *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		k.errs = append(k.errs, document.NewValidationError(0, 0, path, format, args...))
	}
}

func (k *checker) services(services []rawService) {
	k.require(len(services) > 0, "services", "want at least one service")
	seen := make(map[string]bool)
	for n, s := range services {
		path := fmt.Sprintf("services[%d].", n)
		k.require(document.ValidName(s.Name), path+"name", "%q: want %s", s.Name, document.NameRule)
		k.require(!seen[s.Name], path+"name", "service %q is given twice", s.Name)
		seen[s.Name] = true
		k.require(s.Partitions > 0 && s.Partitions <= partition.MaxPartitions && bits.OnesCount(uint(s.Partitions)) == 1,
			path+"partitions", "%d: want a power of two up to %d", s.Partitions, partition.MaxPartitions)
	}
}

func (k *checker) route(path string, r rawRoute, services []rawService) {
	k.require(strings.HasPrefix(r.Prefix, "/") && len(r.Prefix) <= maxPrefixBytes && !strings.ContainsAny(r.Prefix, "?#"), path+".prefix",
		"%q: want a path of up to %d bytes that starts with '/' and has no '?' or '#'", r.Prefix, maxPrefixBytes)
	for n, method := range r.Methods {
		k.require(slices.Contains(routeMethods, method), fmt.Sprintf("%s.methods[%d]", path, n),
			"%q: want one of %s", method, strings.Join(routeMethods, ", "))
	}
	known := slices.ContainsFunc(services, func(s rawService) bool { return s.Name == r.Service })
	k.require(known, path+".service", "unknown service %q", r.Service)
	k.require(validKeySource(newRoute(r, Limits{})), path+".key",
		"%q: want path:N (N from 1 to %d), header:NAME or query:NAME", r.Key, maxPathSegment)
	k.require(r.Importance >= 0 && r.Importance <= maxImportance, path+".importance", "want 0 to %d", maxImportance)
	k.require(r.Timeout >= 0 && time.Duration(r.Timeout) <= MaxTimeout, path+".timeout", "want up to %s", MaxTimeout)
	k.require(r.MaxBodyBytes >= 0 && r.MaxBodyBytes <= maxBodyBytes, path+".max_body_bytes", "want 0 to %d", int64(maxBodyBytes))
	k.require(r.Idempotent == nil || r.Once == nil || !*r.Idempotent || !*r.Once, path+".once",
		"a route can't be both idempotent and once")
}

// validKeySource reports whether the route's key source is valid.
func validKeySource(r Route) bool {
	switch r.keyKind {
	case keyPath:
		return r.keySegment >= 1 && r.keySegment <= maxPathSegment
	case keyHeader:
		return headerNamePattern.MatchString(r.keyName)
	case keyQuery:
		return r.keyName != ""
	}
	return false
}

// overlaps reports whether two routes have the same prefix and list a common method, or both accept all methods. A route that
// lists methods may have the same prefix as one for all methods, before which it is tried.
func overlaps(a, b rawRoute) bool {
	if a.Prefix != b.Prefix {
		return false
	}
	inBoth := func(method string) bool { return slices.Contains(b.Methods, method) }
	return len(a.Methods) == 0 && len(b.Methods) == 0 || slices.ContainsFunc(a.Methods, inBoth)
}

func (k *checker) limits(l rawLimits) {
	k.require(l.MaxBodyBytes >= 0 && l.MaxBodyBytes <= maxBodyBytes, "limits.max_body_bytes", "want 0 to %d", int64(maxBodyBytes))
	for _, count := range []struct {
		name  string
		value int
	}{
		{"max_held", l.MaxHeld},
		{"max_queued", l.MaxQueued},
		{"dedup_entries", l.DedupEntries},
		{"moves_per_minute", l.MovesPerMinute},
	} {
		k.require(count.value >= 0 && count.value <= maxLimitCount, "limits."+count.name, "want 0 to %d", maxLimitCount)
	}
	k.require(l.RetryPercent >= 0 && l.RetryPercent <= maxRetryPercent, "limits.retry_percent", "want 0 to %d", maxRetryPercent)
}
