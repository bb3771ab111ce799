package forward

import (
	"testing"
	"time"

	"sapphiretray/gateway"
)

// TestBound guards against a bound that is lost or changed between two instances, and against odd text that is taken for one.
func TestBound(t *testing.T) {
	tests := []struct {
		within  time.Duration
		spilled bool
		text    string
	}{
		{0, false, ""},
		{250 * time.Millisecond, false, "250"},
		{250 * time.Millisecond, true, "250s"},
		{0, true, "0s"},
	}
	for _, test := range tests {
		r := gateway.Request{Within: test.within, Spilled: test.spilled}
		if text := encodeBound(&r); text != test.text {
			t.Errorf("%v, %v: encoded as %q, want %q", test.within, test.spilled, text, test.text)
		}
		var decoded gateway.Request
		if err := decodeBound(test.text, &decoded); err != nil || decoded.Within != test.within || decoded.Spilled != test.spilled {
			t.Errorf("%q: decoded as %v, %v, %v", test.text, decoded.Within, decoded.Spilled, err)
		}
	}
	for _, text := range []string{"s", "-1", "1.5", "250x", "250ss", "99999999999"} {
		if err := decodeBound(text, &gateway.Request{}); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
