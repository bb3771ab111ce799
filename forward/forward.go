// Package forward sends requests from the instance that a caller is connected to to the instance whose local upstream is to run
// them.
//
// A request is sent unchanged except for one additional header, S-Call, with the metadata of the request. The HTTP status of every
// response is 200; its header S-Res holds the result code, the status of the upstream and further fields.
package forward

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// Names of the headers. They are short because traffic between data centres is expensive.
const (
	// headerCall holds the metadata of a request in callFields fields, separated by commas: id, service, origin, route, key, kind,
	// priority, flags, milliseconds to the objective and to the deadline, host, versions and send time.
	headerCall = "S-Call"
	// headerResult holds the result of a request in fields separated by commas: the result code, the upstream's status, the Retry-After
	// in milliseconds, 1 if the request reached or may have reached the upstream, the instance's load (running, waiting, concurrency
	// slots, pressure in per cent), how long the request waited and ran in milliseconds, the instance's versions, and the slot of the
	// instance that owns the key if that is another one.
	headerResult = "S-Res"
	// headerForecast holds the load in the form of encodeForecast. It isn't a part of headerResult, whose number of fields instances of
	// earlier versions check.
	headerForecast = "S-Fc"
	// headerBound holds the bound of the expected time until the response in the form of encodeBound. It isn't a part of headerCall, whose
	// number of fields instances of earlier versions check.
	headerBound = "S-Max"
	// headerWeight holds the weight of a request if it is above 1, with up to two decimals.
	headerWeight = "S-Weight"
	// headerProbe marks a request that only asks whether the instance responds.
	headerProbe = "S-Probe"
)

// callFields is the number of fields of a call header.
const callFields = 13

// Flags in a call header.
const (
	flagNested = "n"
	flagRetry  = "r"
)

var errMalformed = errors.New("malformed header")

// Versions are the newest versions that an instance knows. They are sent with requests and responses, so that an instance that can't
// reach the store learns from others that it is out of date.
type Versions struct {
	// Slot is the name of the instance's slot.
	Slot string
	// Config is the version of the newest known row of the configuration table, and Rows that of the table of records and maps.
	Config, Rows uint64
}

// String returns the versions in the form that is sent: SLOT/CONFIG/ROWS.
func (v Versions) String() string {
	return v.Slot + "/" + strconv.FormatUint(v.Config, numberBase) + "/" + strconv.FormatUint(v.Rows, numberBase)
}

// numberBase is the base of the numbers in versions and send times.
const numberBase = 36

// parseVersions is the inverse of Versions.String. It returns the zero value if the text is malformed.
func parseVersions(text string) Versions {
	parts := strings.Split(text, "/")
	if len(parts) != 3 || len(parts[0]) > maxNameBytes {
		return Versions{}
	}
	config, configErr := strconv.ParseUint(parts[1], numberBase, 64)
	rows, rowsErr := strconv.ParseUint(parts[2], numberBase, 64)
	if configErr != nil || rowsErr != nil {
		return Versions{}
	}
	// The slot is copied because it is a part of a whole header.
	return Versions{Slot: strings.Clone(parts[0]), Config: config, Rows: rows}
}

// VersionExchange provides the versions to send to other instances and takes those that they send.
type VersionExchange interface {
	// Versions returns the versions of this instance.
	Versions() Versions
	// ObserveVersions takes the versions that another instance has sent.
	ObserveVersions(v Versions)
}

// encodeCall returns the call header of a request. The names in it are escaped, since a configuration may hold any. The objective and the
// deadline are sent as the milliseconds left until then.
func encodeCall(r *gateway.Request, now time.Time, v Versions, s sendTime) string {
	flags := ""
	if r.Nested {
		flags += flagNested
	}
	if r.Retry {
		flags += flagRetry
	}
	left := func(t time.Time) string { return strconv.FormatInt(t.Sub(now).Milliseconds(), 10) }
	return strings.Join([]string{
		r.ID, url.PathEscape(r.Service), url.PathEscape(r.Origin), url.PathEscape(r.Route),
		strconv.Itoa(r.Key), strconv.Itoa(int(r.Kind)), strconv.Itoa(r.Priority), flags,
		left(r.Objective), left(r.Deadline), url.PathEscape(r.Host), v.String(), s.String(),
	}, ",")
}

