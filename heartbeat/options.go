package heartbeat

import (
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"
)

// DialFunc returns a client for calls to the instance in a slot.
type DialFunc func(slot string) (peer.Peer, error)

// config holds the options of an Endpoint.
type config struct {
	listen     string
	network    Network
	timing     witness.Timing
	backing    time.Duration
	versions   func() *peer.Versions
	onVersions func(slot string, versions *peer.Versions)
	dial       DialFunc
	onExpiry   func(holder member.Incarnation)
	onChange   func(valid bool, reason string)
}

// Option changes an Endpoint under construction.
type Option func(*config)

// WithListen sets the UDP address, host:port, that receives the heartbeats of others. The default is any port of 127.0.0.1.
func WithListen(address string) Option { return func(c *config) { c.listen = address } }

// WithNetwork sets the network of the endpoint's sockets. The default is that of the machine.
func WithNetwork(network Network) Option { return func(c *config) { c.network = network } }

// WithTiming sets the timing, which must be the same in the whole deployment.
func WithTiming(timing witness.Timing) Option { return func(c *config) { c.timing = timing } }

// WithBacking makes the own lease end for good unless, within d, all witnesses support it or NoteUnrevoked is called; see
// witness.Holder.RequireBacking. Without it, a lease can't be revoked.
func WithBacking(d time.Duration) Option { return func(c *config) { c.backing = d } }

// WithVersions sets the function that returns the newest versions of the configuration, the sheet, the pause and the maps that this
// instance knows. They are sent to its witnesses and to the holders that it witnesses, in the next datagrams after a change and
// then about every fourth interval. The function is called from several goroutines. It must return a new message after a change,
// since a message that it has returned must not be modified.
func WithVersions(versions func() *peer.Versions) Option {
	return func(c *config) { c.versions = versions }
}

// WithOnVersions sets a function that is called with the versions in each heartbeat, acknowledgement and announcement and the slot of the
// instance that has them. It is called from several goroutines, and no further datagram is read from the same socket until it returns.
func WithOnVersions(onVersions func(slot string, versions *peer.Versions)) Option {
	return func(c *config) { c.onVersions = onVersions }
}

// WithDial sets the function that returns clients for calls to witnesses. Without it, an expired lease can't be re-acquired.
func WithDial(dial DialFunc) Option { return func(c *config) { c.dial = dial } }

// WithOnExpiry sets a function that is called when a lease that this instance witnesses has expired, so that successors
// can be notified. It must not block, since it delays the report of other expiries.
func WithOnExpiry(onExpiry func(holder member.Incarnation)) Option {
	return func(c *config) { c.onExpiry = onExpiry }
}

// WithOnChange sets a function that is called for each change of the instance's own lease, in order. The reason is a text for operators.
func WithOnChange(onChange func(valid bool, reason string)) Option {
	return func(c *config) { c.onChange = onChange }
}

func newConfig(options []Option) config {
	c := config{
		listen:     "127.0.0.1:0",
		network:    udpNetwork{},
		versions:   func() *peer.Versions { return nil },
		onVersions: func(string, *peer.Versions) {},
		onExpiry:   func(member.Incarnation) {},
		onChange:   func(bool, string) {},
	}
	for _, option := range options {
		option(&c)
	}
	return c
}
