// Package settings reads the settings file of one process. The file is strict YAML; all its errors are reported with their positions.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"sapphiretray/code"
	"sapphiretray/document"
)

// Defaults of settings that are missing or zero.
const (
	DefaultCapacity          = 1.0 // Relative to the other instances of the service.
	DefaultUpstreamSlots     = 6   // Requests at once.
	DefaultLeaseDuration     = 600 * time.Millisecond
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultClockDrift        = 0.01 // Relative difference in speed of two clocks.
	DefaultDrainTimeout      = 5 * time.Second
	DefaultHoldTimeout       = 2 * time.Second
	DefaultStopTimeout       = 30 * time.Second
)

// bytesPerMegabyte is the size of a megabyte in limits.memory, in bytes.
const bytesPerMegabyte = 1_000_000

// maxBytes bounds the size of a settings file, so that a file of another kind is refused before it is parsed.
const maxBytes = 1 << 14

// file is the content of a settings file.
type file struct {
	Slot       string    `json:"slot"`
	Region     string    `json:"region"`
	DataCentre string    `json:"data_centre"`
	Service    string    `json:"service"`
	Capacity   float64   `json:"capacity"`
	Listen     addresses `json:"listen"`
	Advertise  addresses `json:"advertise"`
	Platform   platform  `json:"platform"`
	Upstream   upstream  `json:"upstream"`
	Lease      lease     `json:"lease"`
	Timeouts   timeouts  `json:"timeouts"`
	Limits     limits    `json:"limits"`
	Log        logging   `json:"log"`
}

type addresses struct {
	Callers    netip.AddrPort `json:"callers"`
	Peers      netip.AddrPort `json:"peers"`
	Heartbeats netip.AddrPort `json:"heartbeats"`
	Admin      netip.AddrPort `json:"admin"`
}

type platform struct {
	Table  string `json:"table"`
	Object string `json:"object"`
}

type upstream struct {
	URL          string `json:"url"`
	ChecksGrants bool   `json:"checks_grants"`
	Slots        int    `json:"slots"`
}

type lease struct {
	Duration document.Duration `json:"duration"`
	Interval document.Duration `json:"interval"`
	Drift    float64           `json:"drift"`
}

type timeouts struct {
	Drain document.Duration `json:"drain"`
	Hold  document.Duration `json:"hold"`
	Stop  document.Duration `json:"stop"`
}

type limits struct {
	Memory      int64 `json:"memory"`
	Descriptors int   `json:"descriptors"`
}

type logging struct {
	Verbosity int `json:"verbosity"`
}

// Settings are the settings of one process with all defaults set. Load and Parse return only valid ones.
type Settings struct {
	file     file
	upstream *url.URL
}

// Load reads a settings file. If it can't be read or isn't valid, the error has code.BadSettings.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, code.Wrap(code.BadSettings, err, "settings")
	}
	return Parse(content)
}

// Parse parses the content of a settings file. The error has code.BadSettings and wraps document.ValidationErrors with all errors.
func Parse(content []byte) (Settings, error) {
	if len(content) > maxBytes {
		tooLarge := document.NewValidationError(1, 1, "", "the file is larger than %d bytes", maxBytes)
		return Settings{}, code.Wrap(code.BadSettings, document.ValidationErrors{tooLarge}, "settings")
	}
	root, errs := document.ParseYAML(content)
	if root == nil {
		return Settings{}, code.Wrap(code.BadSettings, errs, "settings")
	}
	var s Settings
	errs = append(errs, document.Decode(root, &s.file)...)
	s.file.setDefaults()
	c := checker{root: root, errs: errs}
	c.check(&s.file)
	if len(c.errs) > 0 {
		c.errs.Sort()
		return Settings{}, code.Wrap(code.BadSettings, c.errs, "settings")
	}
	s.upstream, _ = url.Parse(s.file.Upstream.URL)
	return s, nil
}

