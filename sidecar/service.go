package sidecar

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/grant"
	"sapphiretray/heartbeat"
	"sapphiretray/keyspace"
	"sapphiretray/loglimit"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/store"
	"sapphiretray/wait"
)

// peerService implements the calls of the peer protocol that other instances make.
type peerService struct {
	peer.Unimplemented
	sidecar *Sidecar
}

// ConfirmExpiry responds as a witness.
func (s *peerService) ConfirmExpiry(ctx context.Context, r *peer.ConfirmExpiryRequest) (*peer.ConfirmExpiryResponse, error) {
	return s.sidecar.endpoint.ConfirmExpiry(ctx, r)
}

// Reacquire votes as a witness.
func (s *peerService) Reacquire(ctx context.Context, r *peer.ReacquireRequest) (*peer.ReacquireResponse, error) {
	return s.sidecar.endpoint.Reacquire(ctx, r)
}

// Resign records, as a witness, that a holder has resigned its lease.
func (s *peerService) Resign(ctx context.Context, r *peer.ResignRequest) (*peer.ResignResponse, error) {
	return s.sidecar.endpoint.Resign(ctx, r)
}

// Fetch returns the known rows of a table that are newer than a version, and the version up to which they are complete, or 0 if changes
// after the given version aren't known here, see store.Follower.ChangesAfter. A configuration that is in effect and that the store has lost
// is among them.
func (s *peerService) Fetch(_ context.Context, r *peer.FetchRequest) (*peer.FetchResponse, error) {
	f := s.sidecar.rows
	if r.GetKind() == s.sidecar.adapters.ConfigTable {
		f = s.sidecar.config
	}
	rows, version := f.ChangesAfter(r.GetHave())
	if f == s.sidecar.config {
		rows = append(rows, s.sidecar.lostConfig()...)
	}
	value, err := json.Marshal(rows)
	if err != nil {
		return nil, err
	}
	return &peer.FetchResponse{Value: value, Version: version}, nil
}

// Push merges rows that another instance has written.
func (s *peerService) Push(_ context.Context, r *peer.PushRequest) (*peer.PushResponse, error) {
	rows, err := store.DecodeRows(r.GetValue())
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	if r.GetKind() != TableName {
		return nil, twirp.NewError(twirp.InvalidArgument, "rows of table "+r.GetKind()+" can't be pushed")
	}
	s.sidecar.directory.acceptPushed(rows)
	s.sidecar.rows.Merge(rows)
	return &peer.PushResponse{}, nil
}

// ReleaseKeys releases keys to another instance.
func (s *peerService) ReleaseKeys(ctx context.Context, r *peer.ReleaseKeysRequest) (*peer.ReleaseKeysResponse, error) {
	request := grant.ReleaseRequest{
		Range:   keyspace.Range{First: keyspace.Key(r.GetFirst()), Last: keyspace.Key(r.GetLast())},
		Service: r.GetService(), Epoch: r.GetEpoch(), Holder: r.GetHolder().ToIncarnation(), Successor: r.GetSuccessor().ToIncarnation(),
	}
	handovers, err := s.sidecar.release(ctx, request)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	response := &peer.ReleaseKeysResponse{}
	for _, h := range handovers {
		response.Handovers = append(response.Handovers, &peer.KeyHandover{First: uint32(h.First), Last: uint32(h.Last), Token: h.Token})
	}
	return response, nil
}

// release releases keys of the current incarnation or of an earlier one in this slot. It returns code.BadRequest for another slot or
// service, code.NoOwner if the holder hasn't joined here, and code.Conflict if the keys have a newer epoch.
func (sc *Sidecar) release(ctx context.Context, r grant.ReleaseRequest) ([]grant.Handover, error) {
	if r.Holder.Slot() != sc.settings.Slot || r.Service != sc.settings.Service {
		return nil, code.New(code.BadRequest, "wrong instance: this is slot %s of service %s", sc.settings.Slot, sc.settings.Service)
	}
	s := sc.session.Load()
	if s == nil || s.grantManager == nil || s.self().Number() < r.Holder.Number() {
		return nil, code.New(code.NoOwner, "incarnation %s has not joined here", r.Holder)
	}
	return s.release(ctx, r)
}

