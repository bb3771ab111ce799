package heartbeat

import (
	"sync/atomic"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/witness"

	"google.golang.org/protobuf/proto"
)

// maxDatagram is the size of the receive buffers in bytes. Longer datagrams are truncated and fail to parse.
const maxDatagram = 4096

// runBits is the number of bits of the random run of a witness (see package witness). 48 bits take 7 bytes on the
// wire and make a repeated run improbable.
const runBits = 48

func fromWire(i *peer.Incarnation) member.Incarnation {
	return member.NewIncarnation(i.GetSlot(), i.GetNumber())
}

func toWire(i member.Incarnation) *peer.Incarnation {
	return &peer.Incarnation{Slot: i.Slot(), Number: i.Number()}
}

func encodeHeartbeat(h witness.Heartbeat, versions *peer.Versions) ([]byte, error) {
	return proto.Marshal(&peer.Datagram{Content: &peer.Datagram_Heartbeat{Heartbeat: &peer.Heartbeat{
		Holder: toWire(h.Holder), Sequence: h.Sequence, EchoRun: h.EchoRun, EchoSequence: h.EchoSequence, Versions: versions,
	}}})
}

func encodeAck(a witness.Ack, versions *peer.Versions) ([]byte, error) {
	return proto.Marshal(&peer.Datagram{Content: &peer.Datagram_Ack{Ack: &peer.HeartbeatAck{
		Holder: toWire(a.Holder), Sequence: a.Sequence, Witness: a.Witness, Run: a.Run, Refused: a.Refused, Versions: versions,
		Unsupported: a.Unsupported, Reduced: a.Reduced,
	}}})
}

// decode parses a datagram. It returns nil if that fails.
func decode(datagram []byte) *peer.Datagram {
	d := &peer.Datagram{}
	if err := proto.Unmarshal(datagram, d); err != nil {
		return nil
	}
	return d
}

// decodeHeartbeat returns the heartbeat in a datagram and its versions, which may be nil. Heartbeat.Witness stays empty, since the
// datagram doesn't carry it. The function returns false if there is no valid heartbeat.
func decodeHeartbeat(datagram []byte) (witness.Heartbeat, *peer.Versions, bool) {
	h := decode(datagram).GetHeartbeat()
	holder := fromWire(h.GetHolder())
	if holder.Slot() == "" || holder.Number() == 0 {
		return witness.Heartbeat{}, nil, false
	}
	return witness.Heartbeat{
		Holder: holder, Sequence: h.GetSequence(), EchoRun: h.GetEchoRun(), EchoSequence: h.GetEchoSequence(),
	}, h.GetVersions(), true
}

// decodeAck returns the acknowledgement in a datagram and its versions, which may be nil. It returns false if there is none.
func decodeAck(datagram []byte) (witness.Ack, *peer.Versions, bool) {
	a := decode(datagram).GetAck()
	if a == nil {
		return witness.Ack{}, nil, false
	}
	return witness.Ack{
		Holder: fromWire(a.GetHolder()), Sequence: a.GetSequence(), Witness: a.GetWitness(), Run: a.GetRun(), Refused: a.GetRefused(),
		Unsupported: a.GetUnsupported(), Reduced: a.GetReduced(),
	}, a.GetVersions(), true
}

// traffic counts datagrams and their payload bytes.
type traffic struct {
	sent, sentBytes, received, receivedBytes atomic.Uint64
}

func (t *traffic) send(bytes int) {
	t.sent.Add(1)
	t.sentBytes.Add(uint64(bytes))
}

func (t *traffic) receive(bytes int) {
	t.received.Add(1)
	t.receivedBytes.Add(uint64(bytes))
}

// Traffic is a count of the datagrams of an endpoint and of their payload bytes.
type Traffic struct {
	sent, sentBytes, received, receivedBytes uint64
}

// Sent returns the number of datagrams sent and their payload bytes.
func (t Traffic) Sent() (datagrams, bytes uint64) { return t.sent, t.sentBytes }

// Received returns the number of datagrams received and their payload bytes.
func (t Traffic) Received() (datagrams, bytes uint64) { return t.received, t.receivedBytes }