// setDefaults sets the fields that are missing or zero. Advertised addresses default to the ones listened on.
func (f *file) setDefaults() {
	setDefault(&f.Capacity, DefaultCapacity)
	setDefault(&f.Upstream.Slots, DefaultUpstreamSlots)
	setDefault(&f.Lease.Duration, document.Duration(DefaultLeaseDuration))
	setDefault(&f.Lease.Interval, document.Duration(DefaultHeartbeatInterval))
	setDefault(&f.Lease.Drift, DefaultClockDrift)
	setDefault(&f.Timeouts.Drain, document.Duration(DefaultDrainTimeout))
	setDefault(&f.Timeouts.Hold, document.Duration(DefaultHoldTimeout))
	setDefault(&f.Timeouts.Stop, document.Duration(DefaultStopTimeout))
	setDefault(&f.Advertise.Callers, f.Listen.Callers)
	setDefault(&f.Advertise.Peers, f.Listen.Peers)
	setDefault(&f.Advertise.Heartbeats, f.Listen.Heartbeats)
	setDefault(&f.Advertise.Admin, f.Listen.Admin)
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// Slot returns the name of the slot that the instance runs in.
func (s Settings) Slot() string { return s.file.Slot }

// Region returns the region that the instance runs in.
func (s Settings) Region() string { return s.file.Region }

// DataCentre returns the data centre that the instance runs in.
func (s Settings) DataCentre() string { return s.file.DataCentre }

// Service returns the service of the local upstream.
func (s Settings) Service() string { return s.file.Service }

// Capacity returns the capacity of the instance relative to the other instances of its service.
func (s Settings) Capacity() float64 { return s.file.Capacity }

// ListenCallers returns the TCP address to listen on for callers.
func (s Settings) ListenCallers() netip.AddrPort { return s.file.Listen.Callers }

// ListenPeers returns the TCP address to listen on for other instances.
func (s Settings) ListenPeers() netip.AddrPort { return s.file.Listen.Peers }

// ListenHeartbeats returns the UDP address to listen on for heartbeats.
func (s Settings) ListenHeartbeats() netip.AddrPort { return s.file.Listen.Heartbeats }

// ListenAdmin returns the TCP address to listen on for requests for metrics and status.
func (s Settings) ListenAdmin() netip.AddrPort { return s.file.Listen.Admin }

// CallerAddress returns the address that is advertised to callers, by default the one listened on.
func (s Settings) CallerAddress() netip.AddrPort { return s.file.Advertise.Callers }

// PeerAddress returns the address that is advertised to other instances, by default the one listened on.
func (s Settings) PeerAddress() netip.AddrPort { return s.file.Advertise.Peers }

// HeartbeatAddress returns the address that is advertised for heartbeats, by default the one listened on.
func (s Settings) HeartbeatAddress() netip.AddrPort { return s.file.Advertise.Heartbeats }

// AdminAddress returns the address that is advertised for metrics and status, by default the one listened on.
func (s Settings) AdminAddress() netip.AddrPort { return s.file.Advertise.Admin }

// TableURL returns the base URL of the table service.
func (s Settings) TableURL() string { return s.file.Platform.Table }

// ObjectURL returns the base URL of the object store.
func (s Settings) ObjectURL() string { return s.file.Platform.Object }

// UpstreamURL returns a copy of the upstream's base URL.
func (s Settings) UpstreamURL() *url.URL {
	if s.upstream == nil {
		return &url.URL{}
	}
	u := *s.upstream
	return &u
}

// UpstreamChecksGrants reports whether the upstream refuses requests without a valid grant.
func (s Settings) UpstreamChecksGrants() bool { return s.file.Upstream.ChecksGrants }

// UpstreamSlots returns the number of requests that the upstream can run at once.
func (s Settings) UpstreamSlots() int { return s.file.Upstream.Slots }

// LeaseDuration returns the duration of a lease.
func (s Settings) LeaseDuration() time.Duration { return time.Duration(s.file.Lease.Duration) }

// HeartbeatInterval returns the time between heartbeats.
func (s Settings) HeartbeatInterval() time.Duration { return time.Duration(s.file.Lease.Interval) }

// ClockDrift returns the bound on the relative difference in speed of two clocks, such as 0.01.
func (s Settings) ClockDrift() float64 { return s.file.Lease.Drift }

// DrainTimeout returns the bound on the wait for requests in flight when a partition moves.
func (s Settings) DrainTimeout() time.Duration { return time.Duration(s.file.Timeouts.Drain) }

// HoldTimeout returns the bound on the time that a request waits for a partition that is being moved.
func (s Settings) HoldTimeout() time.Duration { return time.Duration(s.file.Timeouts.Hold) }

// StopTimeout returns the bound on the duration of a planned stop.
func (s Settings) StopTimeout() time.Duration { return time.Duration(s.file.Timeouts.Stop) }

// MemoryLimit returns the memory of the process in bytes, or 0 if the settings don't name it.
func (s Settings) MemoryLimit() int64 { return s.file.Limits.Memory * bytesPerMegabyte }

// MaxDescriptors returns the number of the process's file descriptors, or 0 if the settings don't name it.
func (s Settings) MaxDescriptors() int { return s.file.Limits.Descriptors }

// Verbosity returns the log verbosity, 0 to 10.
func (s Settings) Verbosity() int { return s.file.Log.Verbosity }
