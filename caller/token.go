package caller

import (
	"fmt"
	"strconv"
	"strings"

	"sapphiretray/member"
)

// Token is an at-most-once token: the incarnation that issued it and the time of its monotonic clock in milliseconds. A
// caller sends the token that it got before the first attempt with every repeat of that request id.
type Token struct {
	Issuer member.Incarnation
	Ticks  uint64
}

// String returns the form "north-1#7/1234".
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
