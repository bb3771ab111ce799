package httplimit_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphiretray/bubble"
	"sapphiretray/httplimit"
	"sapphiretray/policy"
)

// TestReadHeldBodies guards against bodies that are cut or refused within their limits, and against memory that isn't accounted or isn't
// returned.
func TestReadHeldBodies(t *testing.T) {
	const limit = 12 * medium
	for _, size := range []int{0, 1, 8 << 10, small, small + 1, medium + 1, 9 * medium, limit, limit + 1} {
		for _, known := range []bool{false, true} {
			for _, patient := range []bool{false, true} {
				budget := httplimit.NewBudget(32 * medium)
				claim := budget.Open("a")
				length := int64(-1)
				if known {
					length = int64(size)
				}
				sent := bytes.Repeat([]byte("ab"), size/2+1)[:size]
				body, err := claim.ReadAll(t.Context(), iotest.DataErrReader(bytes.NewReader(sent)), length, limit, patient)
				switch {
				case size > limit:
					if !errors.Is(err, httplimit.ErrTooLarge) {
						t.Errorf("%d bytes, known %t: error %v", size, known, err)
					}
				case err != nil || !bytes.Equal(body, sent):
					t.Errorf("%d bytes, known %t, patient %t: got %d, %v", size, known, patient, len(body), err)
				default:
					if used := budget.Stats().Used; used < int64(size) || used > max(firstBuffer, 2*int64(size)) {
						t.Errorf("%d bytes, known %t, patient %t: %d are accounted", size, known, patient, used)
					}
				}
				claim.Close()
				claim.Close()
				if s := budget.Stats(); s.Used != 0 || s.Claims != 0 {
					t.Errorf("%d bytes of %d claims are left", s.Used, s.Claims)
				}
			}
		}
	}
}

// firstBuffer is what an empty body of unknown length may take.
const firstBuffer = 8 << 10

// TestPatientClaims guards against responses that are refused or lost although there will be room, and against ones that wait for each
// other. The load: large responses of unknown length that arrive at the same time.
func TestPatientClaims(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const responses, size = 20, 16 * medium
		budget := httplimit.NewBudget(32 * medium)
		var group errgroup.Group
		for range responses {
			group.Go(func() error {
				claim := budget.Open("a")
				defer claim.Close()
				if _, err := claim.ReadAll(t.Context(), bytes.NewReader(make([]byte, size)), -1, size, true); err != nil {
					return err
				}
				if s := budget.Stats(); s.Used > s.Limit {
					t.Errorf("%d bytes are used, limit %d", s.Used, s.Limit)
				}
				time.Sleep(time.Second)
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestRevokedClaims guards against a claim that isn't told that it gives way, and one that goes on as if it held memory.
func TestRevokedClaims(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		budget := httplimit.NewBudget(10 * medium)
		stalled := budget.Open("stalled")
		revoked := make(chan struct{})
		if err := stalled.Reserve(t.Context(), 7*medium, false); err != nil {
			t.Fatal(err)
		}
		if err := stalled.SetRevocable(policy.Revocable, func() { close(revoked) }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(policy.StalledAfter)
		var group errgroup.Group
		group.Go(func() error {
			<-revoked
			if err := stalled.Reserve(t.Context(), 1, true); !errors.Is(err, httplimit.ErrRevoked) {
				t.Errorf("a revoked claim grew: %v", err)
			}
			if err := stalled.SetRevocable(policy.Irrevocable, nil); !errors.Is(err, httplimit.ErrRevoked) {
				t.Errorf("a revoked claim was kept: %v", err)
			}
			stalled.Close()
			return nil
		})
		claim := budget.Open("other")
		defer claim.Close()
		if err := claim.Reserve(t.Context(), 7*medium, false); err != nil {
			t.Errorf("no room after a stalled claim was revoked: %v", err)
		}
		_ = group.Wait()
		refused := budget.Open("third")
		defer refused.Close()
		if err := refused.Reserve(t.Context(), 7*medium, false); !errors.Is(err, httplimit.ErrNoRoom) {
			t.Errorf("an impatient claim without room: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := refused.Reserve(ctx, 7*medium, true); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a patient claim without room: %v", err)
		}
		if s := budget.Stats(); s.Revoked != 1 || s.Refused != 2 {
			t.Errorf("%d were revoked and %d refused, want 1 and 2", s.Revoked, s.Refused)
		}
	})
}

// TestMessageMemory guards against a budget that refuses a single request of 64 MiB on the machine with the least memory, and one that
// leaves too little for the process itself.
func TestMessageMemory(t *testing.T) {
	for _, memory := range []int64{184_000_000, 284_000_000, 536_000_000} {
		budget := httplimit.NewBudget(httplimit.MessageMemory(memory))
		claim := budget.Open("a")
		if _, err := claim.ReadAll(t.Context(), io.LimitReader(endless{}, 64*medium), 64*medium, 64*medium, false); err != nil {
			t.Errorf("a request of 64 MiB in %d bytes: %v", memory, err)
		}
		if s := budget.Stats(); s.Used < 64*medium || s.Limit > memory*2/3 {
			t.Errorf("%d bytes of %d are used, in a process of %d", s.Used, s.Limit, memory)
		}
	}
}
