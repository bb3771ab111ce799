package heartbeat

import (
	"context"
	"errors"
	"net"
	"time"

	"sapphiretray/peer"
	"sapphiretray/witness"
)

// flow is the socket by which heartbeats are sent to one witness and its acknowledgements are received.
type flow struct {
	witnessAddress WitnessAddress
	conn           net.Conn
	// lastAck is the time of the newest acknowledgement or, before the first one, of the opening of the socket.
	lastAck time.Time
}

// runHolder sends heartbeats until the lease expires, and then starts rounds of votes until it is re-acquired. It returns when ctx
// ends.
func (e *Endpoint) runHolder(ctx context.Context) error {
	defer e.closeFlows()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextHeartbeat, nextRound time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-e.holderWake:
			nextHeartbeat = time.Time{}
		}
		now := time.Now()
		state, expires := e.checkLease(now)
		switch state {
		case witness.Expired:
			if !now.Before(nextRound) {
				nextRound = now.Add(2 * e.timing.Interval())
				e.startRound(ctx, false)
			}
			timer.Reset(max(nextRound.Sub(now), 0))
		case witness.Resigned:
			timer.Reset(e.timing.Interval())
		default:
			if !now.Before(nextHeartbeat) {
				if nextHeartbeat = nextHeartbeat.Add(e.timing.Interval()); nextHeartbeat.Before(now) {
					nextHeartbeat = now.Add(e.timing.Interval())
				}
				e.sendHeartbeats()
			}
			wait := nextHeartbeat.Sub(now)
			if state == witness.Valid {
				wait = min(wait, expires.Sub(now))
			}
			timer.Reset(max(wait, 0))
		}
	}
}

// checkLease publishes the state of the own lease and returns it with the time at which the lease ends.
func (e *Endpoint) checkLease(now time.Time) (witness.State, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The call notices an expiry. An earlier call may have done so already.
	e.holder.Valid(now)
	e.publish()
	return e.holder.State(), e.holder.Expires()
}

// sendHeartbeats sends the next heartbeat to each witness. The one in this instance is called directly.
func (e *Endpoint) sendHeartbeats() {
	e.mu.Lock()
	// The sending time is read as late as possible, since the lease runs from it.
	now := time.Now()
	heartbeats := e.holder.Heartbeats(now)
	conns := make([]net.Conn, len(heartbeats))
	for i, heartbeat := range heartbeats {
		if heartbeat.Witness == e.self.Slot() {
			if ack, ok := e.witness.HandleHeartbeat(heartbeat, now); ok {
				e.holder.HandleAck(ack, now)
			}
			continue
		}
		conns[i] = e.flow(heartbeat.Witness, now)
	}
	e.publish()
	e.mu.Unlock()
	if len(heartbeats) == 0 {
		return
	}
	versions := e.heartbeatVersions(heartbeats[0].Sequence, now)
	for i, heartbeat := range heartbeats {
		if conns[i] == nil {
			continue
		}
		if datagram, err := encodeHeartbeat(heartbeat, versions); err == nil {
			e.traffic.send(len(datagram))
			// An error is ignored because the next heartbeat replaces a lost one.
			_, _ = conns[i].Write(datagram)
		}
	}
}

// flow returns the socket to a witness, or nil if it can't be opened. A flow that has not been acknowledged for one and a half
// intervals (300 ms by default) moves to a new socket and thus to a new source port, since the network may stop delivering one flow
// for good while new ones work. e.mu must be held.
func (e *Endpoint) flow(slot string, now time.Time) net.Conn {
	var witnessAddress WitnessAddress
	for _, a := range e.witnessAddresses {
		if a.slot == slot {
			witnessAddress = a
		}
	}
	current := e.flows[slot]
	if current != nil && current.witnessAddress == witnessAddress && now.Sub(current.lastAck) < 3*e.timing.Interval()/2 {
		return current.conn
	}
	if current != nil {
		_ = current.conn.Close()
		delete(e.flows, slot)
	}
	conn, err := e.network.Dial(e.localAddress(), witnessAddress.address)
	if err != nil {
		return nil
	}
	f := &flow{witnessAddress: witnessAddress, conn: conn, lastAck: now}
	e.flows[slot] = f
	e.group.Go(func() error { return e.receiveAcks(f) })
	return conn
}