// release releases keys of the session's incarnation and of earlier ones in the slot. A successor may know only one of them.
func (s *session) release(ctx context.Context, r grant.ReleaseRequest) ([]grant.Handover, error) {
	if r.Holder != s.self() {
		if err := s.checkNewest(r); err != nil {
			return nil, err
		}
		r.Holder = s.self()
	}
	handovers, err := s.grantManager.Release(ctx, r)
	if err != nil {
		return nil, err
	}
	// No session grants the keys below the requested epoch any more.
	earlier, cleared, err := s.clearing.await(ctx, r.Range)
	if err == nil && !cleared {
		earlier, err = s.revokeEarlierGrants(ctx, r)
	}
	if err != nil {
		return nil, err
	}
	// Handovers of the current incarnation are newer and come last.
	return append(earlier, handovers...), nil
}

// checkNewest returns code.Conflict if the known key map has a newer epoch for keys of a request. An incarnation in this slot may have
// granted them under that epoch, above the successor's.
func (s *session) checkNewest(r grant.ReleaseRequest) error {
	if epoch := s.sidecar.directory.newestEpoch(r.Service, r.Range); epoch > r.Epoch {
		return code.New(code.Conflict, "keys %s have epoch %d, above the requested %d", r.Range, epoch, r.Epoch)
	}
	return nil
}

// Report accepts the report of an instance of the service if this instance can act as its planner.
func (s *peerService) Report(_ context.Context, r *peer.ReportRequest) (*peer.ReportResponse, error) {
	return &peer.ReportResponse{Accepted: s.sidecar.acceptReport(r)}, nil
}

// dialSlot returns a client of the instance in a slot, whose record may have been removed. It returns code.PeerFailed if the slot never had
// a record, and another error if the address in the record is malformed. It doesn't connect.
func (sc *Sidecar) dialSlot(slot string) (peer.Peer, error) {
	r, ok := sc.directory.lastRecord(slot)
	if !ok {
		return nil, code.New(code.PeerFailed, "slot %s is unknown", slot)
	}
	return sc.dialer.Dial(r.PeerAddress)
}

// Release implements grant.Peers.
func (sc *Sidecar) Release(ctx context.Context, r grant.ReleaseRequest) ([]grant.Handover, error) {
	client, err := sc.dialSlot(r.Holder.Slot())
	if err != nil {
		return nil, err
	}
	response, err := client.ReleaseKeys(ctx, &peer.ReleaseKeysRequest{
		Service: r.Service, First: uint32(r.First), Last: uint32(r.Last), Epoch: r.Epoch,
		Holder: peer.FromIncarnation(r.Holder), Successor: peer.FromIncarnation(r.Successor),
	})
	if err != nil {
		return nil, err
	}
	handovers := make([]grant.Handover, 0, len(response.GetHandovers()))
	for _, h := range response.GetHandovers() {
		handovers = append(handovers, grant.Handover{
			Range: keyspace.Range{First: keyspace.Key(h.GetFirst()), Last: keyspace.Key(h.GetLast())}, Token: h.GetToken(),
		})
	}
	return handovers, nil
}

// ProveExpired implements grant.Peers by asking the witnesses of the incarnation. If it has joined only just now, ProveExpired also waits
// until grants of earlier incarnations in the slot have ended: a proof says nothing of those.
func (sc *Sidecar) ProveExpired(ctx context.Context, i member.Incarnation) (bool, error) {
	names, ok := sc.directory.witnessesOf(i)
	if !ok {
		return false, code.New(code.NoOwner, "the witnesses of %s aren't known", i)
	}
	proved, err := heartbeat.NewProver(sc.dialSlot, timing()).ProveExpired(ctx, i, names)
	left := sc.joined.earlierHold(i, time.Now())
	if err != nil || !proved || left == 0 {
		return proved, err
	}
	klog.InfoS("lease: expired, awaiting the end of earlier grants in the slot", "instance", i, "for", left)
	if !wait.For(ctx, left) {
		return false, ctx.Err()
	}
	return true, nil
}

// Ended implements grant.Peers. An incarnation that was never registered, which only a map of another writer names, has no keys either.
func (sc *Sidecar) Ended(i member.Incarnation) bool {
	// The directory has all rows up to a version that is read before.
	complete := sc.rows.Version()
	if sc.directory.ended(i) {
		return true
	}
	if !sc.directory.neverRegistered(i, complete) {
		return false
	}
	if sc.directory.logLimit.Allow("holder " + i.String()) {
		klog.InfoS("directory: holder was never registered", "instance", loglimit.Text(i.String()), "complete", complete)
	}
	return true
}
