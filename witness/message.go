package witness

import (
	"time"

	"sapphiretray/member"
)

// Heartbeat asks one witness to support the holder's lease.
type Heartbeat struct {
	Holder member.Incarnation
	// Witness is the slot of the witness that the heartbeat is sent to.
	Witness string
	// Sequence is 1 for the first heartbeat of an incarnation and grows by 1 with each.
	Sequence uint64
	// EchoRun and EchoSequence repeat Run and Sequence of the newest acknowledgement that the holder has received from
	// this witness; they are 0 if there is none. They prove that the lease was valid after the witness started.
	EchoRun      uint64
	EchoSequence uint64
}

// Ack is the response to a Heartbeat: an acknowledgement or a refusal.
type Ack struct {
	Holder member.Incarnation
	// Witness is the slot of the responding witness.
	Witness string
	// Sequence is that of the heartbeat.
	Sequence uint64
	// Run identifies the witness's record of the holder; see the package comment.
	Run uint64
	// Refused means that the witness supports the holder no more: it has confirmed the expiry of the lease or learned that the
	// holder resigned.
	Refused bool
	// Unsupported means that the acknowledgement doesn't extend the lease. The holder echoes it like any other.
	Unsupported bool
	// Reduced means that the acknowledgement extends the lease by one interval less, because the echo was old.
	Reduced bool
}

// Confirmation is the response to a successor that asks whether a lease has expired.
type Confirmation struct {
	// Run identifies the witness's record of the holder.
	Run uint64
	// Expired means that the witness confirms the expiry.
	Expired bool
	// Wait is the time after which the witness could confirm the expiry if it receives no heartbeat; 0 if Expired.
	Wait time.Duration
}

// VoteRequest asks one witness for its vote in a round in which a holder re-acquires its expired lease.
type VoteRequest struct {
	Holder member.Incarnation
	// Witness is the slot of the witness that the request is sent to.
	Witness string
	// Round is 1 for the first round of an incarnation and grows by 1 with each.
	Round uint64
	// EchoRun and EchoRound repeat Run and Round of the newest vote that the holder has received from this witness since the
	// expiry; they are 0 if there is none.
	EchoRun   uint64
	EchoRound uint64
}

// Vote is the response to a VoteRequest. If neither Granted nor Unproved is set, the witness refuses or can't vote; the holder counts
// both as a refusal.
type Vote struct {
	Holder member.Incarnation
	// Witness is the slot of the responding witness.
	Witness string
	// Run identifies the witness's record of the holder.
	Run uint64
	// Round is that of the request.
	Round uint64
	// Granted means that the witness supports the lease as if it had acknowledged a heartbeat.
	Granted bool
	// Unproved means that the witness would have granted a request that echoes its vote in the round before.
	Unproved bool
}
