package caller

import (
	"fmt"
	"strconv"
	"strings"

	"sapphiretray/member"
)

// Token tells which incarnation issued it, and when. A caller gets a token before the first attempt of a request and sends the same
// one with every retry with that request id. An owner refuses tokens older than the ids that it keeps, so it doesn't run a request
// again whose id it no longer knows.
type Token struct {
	// Issuer is the incarnation that issued the token.
	Issuer member.Incarnation
	// Ticks is the time of issue by the issuer's monotonic clock, in milliseconds since its start.
	Ticks uint64
}

// String returns the token in the form "north-1#7/1234".
func (t Token) String() string { return t.Issuer.String() + "/" + strconv.FormatUint(t.Ticks, 10) }

// ParseToken is the inverse of String.
func ParseToken(text string) (Token, error) {
	cut := strings.LastIndexByte(text, '/')
	if cut < 0 {
		return Token{}, fmt.Errorf("token %q: want incarnation/ticks", text)
	}
	issuer, err := member.ParseIncarnation(text[:cut])
	if err != nil {
		return Token{}, fmt.Errorf("token %q: %w", text, err)
	}
	ticks, err := strconv.ParseUint(text[cut+1:], 10, 64)
	if err != nil {
		return Token{}, fmt.Errorf("token %q: %w", text, err)
	}
	return Token{Issuer: issuer, Ticks: ticks}, nil
}
