package gateway

import (
	"strings"
	"testing"
)

// TestThrottleReason guards against a refusal that blames the called service although it isn't overloaded. That happened in 3,200
// refusals caused by a hot key.
func TestThrottleReason(t *testing.T) {
	tests := []struct {
		limit, maximum      int
		blamesCalledService bool
	}{
		{12, 12, false},
		{11, 12, true},
		{1, 12, true},
	}
	for _, test := range tests {
		reason := throttleReason(test.limit, test.maximum)
		if got := strings.Contains(reason, "its calls need"); got != test.blamesCalledService {
			t.Errorf("%+v: reason %q", test, reason)
		}
	}
}
