package heartbeat

import (
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"
)

// Dial returns the control connection to the instance in a slot.
type Dial func(slot string) (peer.Peer, error)

type config struct {
	listen   string
	timing   witness.Timing
	versions func() *peer.Versions
	news     func(slot string, versions *peer.Versions)
	dial     Dial
	onExpiry func(holder member.Incarnation)
	onChange func(valid bool, reason string)
}

// Option changes an Endpoint under construction.
type Option func(*config)

// WithListen sets the UDP address at which heartbeats of others arrive. The default is any port of 127.0.0.1.
func WithListen(address string) Option { return func(c *config) { c.listen = address } }

// WithTiming sets the timing, which must be the same in the whole deployment.
func WithTiming(timing witness.Timing) Option { return func(c *config) { c.timing = timing } }

// WithVersions sets the source of the versions that are sent to the witnesses and to the holders that this instance
// witnesses, at once after a change and then about every fourth interval. It is called from several goroutines and must
// return a new message after a change; a message that it has returned must not be modified.
func WithVersions(versions func() *peer.Versions) Option {
	return func(c *config) { c.versions = versions }
}

// WithNews sets a function that receives the versions of each heartbeat and acknowledgement that arrives. It is called
// from several goroutines and delays the next message of the same flow until it returns.
func WithNews(news func(slot string, versions *peer.Versions)) Option {
	return func(c *config) { c.news = news }
}

// WithDial sets the source of control connections to witnesses. Without it an expired lease can't be re-acquired.
func WithDial(dial Dial) Option { return func(c *config) { c.dial = dial } }

// WithOnExpiry sets a function that is called when a lease that this instance witnesses has expired, so that successors
// can be notified. It must not block: it delays the report of other expiries.
func WithOnExpiry(onExpiry func(holder member.Incarnation)) Option {
	return func(c *config) { c.onExpiry = onExpiry }
}

// WithOnChange sets a function that is called in order for each change of the instance's own lease.
func WithOnChange(onChange func(valid bool, reason string)) Option {
	return func(c *config) { c.onChange = onChange }
}

func newConfig(options []Option) config {
	c := config{
		listen:   "127.0.0.1:0",
		versions: func() *peer.Versions { return nil },
		news:     func(string, *peer.Versions) {},
		onExpiry: func(member.Incarnation) {},
		onChange: func(bool, string) {},
	}
	for _, option := range options {
		option(&c)
	}
	return c
}
