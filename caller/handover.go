package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
)

// handover is the memory of a predecessor.
type handover struct {
	from     member.Incarnation
	floor    uint64
	requests []*peer.RememberedRequest
}

// storedAnswer is the encoding of a stored response without its status.
type storedAnswer struct {
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func encodeStored(s Stored) ([]byte, error) {
	return json.Marshal(storedAnswer{Header: s.Header, Body: s.Body})
}

func decodeStored(status int, encoded []byte) (*Stored, error) {
	var answer storedAnswer
	if err := json.Unmarshal(encoded, &answer); err != nil {
		return nil, err
	}
	return &Stored{Status: status, Header: answer.Header, Body: answer.Body}, nil
}

// Export returns the memory of a partition for its next owner. It is called after the partition's last request has
// finished and before the promise is given; the caller sets Promised and Serving.
func (d *Dedup) Export(partition int) *peer.PromiseResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	r := &peer.PromiseResponse{}
	m, ok := d.partitions[partition]
	if !ok {
		r.OwnedSinceTicks = d.ticks(time.Now(), true)
		r.FloorTicks = r.OwnedSinceTicks
		return r
	}
	r.OwnedSinceTicks = d.ticks(m.since, true)
	r.FloorTicks = max(m.floors[d.self], r.OwnedSinceTicks)
	for _, e := range m.entries {
		remembered := &peer.RememberedRequest{
			Id: e.id, TokenTicks: e.token.Ticks, Status: uint32(e.status), Answer: e.answer,
			TokenIssuer: &peer.Incarnation{Slot: e.token.Issuer.Slot(), Number: e.token.Issuer.Number()},
			Finished:    e.state == entryStored || e.state == entryRan,
		}
		r.Requests = append(r.Requests, remembered)
	}
	return r
}

// Import keeps the memory of a predecessor that promised an epoch while it was serving. It takes effect when this
// incarnation begins to own the partition under that epoch, so it has to be called before the first admission.
func (d *Dedup) Import(partition int, epoch uint64, from member.Incarnation, r *peer.PromiseResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.partitions[partition]
	if !ok {
		m = &memory{entries: make(map[string]*entry)}
		d.partitions[partition] = m
	}
	if m.importsEpoch != epoch {
		m.imports, m.importsEpoch = nil, epoch
	}
	m.imports = append(m.imports, handover{
		from: from, floor: max(r.GetFloorTicks(), r.GetOwnedSinceTicks()), requests: r.GetRequests(),
	})
}

// adopt adds a predecessor's memory to that of a partition.
func (d *Dedup) adopt(m *memory, partition int, h handover) {
	m.floors[h.from] = max(m.floors[h.from], h.floor)
	for _, remembered := range h.requests {
		if _, ok := m.entries[remembered.GetId()]; ok {
			continue
		}
		issuer := remembered.GetTokenIssuer()
		e := &entry{
			id: remembered.GetId(), partition: partition, status: int(remembered.GetStatus()), answer: remembered.GetAnswer(),
			token: Token{Issuer: member.NewIncarnation(issuer.GetSlot(), issuer.GetNumber()), Ticks: remembered.GetTokenTicks()},
			state: importedState(remembered),
			done:  make(chan struct{}),
		}
		close(e.done)
		m.entries[e.id] = e
		d.keep(e)
	}
	d.expire()
}

func importedState(r *peer.RememberedRequest) entryState {
	switch {
	case !r.GetFinished():
		return entryUnknown
	case len(r.GetAnswer()) > 0:
		return entryStored
	default:
		return entryRan
	}
}
