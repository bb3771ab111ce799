package ownership

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
)

// silentPeer is an instance that never responds, and promisingPeer one that serves nothing and promises at once.
type (
	silentPeer    struct{ peer.Peer }
	promisingPeer struct {
		peer.Peer
		// promised counts the calls for promises; it may be nil.
		promised *atomic.Int64
	}
)

func (silentPeer) Promise(ctx context.Context, _ *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p promisingPeer) Promise(_ context.Context, r *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	if r.GetCommit() && p.promised != nil {
		p.promised.Add(1)
	}
	return &peer.PromiseResponse{Promised: r.GetCommit()}, nil
}

// movedFrom returns a map in which all partitions but the first move from one incarnation to another.
func movedFrom(t *testing.T, partitions int, from, to member.Incarnation) *partition.Map {
	t.Helper()
	empty, err := partition.New("bookings", partitions)
	if err != nil {
		t.Fatal(err)
	}
	var moves []partition.Move
	for p := 1; p < partitions; p++ {
		entry := partition.Entry{Epoch: 1, Members: []member.Incarnation{to}, Previous: []member.Incarnation{from}}
		moves = append(moves, partition.Move{Partition: p, Entry: entry})
	}
	m, err := empty.Apply(1, moves)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestClaimsBesideSilentOwner guards against claims that wait behind those of partitions whose earlier owner is silent while its lease
// is valid: a partition of a lost owner has to be served again within a second of the loss, and one of an owner that responds within a
// second of its move.
func TestClaimsBesideSilentOwner(t *testing.T) {
	self, lost := member.NewIncarnation("slot-0", 1), member.NewIncarnation("slot-1", 1)
	silent, responding := member.NewIncarnation("slot-2", 1), member.NewIncarnation("slot-3", 1)
	const partitions = 256
	for _, test := range []struct {
		name string
		// entry is that of the partition 0. The others move from the silent owner to this incarnation.
		entry partition.Entry
	}{
		{"lost owner", partition.Entry{Epoch: 1, Members: []member.Incarnation{lost, self}}},
		{"lost owner, earlier one promises", partition.Entry{
			Epoch: 1, Members: []member.Incarnation{lost, self}, Previous: []member.Incarnation{responding},
		}},
		{"moved", partition.Entry{Epoch: 2, Members: []member.Incarnation{self}, Previous: []member.Incarnation{responding}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				prove := func(ctx context.Context, _ member.Incarnation) (bool, error) {
					<-ctx.Done()
					return false, ctx.Err()
				}
				dial := func(i member.Incarnation) (peer.Peer, error) {
					if i == silent {
						return silentPeer{}, nil
					}
					return promisingPeer{}, nil
				}
				m := New(ctx, self, alwaysValid{}, &slowUpstream{held: make(map[int]uint64)}, noHandover{}, prove, dial)
				defer func() {
					cancel()
					m.Wait()
				}()
				before := movedFrom(t, partitions, silent, self)
				m.Update(before)
				time.Sleep(100 * time.Millisecond)
				after, err := before.Apply(2, []partition.Move{{Partition: 0, Entry: test.entry}})
				if err != nil {
					t.Fatal(err)
				}
				m.Update(after)
				m.SetEnded(lost)
				started := time.Now()
				for ; time.Since(started) < time.Minute; time.Sleep(10 * time.Millisecond) {
					if _, ok := m.Serving()[0]; ok {
						break
					}
				}
				if took := time.Since(started); took > time.Second {
					t.Errorf("served after %v, want at most 1s", took)
				}
			})
		})
	}
}

