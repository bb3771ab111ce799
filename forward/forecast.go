package forward

import (
	"fmt"
	"net/http"
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

const (
	// minSentWeight is the weight of a request from which it is sent, and maxWeight the largest one that is used.
	minSentWeight = 1.02
	maxWeight     = 100
)

// decodeWeight returns the weight of a request from its header, 1 if it is missing or malformed.
func decodeWeight(header http.Header) float64 {
	weight, err := strconv.ParseFloat(header.Get(headerWeight), 64)
	if err != nil || !(weight >= 1) {
		return 1
	}
	return min(weight, maxWeight)
}

// encodeForecast returns the fields of a load that tell how soon a further request would be served, separated by slashes: service time in
// milliseconds, slowness in per cent, tenths of the start rate, and the waits by priority in milliseconds. The room by priority follows in
// per cent, each behind a semicolon. Zeros are left out, since traffic between data centres is expensive.
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
	for _, room := range l.Room[:min(len(l.Room), maxWaits)] {
		b.WriteByte(';')
		add(int64(percent * room))
	}
	return b.String()
}

// decodeForecast is the inverse of encodeForecast. It sets the fields of a load. Instances of earlier versions send none.
func decodeForecast(text string, l *gateway.Load) error {
	if text == "" {
		return nil
	}
	text, roomText, hasRoom := strings.Cut(text, ";")
	numbers, err := forecastNumbers(text, "/", forecastFields+maxWaits)
	if err != nil || len(numbers) < forecastFields {
		return fmt.Errorf("%s: %w", headerForecast, errMalformed)
	}
	var room []int
	if hasRoom {
		if room, err = forecastNumbers(roomText, ";", maxWaits); err != nil {
			return err
		}
	}
	l.ServiceTime = time.Duration(numbers[0]) * time.Millisecond
	l.Slowness, l.StartRate = float64(numbers[1])/percent, float64(numbers[2])/tenths
	for _, ms := range numbers[forecastFields:] {
		l.Waits = append(l.Waits, time.Duration(ms)*time.Millisecond)
	}
	for _, n := range room {
		l.Room = append(l.Room, float64(n)/percent)
	}
	return nil
}

// forecastNumbers splits a text into at most limit numbers, of which empty ones are 0.
func forecastNumbers(text, separator string, limit int) ([]int, error) {
	parts := strings.Split(text, separator)
	if len(parts) > limit {
		return nil, fmt.Errorf("%s: %w", headerForecast, errMalformed)
	}
	numbers := make([]int, len(parts))
	for n, part := range parts {
		if part == "" {
			continue
		}
		value, err := strconv.Atoi(part)
		if err != nil || value < 0 || value > maxForecastNumber {
			return nil, fmt.Errorf("%s: %w", headerForecast, errMalformed)
		}
		numbers[n] = value
	}
	return numbers, nil
}
