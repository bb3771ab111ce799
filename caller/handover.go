package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
)

// dedupImport holds the request ids of a partition that were received from a previous owner.
type dedupImport struct {
	from     member.Incarnation
	floor    uint64 // The lowest accepted Token.Ticks of tokens that the previous owner issued.
	requests []*peer.RememberedRequest
}

// encodedResponse is a stored response in the form that is encoded as JSON. The status is transferred separately.
type encodedResponse struct {
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func encodeStored(s Stored) ([]byte, error) {
	return json.Marshal(encodedResponse{Header: s.Header, Body: s.Body})
}

func decodeStored(status int, encoded []byte) (*Stored, error) {
	var response encodedResponse
	if err := json.Unmarshal(encoded, &response); err != nil {
		return nil, err
	}
	return &Stored{Status: status, Header: response.Header, Body: response.Body}, nil
}

// Export returns the request ids of a partition for its next owner. It must be called after the partition's last request has
// finished and before the promise is given. The fields Promised and Serving are left to the calling code.
func (d *Dedup) Export(partition int) *peer.PromiseResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	r := &peer.PromiseResponse{}
	pd, ok := d.partitions[partition]
	if !ok {
		r.OwnedSinceTicks = d.ticks(time.Now(), true)
		r.FloorTicks = r.OwnedSinceTicks
		return r
	}
	r.OwnedSinceTicks = d.ticks(pd.since, true)
	r.FloorTicks = max(pd.floors[d.self], r.OwnedSinceTicks)
	for _, e := range pd.entries {
		remembered := &peer.RememberedRequest{
			Id: e.id, TokenTicks: e.token.Ticks, Status: uint32(e.status), Answer: e.response,
			TokenIssuer: &peer.Incarnation{Slot: e.token.Issuer.Slot(), Number: e.token.Issuer.Number()},
			Finished:    e.state == entryStored || e.state == entryRan,
		}
		r.Requests = append(r.Requests, remembered)
	}
	return r
}

// Import adds the request ids that a previous owner exported with its promise of an epoch. They take effect when this
// incarnation starts to own the partition under that epoch, so Import must be called before the first admission. Imports for
// another epoch are dropped.
func (d *Dedup) Import(partition int, epoch uint64, from member.Incarnation, r *peer.PromiseResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pd, ok := d.partitions[partition]
	if !ok {
		pd = &partitionDedup{entries: make(map[string]*entry)}
		d.partitions[partition] = pd
	}
	if pd.importsEpoch != epoch {
		pd.imports, pd.importsEpoch = nil, epoch
	}
	pd.imports = append(pd.imports, dedupImport{
		from: from, floor: max(r.GetFloorTicks(), r.GetOwnedSinceTicks()), requests: r.GetRequests(),
	})
}

// mergeImport adds the request ids of a previous owner to those of a partition, except known ids, and accepts the tokens that it
// issued.
func (d *Dedup) mergeImport(pd *partitionDedup, partition int, imported dedupImport) {
	pd.floors[imported.from] = max(pd.floors[imported.from], imported.floor)
	for _, remembered := range imported.requests {
		if _, ok := pd.entries[remembered.GetId()]; ok {
			continue
		}
		issuer := remembered.GetTokenIssuer()
		e := &entry{
			id: remembered.GetId(), partition: partition, status: int(remembered.GetStatus()), response: remembered.GetAnswer(),
			token: Token{Issuer: member.NewIncarnation(issuer.GetSlot(), issuer.GetNumber()), Ticks: remembered.GetTokenTicks()},
			state: importedState(remembered),
			done:  make(chan struct{}),
		}
		close(e.done)
		pd.entries[e.id] = e
		d.trackFinished(e)
	}
	d.expire()
}

// importedState returns the state of a request id that a previous owner exported.
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
