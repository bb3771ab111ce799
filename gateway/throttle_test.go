package gateway

import (
	"strings"
	"testing"
)

// TestThrottleReason guards against a refusal that blames the called service while it has room: on a calm day 3,200 refusals for a
// hot key did.
func TestThrottleReason(t *testing.T) {
	tests := []struct {
		limit      throttleLimit
		blamesCall bool
	}{
		{throttleLimit{now: 12, unlimited: 12}, false},
		{throttleLimit{now: 11, unlimited: 12}, true},
		{throttleLimit{now: 1, unlimited: 12}, true},
	}
	for _, test := range tests {
		reason := throttleReason(test.limit)
		if got := strings.Contains(reason, "its calls need"); got != test.blamesCall {
			t.Errorf("%+v: reason %q", test.limit, reason)
		}
	}
}
