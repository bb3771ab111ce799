package caller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/code"
	"sapphiretray/member"
)

// TestDedup guards against accepted tokens of requests that may have run at another incarnation or whose id has been evicted, and
// against an unlimited number of ids.
func TestDedup(t *testing.T) {
	self, before := member.NewIncarnation("a", 1), member.NewIncarnation("b", 4)
	type state struct {
		dedup *Dedup
		since time.Time
		token func() Token
		begin func(id string, token Token) code.Code
	}
	tests := []struct {
		name string
		run  func(*testing.T, state) code.Code
		want code.Code
	}{
		{"fresh token", func(_ *testing.T, s state) code.Code { return s.begin("x", s.token()) }, code.OK},
		{"token of another incarnation", func(_ *testing.T, s state) code.Code {
			return s.begin("x", Token{Issuer: before, Ticks: s.token().Ticks})
		}, code.TokenTooOld},
		{"token older than the ownership", func(_ *testing.T, s state) code.Code {
			return s.begin("x", Token{Issuer: self, Ticks: s.token().Ticks - 1})
		}, code.TokenTooOld},
		{"token not issued yet", func(_ *testing.T, s state) code.Code {
			return s.begin("x", Token{Issuer: self, Ticks: s.token().Ticks + 1000})
		}, code.BadToken},
		{"evicted by age", func(_ *testing.T, s state) code.Code {
			token := s.token()
			s.begin("x", token)
			time.Sleep(11 * time.Minute)
			return s.begin("x", token)
		}, code.TokenTooOld},
		{"evicted by count", func(t *testing.T, s state) code.Code {
			t.Helper()
			token := s.token()
			for n := range 20 {
				time.Sleep(time.Millisecond)
				s.begin(fmt.Sprint(n), s.token())
			}
			if n := s.dedup.Len(); n != 10 {
				t.Errorf("%d ids kept", n)
			}
			return s.begin("0", token)
		}, code.TokenTooOld},
		{"ownership lost and regained", func(_ *testing.T, s state) code.Code {
			token := s.token()
			time.Sleep(time.Microsecond)
			s.dedup.Token(1, 3, time.Now())
			_, _, err := s.dedup.Begin(context.Background(), RunRequest{
				Partition: 1, Epoch: 3, OwnedSince: time.Now(), ID: "x", Token: token,
			})
			return resultOf(err)
		}, code.TokenTooOld},
		{"handover under another epoch", func(_ *testing.T, s state) code.Code {
			old := NewDedup(before)
			token, _ := ParseToken(old.Token(1, 1, time.Now()))
			s.dedup.Import(1, 2, before, old.Export(1))
			_, _, err := s.dedup.Begin(context.Background(), RunRequest{
				Partition: 1, Epoch: 3, OwnedSince: time.Now(), ID: "x", Token: token,
			})
			return resultOf(err)
		}, code.TokenTooOld},
		{"previous owner's token", func(_ *testing.T, s state) code.Code {
			old := NewDedup(before)
			token, _ := ParseToken(old.Token(1, 1, time.Now()))
			s.dedup.Import(1, 3, before, old.Export(1))
			_, _, err := s.dedup.Begin(context.Background(), RunRequest{
				Partition: 1, Epoch: 3, OwnedSince: time.Now(), ID: "x", Token: token,
			})
			return resultOf(err)
		}, code.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d := NewDedup(self, WithDedupBounds(10*time.Minute, 10))
				time.Sleep(1500 * time.Microsecond)
				s := state{dedup: d, since: time.Now()}
				s.token = func() Token {
					token, err := ParseToken(d.Token(1, 1, s.since))
					if err != nil {
						t.Fatal(err)
					}
					return token
				}
				s.begin = func(id string, token Token) code.Code {
					running, _, err := d.Begin(t.Context(), RunRequest{Partition: 1, Epoch: 1, OwnedSince: s.since, ID: id, Token: token})
					running.Finish(Stored{Status: 200})
					return resultOf(err)
				}
				if got := test.run(t, s); got != test.want {
					t.Fatalf("got %s, want %s", got, test.want)
				}
			})
		})
	}
}

func resultOf(err error) code.Code {
	if err == nil {
		return code.OK
	}
	c, _ := code.Of(err)
	return c
}
