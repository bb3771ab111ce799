package forward

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sapphiretray/gateway"
)

// flagSpilled follows the bound of a request that left its data centre.
const flagSpilled = "s"

// encodeBound returns the header with the bound of the expected time until the response: milliseconds, 0 for none, and flagSpilled if the
// request left its data centre. It is empty if there is neither.
func encodeBound(r *gateway.Request) string {
	if r.Within <= 0 && !r.Spilled {
		return ""
	}
	bound := strconv.FormatInt(max(r.Within, 0).Milliseconds(), 10)
	if r.Spilled {
		bound += flagSpilled
	}
	return bound
}

// decodeBound is the inverse of encodeBound. Instances of earlier versions send no bound.
func decodeBound(text string, r *gateway.Request) error {
	if text == "" {
		return nil
	}
	number, spilled := strings.CutSuffix(text, flagSpilled)
	ms, err := strconv.Atoi(number)
	if err != nil || ms < 0 || ms > maxForecastNumber {
		return fmt.Errorf("%s: %w", headerBound, errMalformed)
	}
	r.Within, r.Spilled = time.Duration(ms)*time.Millisecond, spilled
	return nil
}
