package gateway

import (
	"strings"
	"testing"
)

// TestThrottleReason guards against a refusal that blames the called service while it has room: on a calm day 3,200 refusals for a
// hot key did.
func TestThrottleReason(t *testing.T) {
	tests := []struct {
		limit, maximum int
		blamesCall     bool
	}{
		{12, 12, false},
		{11, 12, true},
		{1, 12, true},
	}
	for _, test := range tests {
		reason := throttleReason(test.limit, test.maximum)
		if got := strings.Contains(reason, "its calls need"); got != test.blamesCall {
			t.Errorf("%+v: reason %q", test, reason)
		}
	}
}
