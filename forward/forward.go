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
	// reached the upstream, the load, the times that it waited and took, the
	// versions of the instance, and the slot of the key's owner if it is another.
	headerResult = "S-Res"
)

const callFields = 13

// Flags of a call.
const (
	flagNested    = "n"
	flagReturning = "r"
)

var errMalformed = errors.New("malformed header")

// Versions are the newest versions that an instance knows. They travel with requests and responses, so that an instance which the
// store turns away learns of news from others.
type Versions struct {
	// Slot names the place of the instance, which has the news.
	Slot string
	// Config is the version of the row with the configuration, Rows that of the newest record or map.
	Config, Rows uint64
}

// String returns the form that travels.
func (v Versions) String() string {
	return v.Slot + "/" + strconv.FormatUint(v.Config, versionBase) + "/" + strconv.FormatUint(v.Rows, versionBase)
}

const versionBase = 36

// parseVersions is the inverse of String. Versions that can't be read are none.
func parseVersions(text string) Versions {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return Versions{}
	}
	config, configErr := strconv.ParseUint(parts[1], versionBase, 64)
	rows, rowsErr := strconv.ParseUint(parts[2], versionBase, 64)
	if configErr != nil || rowsErr != nil {
		return Versions{}
	}
	return Versions{Slot: parts[0], Config: config, Rows: rows}
}

// News exchanges versions with other instances.
type News interface {
	// Versions returns the versions of this instance.
	Versions() Versions
	// Heard takes the versions of another instance.
	Heard(v Versions)
}

// encodeCall returns the header of a request. Times are sent as what is left of them, in milliseconds.
func encodeCall(r *gateway.Request, now time.Time, v Versions, s stamp) string {
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
		left(r.Objective), left(r.Deadline), r.Host, v.String(), s.String(),
	}, ",")
}

// call is a forwarded request with what was said beside it.
type call struct {
	request  *gateway.Request
	versions Versions
	// heldUp is how much longer than usual the request was on its way.
	heldUp time.Duration
}

// decodeCall is the inverse of encodeCall. The times that are left are shortened by what the request was held up on its way.
func decodeCall(text string, now time.Time, t *transit) (call, error) {
	fields := strings.Split(text, ",")
	if len(fields) != callFields {
		return call{}, fmt.Errorf("%s: %w", headerCall, errMalformed)
	}
	var numbers [5]int
	for n, position := range []int{4, 5, 6, 8, 9} {
		value, err := strconv.Atoi(fields[position])
		if err != nil {
			return call{}, fmt.Errorf("%s: %w", headerCall, err)
		}
		numbers[n] = value
	}
	s, err := parseStamp(fields[12])
	if err != nil {
		return call{}, fmt.Errorf("%s: %w", headerCall, err)
	}
	versions := parseVersions(fields[11])
	heldUp := t.late(versions.Slot, s, now)
	sent := now.Add(-heldUp)
	after := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	request := &gateway.Request{
		ID: fields[0], Service: fields[1], Origin: fields[2], Route: fields[3],
		Key: numbers[0], Kind: routing.Kind(numbers[1]), Priority: numbers[2],
		Nested: strings.Contains(fields[7], flagNested), Returning: strings.Contains(fields[7], flagReturning),
		Objective: after(numbers[3]), Deadline: after(numbers[4]), Host: fields[10],
	}
	return call{request: request, versions: versions, heldUp: heldUp}, nil
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
	return fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%s,%s", int(r.code), r.status, r.retryAfter.Milliseconds(), arrived,
		r.load.Running, r.load.Waiting, r.load.Slots, int(percent*r.load.Pressure), r.waited.Milliseconds(), r.took.Milliseconds(),
		r.versions, r.owner)
}

type resultFields struct {
	code       code.Code
	status     int
	retryAfter time.Duration
	arrived    bool
	load       gateway.Load
	waited     time.Duration
	took       time.Duration
	versions   Versions
	owner      string
}

// resultNumbers is the number of numeric fields of a result; the versions and the owner of the key follow.
const resultNumbers = 10

// percent is the factor with which shares travel.
const percent = 100

func decodeResult(header http.Header) (resultFields, error) {
	fields := strings.Split(header.Get(headerResult), ",")
	if len(fields) != resultNumbers+2 {
		return resultFields{}, fmt.Errorf("%s: %w", headerResult, errMalformed)
	}
	var numbers [resultNumbers]int
	for n := range numbers {
		value, err := strconv.Atoi(fields[n])
		if err != nil {
			return resultFields{}, fmt.Errorf("%s: %w", headerResult, err)
		}
		numbers[n] = value
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return resultFields{
		code: code.Code(numbers[0]), status: numbers[1], retryAfter: ms(numbers[2]), arrived: numbers[3] != 0,
		load: gateway.Load{
			Running: numbers[4], Waiting: numbers[5], Slots: numbers[6], Pressure: float64(numbers[7]) / percent,
		},
		waited: ms(numbers[8]), took: ms(numbers[9]), versions: parseVersions(fields[resultNumbers]),
		owner: fields[resultNumbers+1],
	}, nil
}
