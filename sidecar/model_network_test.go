package sidecar

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

const (
	// maxSlowLatency bounds the latency that is added to a slow link, in one direction.
	maxSlowLatency = 300 * time.Millisecond
	// maxLinkStall bounds the time for which a link delivers nothing.
	maxLinkStall = 200 * time.Millisecond
	// silenceAllShare is the share of harms that silence all open connections for good.
	silenceAllShare = 0.05
	// maxWakeDelay bounds how late a process runs to read data that has arrived.
	maxWakeDelay = 10 * time.Millisecond
)

// timeSpan is a span of the time since the model's start.
type timeSpan struct{ from, to time.Duration }

func (s timeSpan) contains(at time.Duration) bool { return s.from <= at && at < s.to }

// modelLink is one direction between two instances.
type modelLink struct {
	// slow is when the link is slow. The added latency is between low and high.
	slow      timeSpan
	low, high time.Duration
	// stalls are when the link keeps what is sent until the end of the stall.
	stalls []timeSpan
}

// planLinks draws the links between instances and the times without rows.
func (m *model) planLinks() {
	if !m.slow {
		return
	}
	whole := modelTime + modelStopTimeout
	d := m.draw("links")
	for from := range modelNodes {
		for to := range modelNodes {
			l := &m.links[from][to]
			if from == to {
				continue
			}
			if d.chance(0.7) {
				l.slow = timeSpan{0, whole}
				if d.chance(0.6) {
					l.slow.from = d.between(0, modelTime)
				}
				if d.chance(0.6) {
					l.slow.to = l.slow.from + d.between(500*time.Millisecond, modelTime)
				}
				l.low = d.between(5*time.Millisecond, maxSlowLatency)
				l.high = l.low
				if d.chance(0.5) {
					l.high = l.low + d.between(0, maxSlowLatency-l.low+1)
				}
				m.record("", "link %c to %c is slow from %v to %v by %v to %v", 'a'+from, 'a'+to, l.slow.from, l.slow.to, l.low, l.high)
			}
			for range d.IntN(8) {
				begin := d.between(0, whole)
				s := timeSpan{begin, begin + d.between(time.Millisecond, maxLinkStall)}
				l.stalls = append(l.stalls, s)
				m.record("", "link %c to %c stalls from %v to %v", 'a'+from, 'a'+to, s.from, s.to)
			}
		}
	}
	for n := range modelNodes {
		for range d.IntN(4) {
			begin := d.between(0, whole)
			s := timeSpan{begin, begin + d.between(100*time.Millisecond, 5*time.Second)}
			m.feeds[n] = append(m.feeds[n], s)
			m.record("", "%c gets no rows from %v to %v", 'a'+n, s.from, s.to)
		}
	}
}

// holdFeeds makes instances learn late that another one stops. m.mu must be held.
func (m *model) holdFeeds(d *draws) {
	now := time.Since(m.started)
	for n := range modelNodes {
		if d.chance(0.5) {
			s := timeSpan{now, now + d.between(time.Second, 5*time.Second)}
			m.feeds[n] = append(m.feeds[n], s)
			m.record("", "%c gets no rows until %v", 'a'+n, s.to)
		}
	}
}

// feedDelay returns how long after now an instance of a node can get a row. m.mu must be held.
func (m *model) feedDelay(n *modelNode) time.Duration {
	now := time.Since(m.started)
	var delay time.Duration
	for _, s := range m.feeds[n.number()] {
		if s.contains(now) {
			delay = max(delay, s.to-now)
		}
	}
	return delay
}

// delay returns what the link adds to the latency at a time. d is drawn from for each packet.
func (l *modelLink) delay(at time.Duration, d func() *draws) time.Duration {
	var delay time.Duration
	if l.slow.contains(at) {
		delay = l.low
		if l.high > l.low {
			delay = d().between(l.low, l.high)
		}
	}
	for _, s := range l.stalls {
		if s.contains(at) {
			delay = max(delay, s.to-at)
		}
	}
	return delay
}

// latency is between 50 µs and 400 µs between an instance and its upstream, and up to 12 ms elsewhere, without the delay of slow links.
func (m *model) latency(from, to netip.AddrPort) time.Duration {
	d := m.newDraws("latency", from, to)
	if isModelUpstream(from.Addr()) || isModelUpstream(to.Addr()) {
		return d.between(50*time.Microsecond, 400*time.Microsecond)
	}
	latency := d.between(200*time.Microsecond, 12*time.Millisecond)
	if !isModelInstance(from.Addr()) || !isModelInstance(to.Addr()) || from.Addr() == to.Addr() {
		return latency
	}
	at := time.Since(m.started)
	l := &m.links[from.Addr().As4()[3]-1][to.Addr().As4()[3]-1]
	return latency + l.delay(at, func() *draws { return m.newDraws("delay", from, to, at) })
}

