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
	// MaxTimeout bounds route timeouts, so that all requests in flight end before the stop timeout of an instance.
	MaxTimeout    = 25 * time.Second
	maxImportance = 9
	maxBodyBytes  = 1 << 40
	maxCount      = 1 << 24
	maxWeight     = 1e6
	maxSegment    = 64
	maxPrefix     = 256
	percent       = 100
)

var (
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
	methods       = []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

// Check returns all faults with the paths of their fields; the faults have no position.
func (c Config) Check() document.Faults {
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
	return k.faults
}

type checker struct{ faults document.Faults }

func (k *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		k.faults = append(k.faults, document.NewFault(0, 0, path, format, args...))
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
	k.require(strings.HasPrefix(r.Prefix, "/") && len(r.Prefix) <= maxPrefix && !strings.ContainsAny(r.Prefix, "?#"), path+".prefix",
		"%q: want a path of up to %d characters that starts with '/'", r.Prefix, maxPrefix)
	for n, method := range r.Methods {
		k.require(slices.Contains(methods, method), fmt.Sprintf("%s.methods[%d]", path, n),
			"%q: want one of %s", method, strings.Join(methods, ", "))
	}
	known := slices.ContainsFunc(services, func(s rawService) bool { return s.Name == r.Service })
	k.require(known, path+".service", "unknown service %q", r.Service)
	k.require(validKey(newRoute(r, Limits{})), path+".key",
		"%q: want path:N (N from 1 to %d), header:NAME or query:NAME", r.Key, maxSegment)
	k.require(r.Importance >= 0 && r.Importance <= maxImportance, path+".importance", "want 0 to %d", maxImportance)
	k.require(r.Timeout >= 0 && time.Duration(r.Timeout) <= MaxTimeout, path+".timeout", "want up to %s", MaxTimeout)
	k.require(r.MaxBodyBytes >= 0 && r.MaxBodyBytes <= maxBodyBytes, path+".max_body_bytes", "want 0 to %d", int64(maxBodyBytes))
	k.require(r.Idempotent == nil || r.Once == nil || !*r.Idempotent || !*r.Once, path+".once",
		"a route can't be both idempotent and once")
}

func validKey(r Route) bool {
	switch r.keyKind {
	case keyPath:
		return r.segment >= 1 && r.segment <= maxSegment
	case keyHeader:
		return headerPattern.MatchString(r.keyName)
	case keyQuery:
		return r.keyName != ""
	}
	return false
}

func overlaps(a, b rawRoute) bool {
	if a.Prefix != b.Prefix {
		return false
	}
	shared := func(method string) bool { return slices.Contains(b.Methods, method) }
	return len(a.Methods) == 0 && len(b.Methods) == 0 || slices.ContainsFunc(a.Methods, shared)
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
		k.require(count.value >= 0 && count.value <= maxCount, "limits."+count.name, "want 0 to %d", maxCount)
	}
	k.require(l.RetryPercent >= 0 && l.RetryPercent <= percent, "limits.retry_percent", "want 0 to %d", percent)
}
