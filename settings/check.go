package settings

import (
	"net/netip"
	"net/url"
	"time"

	"sapphiretray/document"
)

const (
	maxDrift     = 0.1
	maxVerbosity = 10
	maxCapacity  = 1e6
	// A lease shorter than three intervals would end with one lost heartbeat and one late one.
	minIntervals = 3
)

// checker collects faults at the positions of the fields concerned.
type checker struct {
	root   *document.Node
	faults document.Faults
}

func (c *checker) fail(path, format string, args ...any) {
	for _, f := range c.faults {
		if f.Path() == path {
			return
		}
	}
	line, column := c.root.Position(path)
	c.faults = append(c.faults, document.NewFault(line, column, path, format, args...))
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.fail(path, format, args...)
	}
}

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
	c.require(f.Log.Verbosity >= 0 && f.Log.Verbosity <= maxVerbosity, "log.verbosity", "want 0 to %d", maxVerbosity)
}

func (c *checker) name(path, value string) {
	switch {
	case value == "":
		c.fail(path, "the field is missing")
	case !document.ValidName(value):
		c.fail(path, "%q: want %s", value, document.NameRule)
	}
}

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

func (c *checker) addresses(f *file) {
	type named struct {
		path      string
		address   netip.AddrPort
		advertise string
		told      netip.AddrPort
	}
	tcp := make(map[netip.AddrPort]string)
	for _, a := range []named{
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
		c.require(!a.told.Addr().IsUnspecified() && a.told.Port() != 0, a.advertise,
			"%s can't be reached from elsewhere; give the address to advertise", a.told)
	}
}

func (c *checker) timing(f *file) {
	c.require(f.Lease.Duration > 0, "lease.duration", "want a duration above 0")
	c.require(f.Lease.Interval > 0, "lease.interval", "want a duration above 0")
	c.require(f.Lease.Interval*minIntervals <= f.Lease.Duration, "lease.interval",
		"%s: want at most a third of the lease's duration %s", time.Duration(f.Lease.Interval), time.Duration(f.Lease.Duration))
	c.require(f.Lease.Drift > 0 && f.Lease.Drift <= maxDrift, "lease.drift", "want a ratio above 0, up to %g", maxDrift)
	c.require(f.Timeouts.Drain > 0, "timeouts.drain", "want a duration above 0")
	c.require(f.Timeouts.Hold > 0, "timeouts.hold", "want a duration above 0")
	c.require(f.Timeouts.Stop > f.Timeouts.Drain, "timeouts.stop",
		"%s: want more than the drain timeout %s", time.Duration(f.Timeouts.Stop), time.Duration(f.Timeouts.Drain))
}
