// Package code defines the numbered result codes and the error that carries one.
package code

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/samber/oops"
)

// Code is the number of a result. A number never changes its meaning.
type Code int

// Ran is whether a request ran at an upstream.
type Ran string

// The values of Ran as they appear in the Sapphire-Ran header.
const (
	RanYes     Ran = "yes"
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// The result codes, grouped by cause. Their texts in entries explain them.
const (
	OK Code = 1000

	BadRequest Code = 1101
	NoRoute    Code = 1102
	NoKey      Code = 1103
	BadID      Code = 1104
	BadToken   Code = 1105
	TooLarge   Code = 1106
	// HeadersTooLarge is for request headers that exceed the configuration's limit.
	HeadersTooLarge Code = 1107

	NotOwner     Code = 1201
	NoOwner      Code = 1202
	Moved        Code = 1203
	TokenNeeded  Code = 1204
	TokenTooOld  Code = 1205
	AlreadyRun   Code = 1206
	LeaseExpired Code = 1207

	Shed        Code = 1301
	TooLate     Code = 1302
	Quarantined Code = 1303
	RetryBudget Code = 1304
	Draining    Code = 1305
	Evacuated   Code = 1306
	Busy        Code = 1307
	NoMemory    Code = 1308

	UpstreamRefused   Code = 1401
	UpstreamFailed    Code = 1402
	Truncated         Code = 1403
	WrongAnswer       Code = 1404
	UpstreamTimeout   Code = 1405
	PeerFailed        Code = 1406
	CallerGone        Code = 1407
	UpstreamNotWarmed Code = 1408
	BodyFailed        Code = 1409
	BodyTimeout       Code = 1410
	Internal          Code = 1411
	Interrupted       Code = 1412

	PlatformDown    Code = 1501
	Conflict        Code = 1502
	WriteUnknown    Code = 1503
	PlatformTimeout Code = 1504
	ConfigOutdated  Code = 1505

	BadSettings Code = 1601
	BadSheet    Code = 1602
	BadConfig   Code = 1603
)

// Entry describes one result code.
type Entry struct {
	number Code
	name   string
	status int
	ran    Ran
	text   string
}

// Number returns the result code.
func (e Entry) Number() Code { return e.number }

// Name returns the code's short name.
func (e Entry) Name() string { return e.name }

// Status returns the HTTP status that the code is sent with.
func (e Entry) Status() int { return e.status }

// Ran returns whether a request with this result ran at an upstream.
func (e Entry) Ran() Ran { return e.ran }

// Text explains the result and, for many codes, what the caller can do.
func (e Entry) Text() string { return e.text }

// entries holds all entries in ascending order of number.
var entries = []Entry{
	{OK, "ok", http.StatusOK, RanYes, "The upstream answered; the status is the upstream's."},
	{BadRequest, "bad-request", http.StatusBadRequest, RanNo, "The request can't be parsed. Don't repeat it."},
	{NoRoute, "no-route", http.StatusNotFound, RanNo, "No route matches the path. Check the configuration."},
	{NoKey, "no-key", http.StatusBadRequest, RanNo, "The request lacks the key that its route names."},
	{BadID, "bad-id", http.StatusBadRequest, RanNo, "The request id is longer than 64 characters or not printable."},
	{BadToken, "bad-token", http.StatusBadRequest, RanNo, "The token can't be parsed. Use the one from the last answer."},
	{TooLarge, "too-large", http.StatusRequestEntityTooLarge, RanNo, "The request exceeds the route's size limit."},
	{
		HeadersTooLarge, "headers-too-large", http.StatusRequestHeaderFieldsTooLarge, RanNo,
		"The request's headers exceed the configuration's limit.",
	},
	{NotOwner, "not-owner", http.StatusMisdirectedRequest, RanNo, "This instance doesn't own the key. Repeat at another instance."},
	{NoOwner, "no-owner", http.StatusServiceUnavailable, RanNo, "No instance serves the key now. Repeat after a second."},
	{Moved, "moved", http.StatusServiceUnavailable, RanNo, "The key is being moved and the wait ended. Repeat."},
	{
		TokenNeeded, "token-needed", http.StatusPreconditionRequired, RanNo,
		"Requests of this route run at most once. Repeat with this answer's token.",
	},
	{
		TokenTooOld, "token-too-old", http.StatusConflict, RanUnknown,
		"This attempt did not run; an earlier one with the same id may have. Check before using a new id.",
	},
	{AlreadyRun, "already-run", http.StatusConflict, RanYes, "A request with this id ran before; its answer is no longer kept."},
	{LeaseExpired, "lease-expired", http.StatusGatewayTimeout, RanUnknown, "The owner lost its lease while the request ran."},
	{Shed, "shed", http.StatusTooManyRequests, RanNo, "The upstream is overloaded. Repeat after the time in Retry-After."},
	{TooLate, "too-late", http.StatusServiceUnavailable, RanNo, "The deadline passed before the request could start."},
	{Quarantined, "quarantined", http.StatusUnprocessableEntity, RanNo, "This request crashed upstreams and is refused for a time."},
	{RetryBudget, "retry-budget", http.StatusServiceUnavailable, RanNo, "The retry budget is spent. Repeat later."},
	{Draining, "draining", http.StatusServiceUnavailable, RanNo, "This instance is stopping. Repeat at another instance."},
	{
		Evacuated, "evacuated", http.StatusServiceUnavailable, RanNo,
		"The data centre of the upstream is evacuated. Repeat after the time in Retry-After.",
	},
	{Busy, "busy", http.StatusServiceUnavailable, RanNo, "Another instance is expected to answer sooner. Repeat there."},
	{NoMemory, "no-memory", http.StatusServiceUnavailable, RanNo, "No memory is free for it. Repeat after the time in Retry-After."},
	{UpstreamRefused, "upstream-refused", http.StatusBadGateway, RanNo, "The upstream refused the connection."},
	{UpstreamFailed, "upstream-failed", http.StatusBadGateway, RanUnknown, "The connection failed after the request was sent."},
	{Truncated, "truncated", http.StatusBadGateway, RanUnknown, "The upstream's answer was cut short."},
	{WrongAnswer, "wrong-answer", http.StatusBadGateway, RanUnknown, "The answer belongs to another request and was discarded."},
	{UpstreamTimeout, "upstream-timeout", http.StatusGatewayTimeout, RanUnknown, "The upstream did not answer before the deadline."},
	{PeerFailed, "peer-failed", http.StatusBadGateway, RanUnknown, "The connection to the owner failed after the request was sent."},
	// Status 499 isn't in RFC 9110; nginx introduced it for this case.
	{CallerGone, "caller-gone", 499, RanUnknown, "The caller closed the connection before the answer."},
	{UpstreamNotWarmed, "upstream-not-warmed", http.StatusServiceUnavailable, RanNo, "The upstream isn't ready after a cold start."},
	{BodyFailed, "body-failed", http.StatusBadRequest, RanUnknown, "The request body ended early or grew too large while it was sent."},
	{BodyTimeout, "body-timeout", http.StatusRequestTimeout, RanNo, "The request body did not arrive in time. Repeat."},
	{Internal, "internal", http.StatusBadGateway, RanUnknown, "The instance failed because of a defect. Its log has the details."},
	{Interrupted, "interrupted", http.StatusBadGateway, RanUnknown, "The instance stopped while the request ran."},
	{PlatformDown, "platform-down", http.StatusServiceUnavailable, RanNo, "The platform is unavailable; nothing was accepted."},
	{Conflict, "conflict", http.StatusConflict, RanNo, "Someone else changed this first; the answer says what. Nothing was accepted."},
	{
		WriteUnknown, "write-unknown", http.StatusGatewayTimeout, RanUnknown,
		"The write's answer was lost and can't be read back. Check the status.",
	},
	{PlatformTimeout, "platform-timeout", http.StatusGatewayTimeout, RanUnknown, "The platform did not answer in time."},
	{
		ConfigOutdated, "config-outdated", http.StatusServiceUnavailable, RanNo,
		"No route matches, but this instance may lack a newer configuration. Repeat after the time in Retry-After.",
	},
	{BadSettings, "bad-settings", http.StatusBadRequest, RanNo, "The settings are refused; each fault has its line and column."},
	{BadSheet, "bad-sheet", http.StatusBadRequest, RanNo, "The sheet is refused whole; each fault has its line and column."},
	{BadConfig, "bad-config", http.StatusBadRequest, RanNo, "The configuration is refused; the previous one stays in effect."},
}

var byNumber = func() map[Code]Entry {
	index := make(map[Code]Entry, len(entries))
	for _, e := range entries {
		index[e.number] = e
	}
	return index
}()

// All returns every entry in ascending order of number.
func All() []Entry { return append([]Entry(nil), entries...) }

// Lookup returns the entry of a code, and false if the code is unknown.
func Lookup(c Code) (Entry, bool) {
	e, ok := byNumber[c]
	return e, ok
}

// Entry returns the code's entry; it is zero for an unknown number.
func (c Code) Entry() Entry { return byNumber[c] }

// String returns the number and the name, such as "1202 no-owner".
func (c Code) String() string { return fmt.Sprintf("%d %s", int(c), byNumber[c].name) }

// New returns an error that carries the code and a formatted message.
func New(c Code, format string, args ...any) error {
	return oops.Code(c).Errorf(format, args...)
}

// Wrap returns an error that carries the code, wraps err and puts a formatted message before its text.
func Wrap(c Code, err error, format string, args ...any) error {
	return oops.Code(c).Wrapf(err, format, args...)
}

// Of returns the code that err carries. It returns false if err is nil or carries none.
func Of(err error) (Code, bool) {
	var carrier oops.OopsError
	if !errors.As(err, &carrier) {
		return 0, false
	}
	c, ok := carrier.Code().(Code)
	return c, ok
}