// wakeDelay is how late an instance runs to read a request of a caller.
func (m *model) wakeDelay(local netip.AddrPort) time.Duration {
	if local.Port() != modelCallerPort {
		return 0
	}
	d := m.newDraws("wake", local, time.Since(m.started))
	if d.chance(0.7) {
		return 0
	}
	return d.between(time.Microsecond, maxWakeDelay)
}

// modelWindow is unbounded between instances, because HTTP/2 clients write while they hold a lock, and small elsewhere.
func modelWindow(from, to netip.AddrPort) int {
	if from.Port() == modelPeerPort || to.Port() == modelPeerPort {
		return math.MaxInt
	}
	return 64 << 10
}

// stallAccepts makes instances accept connections late, in seeds with slow links.
func (m *model) stallAccepts() {
	for m.slow && !m.isEnded() {
		d := m.draw("accept")
		time.Sleep(d.between(50*time.Millisecond, 1500*time.Millisecond))
		node, port := m.nodes[d.IntN(modelNodes)], modelPeerPort
		if d.chance(0.2) {
			port = modelCallerPort
		}
		m.stallAccept(node, port, d.between(time.Millisecond, 600*time.Millisecond))
	}
}

// stallAccept makes an instance accept no connections at a port for a time.
func (m *model) stallAccept(node *modelNode, port int, stall time.Duration) {
	m.network.HoldAccept(node.address(port), stall)
	m.record("", "%s accepts no connections at port %d for %v", node.slot, port, stall)
}

// stallAcceptsOnStop makes an instance that stops accept connections of other instances late while it drains.
func (m *model) stallAcceptsOnStop(i *modelInstance) {
	d := m.draw("acceptOnStop")
	for range d.IntN(4) {
		time.Sleep(d.between(500*time.Millisecond, 2*time.Second))
		if i.node.instance() != i {
			return
		}
		stall := d.between(time.Millisecond, 800*time.Millisecond)
		if d.chance(0.3) {
			// The stop may close the listener with connections in its queue.
			stall = d.between(time.Second, 2*time.Second)
		}
		m.stallAccept(i.node, modelPeerPort, stall)
	}
}

// pressShutdown makes an instance whose listener for other instances is being shut down accept no connections for longer than that waits,
// in some seeds with slow links, and begins sessions that make the other instances open connections to it.
func (m *model) pressShutdown(i *modelInstance) {
	d := m.draw("shutdown")
	if !m.slow || m.isEnded() || !d.chance(0.6) {
		return
	}
	m.stallAccept(i.node, modelPeerPort, d.between(time.Second, 2*time.Second))
	for n := range 6 {
		other := m.nodes[(i.node.number()+1+n%(modelNodes-1))%modelNodes]
		c := m.newCaller(m.draw("pressingShutdown"), other, fmt.Sprintf("q%d%s%d", time.Since(m.started).Milliseconds(), i.node.slot, n))
		c.keysOf, c.writes = i, true
		m.group.Go(func() {
			defer c.close()
			time.Sleep(c.d.between(0, 300*time.Millisecond))
			for n := 0; n < 5 && c.connect(); n++ {
				c.exchange(fmt.Sprintf("%s-%d", c.name, n))
			}
		})
	}
}

// harmConnections resets, silences and delays connections in seeds that allow it.
func (m *model) harmConnections() {
	for m.harmful && !m.isEnded() {
		d := m.draw("harm")
		time.Sleep(d.between(5*time.Millisecond, 600*time.Millisecond))
		conns := m.network.Conns()
		if len(conns) == 0 {
			continue
		}
		if d.chance(silenceAllShare) {
			for _, c := range conns {
				c.Hold(time.Hour)
			}
			m.record("", "harm: all open connections silenced for good")
			continue
		}
		c := conns[d.IntN(len(conns))]
		var text string
		switch d.IntN(4) {
		case 0:
			c.Reset()
			text = "reset"
		case 1:
			silence := d.between(50*time.Millisecond, 4*time.Second)
			c.Hold(silence)
			text = fmt.Sprintf("one direction silenced for %v", silence)
		case 2:
			silence := d.between(50*time.Millisecond, 4*time.Second)
			c.HoldBoth(silence)
			text = fmt.Sprintf("silenced for %v", silence)
		default:
			delay := d.between(5*time.Millisecond, 400*time.Millisecond)
			c.Delay(delay)
			text = fmt.Sprintf("delayed by %v", delay)
		}
		m.record("", "harm: %v -> %v %s", c.RemoteAddr(), c.LocalAddr(), text)
	}
}
