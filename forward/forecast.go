package forward

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sapphiretray/gateway"
)

const (
	// forecastFields is the number of fields of a forecast before the waits.
	forecastFields = 3
	// maxWaits bounds the waits of a forecast.
	maxWaits = 8
	// tenths is the factor by which a start rate is multiplied for sending.
	tenths = 10
	// maxForecastNumber bounds the numbers of a forecast, so that durations and factors made of them stay finite.
	maxForecastNumber = 1 << 24
)

// encodeForecast returns the fields of a load that tell how soon a further request would be served, separated by slashes: service time in
// milliseconds, slowness in per cent, tenths of the start rate, and the waits by priority in milliseconds. Zeros are left out, since
// traffic between data centres is expensive.
func encodeForecast(l gateway.Load) string {
	var b strings.Builder
	add := func(n int64) {
		if n != 0 {
			b.WriteString(strconv.FormatInt(n, 10))
		}
	}
	add(l.ServiceTime.Milliseconds())
	for _, n := range []int64{int64(percent * l.Slowness), int64(tenths * l.StartRate)} {
		b.WriteByte('/')
		add(n)
	}
	for _, wait := range l.Waits[:min(len(l.Waits), maxWaits)] {
		b.WriteByte('/')
		add(wait.Milliseconds())
	}
	return b.String()
}

// decodeForecast is the inverse of encodeForecast. It sets the fields of a load. Instances of earlier versions send none.
func decodeForecast(text string, l *gateway.Load) error {
	if text == "" {
		return nil
	}
	parts := strings.Split(text, "/")
	if len(parts) < forecastFields || len(parts) > forecastFields+maxWaits {
		return fmt.Errorf("%s: %w", headerForecast, errMalformed)
	}
	numbers := make([]int, len(parts))
	for n, part := range parts {
		if part == "" {
			continue
		}
		value, err := strconv.Atoi(part)
		if err != nil || value < 0 || value > maxForecastNumber {
			return fmt.Errorf("%s: %w", headerForecast, errMalformed)
		}
		numbers[n] = value
	}
	l.ServiceTime = time.Duration(numbers[0]) * time.Millisecond
	l.Slowness, l.StartRate = float64(numbers[1])/percent, float64(numbers[2])/tenths
	for _, ms := range numbers[forecastFields:] {
		l.Waits = append(l.Waits, time.Duration(ms)*time.Millisecond)
	}
	return nil
}
