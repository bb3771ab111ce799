// Package forward carries requests from the instance that a caller connected to to the instance beside the upstream that is
// to run them.
//
// The request travels as it is, with one header that holds what the first instance knows of it. The response has status 200
// if the upstream answered, and one header that says what became of the request.
package forward

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// Names of the headers. They are short because bytes between data centres are dear.
const (
	// headerCall holds the fields of callFields, separated by commas.
	headerCall = "S-Call"
	// headerResult holds the result code, the upstream's status, the Retry-After in milliseconds, whether the request
	// reached the upstream, the load, and the times that it waited and took.
	headerResult = "S-Res"
)

const callFields = 11

// Flags of a call.
const (
	flagNested    = "n"
	flagReturning = "r"
)

var errMalformed = errors.New("malformed header")

// encodeCall returns the header of a request. Times are sent as what is left of them, in milliseconds.
func encodeCall(r *gateway.Request, now time.Time) string {
	flags := ""
	if r.Nested {
		flags += flagNested
	}
	if r.Returning {
		flags += flagReturning
	}
	left := func(t time.Time) string { return strconv.FormatInt(t.Sub(now).Milliseconds(), 10) }
	return strings.Join([]string{
		r.ID, r.Service, r.Origin, r.Route, strconv.Itoa(r.Key), strconv.Itoa(int(r.Kind)), strconv.Itoa(r.Priority), flags,
		left(r.Objective), left(r.Deadline), r.Host,
	}, ",")
}

// decodeCall is the inverse of encodeCall.
func decodeCall(text string, now time.Time) (*gateway.Request, error) {
	fields := strings.Split(text, ",")
	if len(fields) != callFields {
		return nil, fmt.Errorf("%s: %w", headerCall, errMalformed)
	}
	var numbers [5]int
	for n, position := range []int{4, 5, 6, 8, 9} {
		value, err := strconv.Atoi(fields[position])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", headerCall, err)
		}
		numbers[n] = value
	}
	after := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	return &gateway.Request{
		ID: fields[0], Service: fields[1], Origin: fields[2], Route: fields[3],
		Key: numbers[0], Kind: routing.Kind(numbers[1]), Priority: numbers[2],
		Nested: strings.Contains(fields[7], flagNested), Returning: strings.Contains(fields[7], flagReturning),
		Objective: after(numbers[3]), Deadline: after(numbers[4]), Host: fields[10],
	}, nil
}

// Result is what became of a forwarded request.
type Result struct {
	Response *gateway.Response
	// Load is the load at the gateway that was asked; it has no slots if the gateway did not say.
	Load gateway.Load
}

func encodeResult(r resultFields) string {
	arrived := 0
	if r.arrived {
		arrived = 1
	}
	return fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d,%d", int(r.code), r.status, r.retryAfter.Milliseconds(), arrived,
		r.load.Running, r.load.Waiting, r.load.Slots, r.waited.Milliseconds(), r.took.Milliseconds())
}

type resultFields struct {
	code       code.Code
	status     int
	retryAfter time.Duration
	arrived    bool
	load       gateway.Load
	waited     time.Duration
	took       time.Duration
}

func decodeResult(header http.Header) (resultFields, error) {
	var c, status, retry, arrived, waited, took int
	var load gateway.Load
	_, err := fmt.Sscanf(header.Get(headerResult), "%d,%d,%d,%d,%d,%d,%d,%d,%d", &c, &status, &retry, &arrived,
		&load.Running, &load.Waiting, &load.Slots, &waited, &took)
	if err != nil {
		return resultFields{}, fmt.Errorf("%s: %w", headerResult, err)
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return resultFields{
		code: code.Code(c), status: status, retryAfter: ms(retry), arrived: arrived != 0, load: load, waited: ms(waited), took: ms(took),
	}, nil
}