// TestPromisesKeepPaceWithGrants guards against an owner that gives up many partitions before the upstream has been granted the first
// ones, which leaves them without an owner for longer than the move of each takes.
func TestPromisesKeepPaceWithGrants(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		self, earlier := member.NewIncarnation("slot-0", 1), member.NewIncarnation("slot-1", 1)
		ctx, cancel := context.WithCancel(t.Context())
		prove := func(context.Context, member.Incarnation) (bool, error) { return false, nil }
		var promised atomic.Int64
		dial := func(member.Incarnation) (peer.Peer, error) { return promisingPeer{promised: &promised}, nil }
		upstream := &slowUpstream{held: make(map[int]uint64), grantDelay: 100 * time.Millisecond}
		m := New(ctx, self, alwaysValid{}, upstream, noHandover{}, prove, dial)
		defer func() {
			cancel()
			m.Wait()
		}()
		const partitions = 256
		m.Update(movedFrom(t, partitions, earlier, self))
		for len(m.Serving()) < partitions-1 {
			synctest.Wait()
			if pending := int(promised.Load()) - len(m.Serving()); pending > maxConcurrentCalls {
				t.Fatalf("%d partitions have been given up and aren't served, want at most %d", pending, maxConcurrentCalls)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestOwnerEndsDuringCall guards against claims that wait for the response of an earlier owner whose end is known: its partitions have to
// be served again within a second of its loss.
func TestOwnerEndsDuringCall(t *testing.T) {
	for _, test := range []struct {
		name    string
		earlier peer.Peer
	}{
		{"silent", silentPeer{}},
		{"silent while it gives up the partitions", drainingPeer{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				self, earlier := member.NewIncarnation("slot-0", 1), member.NewIncarnation("slot-1", 1)
				ctx, cancel := context.WithCancel(t.Context())
				prove := func(ctx context.Context, _ member.Incarnation) (bool, error) {
					<-ctx.Done()
					return false, ctx.Err()
				}
				dial := func(member.Incarnation) (peer.Peer, error) { return test.earlier, nil }
				m := New(ctx, self, alwaysValid{}, &slowUpstream{held: make(map[int]uint64)}, noHandover{}, prove, dial)
				defer func() {
					cancel()
					m.Wait()
				}()
				const partitions = 256
				m.Update(movedFrom(t, partitions, earlier, self))
				// A lease that isn't extended any more is proved to have expired after at least simLease.
				time.Sleep(simLease)
				m.SetEnded(earlier)
				for started := time.Now(); len(m.Serving()) < partitions-1; time.Sleep(10 * time.Millisecond) {
					if took := time.Since(started); took > time.Second-simLease {
						t.Fatalf("%d of %d partitions served after %v", len(m.Serving()), partitions-1, took)
					}
				}
			})
		})
	}
}

// drainingPeer is an instance that serves the partitions and becomes silent when it is asked to give them up.
type drainingPeer struct{ silentPeer }

func (p drainingPeer) Promise(ctx context.Context, r *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	if r.GetCommit() {
		return p.silentPeer.Promise(ctx, r)
	}
	return &peer.PromiseResponse{Serving: true}, nil
}

// TestDrainBeforeGrant guards against a partition without an owner because this incarnation began to drain after the earlier owner had
// given it up and before the grant.
func TestDrainBeforeGrant(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		self := member.NewIncarnation("slot-0", 1)
		ctx, cancel := context.WithCancel(t.Context())
		prove := func(context.Context, member.Incarnation) (bool, error) { return false, nil }
		var promised atomic.Int64
		dial := func(member.Incarnation) (peer.Peer, error) { return promisingPeer{promised: &promised}, nil }
		upstream := &slowUpstream{held: make(map[int]uint64), grantDelay: 100 * time.Millisecond}
		m := New(ctx, self, alwaysValid{}, upstream, noHandover{}, prove, dial)
		defer func() {
			cancel()
			m.Wait()
		}()
		current, err := partition.New("bookings", 256)
		if err != nil {
			t.Fatal(err)
		}
		var moves []partition.Move
		for p := range 256 {
			// The calls to several owners run at the same time, so that their partitions wait for their grants.
			earlier := member.NewIncarnation(fmt.Sprint("slot-", 1+p%4), 1)
			entry := partition.Entry{Epoch: 1, Members: []member.Incarnation{self}, Previous: []member.Incarnation{earlier}}
			moves = append(moves, partition.Move{Partition: p, Entry: entry})
		}
		if current, err = current.Apply(1, moves); err != nil {
			t.Fatal(err)
		}
		m.Update(current)
		time.Sleep(50 * time.Millisecond)
		m.Drain()
		time.Sleep(time.Second)
		if served := len(m.Serving()); int64(served) != promised.Load() {
			t.Errorf("%d of %d partitions that were given up are served", served, promised.Load())
		}
	})
}