// forwardedRequest is a decoded call header.
type forwardedRequest struct {
	request *gateway.Request
	// versions are those of the instance that sent the request.
	versions Versions
	// delay is how much longer than usual the request was in transit.
	delay time.Duration
}

// decodeCall is the inverse of encodeCall. The times left until the objective and the deadline are shortened by the request's delay in
// transit.
func decodeCall(text string, now time.Time, d *delayEstimator) (forwardedRequest, error) {
	fields := strings.Split(text, ",")
	if len(fields) != callFields {
		return forwardedRequest{}, fmt.Errorf("%s: %w", headerCall, errMalformed)
	}
	// The key, the kind, the priority, and the times left until the objective and the deadline.
	var numbers [5]int
	for n, position := range []int{4, 5, 6, 8, 9} {
		value, err := strconv.Atoi(fields[position])
		if err != nil {
			return forwardedRequest{}, fmt.Errorf("%s: %w", headerCall, err)
		}
		numbers[n] = value
	}
	// The names of the services and the route, and the host.
	for _, position := range []int{1, 2, 3, 10} {
		name, err := url.PathUnescape(fields[position])
		if err != nil {
			return forwardedRequest{}, fmt.Errorf("%s: %w", headerCall, err)
		}
		fields[position] = name
	}
	s, err := parseSendTime(fields[12])
	if err != nil {
		return forwardedRequest{}, fmt.Errorf("%s: %w", headerCall, err)
	}
	versions := parseVersions(fields[11])
	delay := d.observe(versions.Slot, s, now)
	sent := now.Add(-delay)
	after := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	request := &gateway.Request{
		ID: fields[0], Service: fields[1], Origin: fields[2], Route: fields[3],
		Key: numbers[0], Kind: routing.Kind(numbers[1]), Priority: numbers[2],
		Nested: strings.Contains(fields[7], flagNested), Retry: strings.Contains(fields[7], flagRetry),
		Objective: after(numbers[3]), Deadline: after(numbers[4]), Host: fields[10],
	}
	return forwardedRequest{request: request, versions: versions, delay: delay}, nil
}

// Result is the result of a forwarded request.
type Result struct {
	// Response is the upstream's response, or nil after a failure.
	Response *gateway.Response
	// Load is the load that the other instance reported, or the zero value if it reported none.
	Load gateway.Load
	// Pending is set together with an error if the response may still come.
	Pending *Pending
}

// encodeResult returns the result header of a response.
func encodeResult(r resultFields) string {
	arrived := 0
	if r.arrived {
		arrived = 1
	}
	return fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%s,%s", int(r.code), r.status, r.retryAfter.Milliseconds(), arrived,
		r.load.Running, r.load.Waiting, r.load.Slots, int(percent*r.load.Pressure), r.waited.Milliseconds(), r.took.Milliseconds(),
		r.versions, r.owner)
}

// resultFields are the fields of a result header.
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

// resultNumbers is the number of numeric fields in a result header. The versions and the slot of the key's owner follow them.
const resultNumbers = 10

// percent is the factor by which the pressure, a share, is multiplied for sending.
const percent = 100

// decodeResult is the inverse of encodeResult.
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
	load := gateway.Load{Running: numbers[4], Waiting: numbers[5], Slots: numbers[6], Pressure: float64(numbers[7]) / percent}
	if err := decodeForecast(header.Get(headerForecast), &load); err != nil {
		return resultFields{}, err
	}
	return resultFields{
		code: code.Code(numbers[0]), status: numbers[1], retryAfter: ms(numbers[2]), arrived: numbers[3] != 0, load: load,
		waited: ms(numbers[8]), took: ms(numbers[9]), versions: parseVersions(fields[resultNumbers]),
		owner: fields[resultNumbers+1],
	}, nil
}
