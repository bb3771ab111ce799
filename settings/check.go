package settings

import (
	"net/netip"
	"net/url"
	"time"

	"sapphiretray/document"
)

const (
	// maxClockDrift, maxVerbosity and maxCapacity bound the settings lease.drift, log.verbosity and capacity.
	maxClockDrift = 0.1
	maxVerbosity  = 10
	maxCapacity   = 1e6
	// minIntervals is the least number of heartbeat intervals in a lease. A shorter lease would expire after one lost heartbeat and a
	// late one.
	minIntervals = 3
	// minMemory in MB and minDescriptors are the least that a process can serve with.
	minMemory      = 64
	minDescriptors = 300
)

// checker collects the validation errors of a settings file with the positions of the fields.
type checker struct {
	root *document.Node
	errs document.ValidationErrors
}

// fail adds an error for the field at a path, unless the field has one already.
func (c *checker) fail(path, format string, args ...any) {
	for _, v := range c.errs {
		if v.Path() == path {
			return
		}
	}
	line, column := c.root.Position(path)
	c.errs = append(c.errs, document.NewValidationError(line, column, path, format, args...))
}

// require adds an error if a condition doesn't hold.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.fail(path, format, args...)
	}
}

// check checks all fields of a settings file.
func (c *checker) check(f *file) {
	c.name("slot", f.Slot)
	c.name("region", f.Region)
	c.name("data_centre", f.DataCentre)
	c.name("service", f.Service)
	c.require(f.Capacity > 0 && f.Capacity <= maxCapacity, "capacity", "want a number above 0, up to %g", maxCapacity)
	c.addresses(f)
	c.url("platform.table", f.Platform.Table)
	c.url("platform.object", f.Platform.Object)
	c.url("upstream.url", f.Upstream.URL)
	c.require(f.Upstream.Slots > 0, "upstream.slots", "want at least 1")
	c.timing(f)
	c.require(f.Limits.Memory == 0 || f.Limits.Memory >= minMemory, "limits.memory",
		"want at least %d MB, or 0 if it isn't known", minMemory)
	c.require(f.Limits.Descriptors == 0 || f.Limits.Descriptors >= minDescriptors, "limits.descriptors",
		"want at least %d, or 0 if the number isn't known", minDescriptors)
	c.require(f.Log.Verbosity >= 0 && f.Log.Verbosity <= maxVerbosity, "log.verbosity", "want 0 to %d", maxVerbosity)
}

// name requires a valid name.
func (c *checker) name(path, value string) {
	switch {
	case value == "":
		c.fail(path, "the field is missing")
	case !document.ValidName(value):
		c.fail(path, "%q: want %s", value, document.NameRule)
	}
}

// url requires a base URL.
func (c *checker) url(path, value string) {
	if value == "" {
		c.fail(path, "the field is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fail(path, "%q isn't a URL such as http://127.0.0.1:9000", value)
	} else if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		c.fail(path, "%q: want no user, query or fragment", value)
	}
}

// addresses checks the addresses to listen on and to advertise. Heartbeats use UDP; the TCP addresses must differ.
func (c *checker) addresses(f *file) {
	type listener struct {
		path           string
		address        netip.AddrPort
		advertisedPath string
		advertised     netip.AddrPort
	}
	tcp := make(map[netip.AddrPort]string)
	for _, a := range []listener{
		{"listen.callers", f.Listen.Callers, "advertise.callers", f.Advertise.Callers},
		{"listen.peers", f.Listen.Peers, "advertise.peers", f.Advertise.Peers},
		{"listen.heartbeats", f.Listen.Heartbeats, "advertise.heartbeats", f.Advertise.Heartbeats},
		{"listen.admin", f.Listen.Admin, "advertise.admin", f.Advertise.Admin},
	} {
		if !a.address.IsValid() {
			c.fail(a.path, "the field is missing; want IP:port")
			continue
		}
		c.require(a.address.Port() != 0, a.path, "the port must not be 0")
		if a.path != "listen.heartbeats" {
			if other, taken := tcp[a.address]; taken {
				c.fail(a.path, "%s is also %s", a.address, other)
			}
			tcp[a.address] = a.path
		}
		c.require(!a.advertised.Addr().IsUnspecified() && a.advertised.Port() != 0, a.advertisedPath,
			"%s can't be reached from elsewhere; give the address to advertise", a.advertised)
	}
}

// timing checks the lease's timing and the timeouts.
func (c *checker) timing(f *file) {
	c.require(f.Lease.Duration > 0, "lease.duration", "want a duration above 0")
	c.require(f.Lease.Interval > 0, "lease.interval", "want a duration above 0")
	c.require(f.Lease.Interval*minIntervals <= f.Lease.Duration, "lease.interval",
		"%s: want at most a third of the lease's duration %s", time.Duration(f.Lease.Interval), time.Duration(f.Lease.Duration))
	c.require(f.Lease.Drift > 0 && f.Lease.Drift <= maxClockDrift, "lease.drift", "want a ratio above 0, up to %g", maxClockDrift)
	c.require(f.Timeouts.Drain > 0, "timeouts.drain", "want a duration above 0")
	c.require(f.Timeouts.Hold > 0, "timeouts.hold", "want a duration above 0")
	c.require(f.Timeouts.Stop > f.Timeouts.Drain, "timeouts.stop",
		"%s: want more than the drain timeout %s", time.Duration(f.Timeouts.Stop), time.Duration(f.Timeouts.Drain))
}
