package heartbeat

import (
	"errors"
	"fmt"
	"net"

	"google.golang.org/protobuf/proto"

	"sapphiretray/peer"
)

var errNotListening = errors.New("the endpoint doesn't listen yet")

// Announce sends the versions that the instance in a slot has to the endpoint at a UDP address, host:port, which passes them to the
// function of WithOnVersions. The datagram may be lost.
func (e *Endpoint) Announce(address, slot string, versions *peer.Versions) error {
	datagram, err := proto.Marshal(&peer.Datagram{Content: &peer.Datagram_Announcement{
		Announcement: &peer.Announcement{Slot: slot, Versions: versions},
	}})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("resolve heartbeat address %s: %w", address, err)
	}
	e.mu.Lock()
	conn := e.conn
	e.mu.Unlock()
	if conn == nil {
		return errNotListening
	}
	e.traffic.send(len(datagram))
	if _, err := conn.WriteTo(datagram, to); err != nil {
		return fmt.Errorf("announce to %s: %w", address, err)
	}
	return nil
}

// receiveAnnouncement passes on the versions in a datagram that is an announcement.
func (e *Endpoint) receiveAnnouncement(datagram []byte) {
	if a := decode(datagram).GetAnnouncement(); a.GetSlot() != "" && a.GetVersions() != nil {
		e.onVersions(a.GetSlot(), a.GetVersions())
	}
}