// localAddress returns the source address of heartbeats, with any port: the IP address that the endpoint listens on, so that other
// instances see the same address even if the machine has several. It returns nil if the endpoint listens on all addresses.
func (e *Endpoint) localAddress() *net.UDPAddr {
	local, ok := e.conn.LocalAddr().(*net.UDPAddr)
	if !ok || local.IP.IsUnspecified() {
		return nil
	}
	return &net.UDPAddr{IP: local.IP, Zone: local.Zone}
}

// receiveAcks processes the acknowledgements that arrive on one flow until its socket is closed.
func (e *Endpoint) receiveAcks(f *flow) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := f.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The read fails if the witness's port is closed, but the socket stays usable.
			continue
		}
		e.traffic.receive(n)
		ack, versions, ok := decodeAck(buffer[:n])
		if !ok || ack.Witness != f.witnessAddress.slot {
			continue
		}
		e.mu.Lock()
		now := time.Now()
		f.lastAck = now
		e.lastAck[ack.Witness] = now
		e.holder.HandleAck(ack, now)
		e.publish()
		e.mu.Unlock()
		if versions != nil {
			e.onVersions(ack.Witness, versions)
		}
	}
}

// UnresponsiveWitnesses returns the slots of the witnesses in other instances that have acknowledged no heartbeat of this incarnation for
// longer than d, or none yet. A refusal counts as an acknowledgement, since the witness is running.
func (e *Endpoint) UnresponsiveWitnesses(now time.Time, d time.Duration) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unresponsive []string
	for _, witnessAddress := range e.witnessAddresses {
		if witnessAddress.slot != e.self.Slot() && now.Sub(e.lastAck[witnessAddress.slot]) > d {
			unresponsive = append(unresponsive, witnessAddress.slot)
		}
	}
	return unresponsive
}

// closeFlows closes the sockets of all flows.
func (e *Endpoint) closeFlows() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.flows {
		_ = f.conn.Close()
	}
}

// startRound asks all witnesses to vote for the re-acquisition of the expired lease. Witnesses grant their votes only if the request
// echoes their last vote. An early round therefore follows a regular one as soon as a majority has responded to it. There is at most
// one early round for each regular one, so that unexpected responses can't cause rounds without a pause.
func (e *Endpoint) startRound(ctx context.Context, early bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.holder.Lost() || (early && (e.earlyRound || !e.holder.MajorityResponded())) {
		return
	}
	e.earlyRound = early
	for _, request := range e.holder.StartRound(now) {
		if request.Witness == e.self.Slot() {
			e.holder.HandleVote(e.witness.HandleVoteRequest(request, now), now)
			e.publish()
			continue
		}
		if e.dial != nil {
			e.group.Go(func() error {
				e.requestVote(ctx, request)
				return nil
			})
		}
	}
}

// requestVote asks one witness for its vote and processes the response. A witness that can't be reached is asked again in the next round.
func (e *Endpoint) requestVote(ctx context.Context, request witness.VoteRequest) {
	slot := request.Witness
	ctx, cancel := context.WithTimeout(ctx, e.timing.Lease())
	defer cancel()
	to, err := e.dial(slot)
	if err != nil {
		return
	}
	response, err := to.Reacquire(ctx, &peer.ReacquireRequest{
		Holder: toWire(request.Holder), Round: request.Round, EchoRun: request.EchoRun, EchoRound: request.EchoRound,
	})
	if err != nil || response.GetWitness() != slot {
		return
	}
	e.mu.Lock()
	e.holder.HandleVote(witness.Vote{
		Holder: request.Holder, Witness: slot, Run: response.GetRun(), Round: response.GetRound(), Granted: response.GetGranted(),
		Unproved: response.GetUnproved(),
	}, time.Now())
	e.publish()
	e.mu.Unlock()
	e.startRound(ctx, true)
	wake(e.holderWake)
}
