package witness

import (
	"time"

	"sapphiretray/member"
)

// Heartbeat asks one witness to support the holder's lease.
type Heartbeat struct {
	Holder member.Incarnation
	// Witness is the slot that the heartbeat is for.
	Witness  string
	Sequence uint64
	// EchoRun and EchoSequence repeat the newest acknowledgement of this witness that the holder has received. They
	// prove to the witness that the holder's lease was valid after the witness started.
	EchoRun      uint64
	EchoSequence uint64
}

// Ack answers a Heartbeat.
type Ack struct {
	Holder   member.Incarnation
	Witness  string
	Sequence uint64
	// Run changes whenever the witness has lost its record of the holder.
	Run uint64
	// Refused means that the witness has confirmed the expiry of the holder's lease.
	Refused bool
	// Unsupported means that the acknowledgement doesn't extend the lease. The holder echoes it like any other.
	Unsupported bool
	// Reduced means that the support lasts one interval less, since the echo was old.
	Reduced bool
}

// Confirmation answers a successor's question whether a lease has expired.
type Confirmation struct {
	Run     uint64
	Expired bool
	// Wait is the time after which the witness could confirm if it receives no heartbeat; 0 if Expired.
	Wait time.Duration
}

// VoteRequest asks one witness for its vote in a round in which a holder re-acquires its expired lease.
type VoteRequest struct {
	Holder member.Incarnation
	// Witness is the slot that the request is for.
	Witness string
	Round   uint64
	// EchoRun and EchoRound repeat the newest answer of this witness that the holder has received since the expiry.
	EchoRun   uint64
	EchoRound uint64
}

// Vote answers a request of a round in which a holder re-acquires its expired lease.
type Vote struct {
	Holder  member.Incarnation
	Witness string
	Run     uint64
	Round   uint64
	Granted bool
	// Unproved means that the witness would have granted a request that echoes its answer to the round before.
	Unproved bool
}
