// Package table is a client of the platform's transactional table service.
package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"sapphiretray/code"
	"sapphiretray/httplimit"
)

// DefaultTimeout bounds one call to the table service.
const DefaultTimeout = time.Second

// MaxResponseBytes bounds the body of a response, which holds at most all rows of the table.
const MaxResponseBytes = 64 << 20

// Row is one row of the table. Version 0 means that the row doesn't exist.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition requires that a row has a version when a transaction commits.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Transaction is a set of writes that is applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// ConflictError is the error of a transaction that had no effect because rows had other versions than its conditions require.
type ConflictError struct {
	rows []Row
}

// Rows returns the current state of the rows that had other versions.
func (e *ConflictError) Rows() []Row { return e.rows }

// Error returns a text that names the first of the rows.
func (e *ConflictError) Error() string {
	if len(e.rows) == 0 {
		return "the transaction conflicts with another one"
	}
	return "row " + e.rows[0].Key + " was changed by another writer"
}

// Client calls the table service at a base URL.
type Client struct {
	base   string
	client *http.Client
	// memory bounds the large responses that are read at the same time.
	memory *httplimit.Memory
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call, which is DefaultTimeout otherwise.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.client.Timeout = d }
}

// WithTransport sets the transport of the calls.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.client.Transport = transport }
}

// New returns a client for the service at base, such as "http://127.0.0.1:9000".
func New(base string, options ...Option) *Client {
	c := &Client{
		base: base, client: &http.Client{Timeout: DefaultTimeout, Transport: httplimit.NewTransport()},
		memory: httplimit.NewMemory(MaxResponseBytes),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Get returns the row with a key. A row that doesn't exist has version 0. Errors carry code.PlatformDown.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	row := Row{Key: key}
	status, body, err := c.call(ctx, http.MethodGet, "/v1/rows/"+url.PathEscape(key), nil)
	switch {
	case err != nil:
		return row, err
	case status == http.StatusNotFound:
		return row, nil
	case status != http.StatusOK:
		return row, code.New(code.PlatformDown, "table service responded with status %d", status)
	}
	return row, decode(body, &row)
}

// List returns all rows whose key starts with prefix, sorted by key. Errors carry code.PlatformDown.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/v1/rows?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, code.New(code.PlatformDown, "table service responded with status %d", status)
	}
	var response struct {
		Rows []Row `json:"rows"`
	}
	return response.Rows, decode(body, &response)
}

// Commit runs a transaction and returns the written rows with their new versions. If a condition fails, the error wraps
// *ConflictError and has code.Conflict. An error with code.PlatformDown means that the transaction had no effect, and one with
// code.WriteUnknown that it may have taken effect.
func (c *Client) Commit(ctx context.Context, transaction Transaction) ([]Row, error) {
	request, err := json.Marshal(transaction)
	if err != nil {
		return nil, code.Wrap(code.BadRequest, err, "encode transaction")
	}
	status, body, err := c.call(ctx, http.MethodPost, "/v1/transact", request)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK:
		var response struct {
			Rows []Row `json:"rows"`
		}
		// The transaction took effect, so a malformed response must not be reported as a refusal.
		if err := json.Unmarshal(body, &response); err != nil {
			return nil, code.Wrap(code.WriteUnknown, err, "response of the table service")
		}
		return response.Rows, nil
	case http.StatusConflict:
		var response struct {
			Conflicts []Row `json:"conflicts"`
		}
		if err := decode(body, &response); err != nil {
			return nil, err
		}
		return nil, code.Wrap(code.Conflict, &ConflictError{rows: response.Conflicts}, "commit")
	case http.StatusServiceUnavailable:
		return nil, code.New(code.PlatformDown, "table service is unavailable")
	default:
		return nil, code.New(code.WriteUnknown, "table service responded with status %d", status)
	}
}

// call sends a request to the table service and returns the status and the body of the response.
func (c *Client) call(ctx context.Context, method, path string, request []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(request))
	if err != nil {
		return 0, nil, code.Wrap(code.BadRequest, err, "table service request")
	}
	resp, err := c.client.Do(req) //nolint:bodyclose // Limit.ReadAll closes the body.
	if err != nil {
		// If the call's connection is dead without a reset, those that were idle meanwhile may be as well.
		c.client.CloseIdleConnections()
		return 0, nil, code.Wrap(failureCode(method, err), err, "table service call")
	}
	body, err := httplimit.Limit{Max: MaxResponseBytes, Memory: []*httplimit.Memory{c.memory}}.ReadAll(ctx, resp)
	if err != nil {
		return 0, nil, code.Wrap(failureCode(method, err), err, "response of the table service")
	}
	return resp.StatusCode, body, nil
}

// failureCode returns the code of a call to which no whole response arrived. A write may have taken effect unless the connection could
// not be opened.
func failureCode(method string, err error) code.Code {
	var operation *net.OpError
	connected := !errors.As(err, &operation) || operation.Op != "dial"
	if method == http.MethodPost && connected {
		return code.WriteUnknown
	}
	return code.PlatformDown
}

// decode parses the body of a response.
func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return code.Wrap(code.PlatformDown, err, "response of the table service")
	}
	return nil
}
