// Package object is a client of the platform's object store.
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"sapphiretray/code"
	"sapphiretray/httplimit"
)

// DefaultTimeout bounds one call to the object store.
const DefaultTimeout = 5 * time.Second

// maxObjectBytes bounds the content that is read of an object. The largest ones are sheets, of up to 64 MiB.
const maxObjectBytes = 64 << 20

// ErrNotFound means that there is no object with the requested name.
var ErrNotFound = errors.New("object not found")

// Client calls the object store at a base URL. Create it with New.
type Client struct {
	base   string
	client *http.Client
	// memory bounds the large objects that are read at the same time.
	memory *httplimit.Memory
}

// Option configures a Client.
type Option func(*Client)

// WithTransport sets the transport of the calls.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.client.Transport = transport }
}

// New returns a client for the store at base, such as "http://127.0.0.1:9000".
func New(base string, options ...Option) *Client {
	c := &Client{
		base: base, client: &http.Client{Timeout: DefaultTimeout, Transport: httplimit.NewTransport()},
		memory: httplimit.NewMemory(maxObjectBytes),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Put creates an object. Objects are immutable: putting the same content again succeeds, other content yields code.Conflict. An
// unexpected status of the object store yields code.PlatformDown, and a lost response code.WriteUnknown, which means that the object may
// have been created.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	status, _, err := c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), content)
	if err != nil {
		return code.Wrap(code.WriteUnknown, err, "put object %s", name)
	}
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusPreconditionFailed:
		return c.compare(ctx, name, content)
	default:
		return code.New(code.PlatformDown, "object store responded with status %d", status)
	}
}

// compare returns an error with code.Conflict if an object has other content.
func (c *Client) compare(ctx context.Context, name string, content []byte) error {
	stored, err := c.Get(ctx, name)
	if err != nil {
		return err
	}
	if !bytes.Equal(stored, content) {
		return code.New(code.Conflict, "object %s exists with other content", name)
	}
	return nil
}

// Get returns an object's content. The error wraps ErrNotFound and carries code.BadRequest if there is no such object; other errors
// carry code.PlatformDown.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
	switch {
	case err != nil:
		return nil, code.Wrap(code.PlatformDown, err, "get object %s", name)
	case status == http.StatusNotFound:
		return nil, code.Wrap(code.BadRequest, ErrNotFound, "get object %s", name)
	case status != http.StatusOK:
		return nil, code.New(code.PlatformDown, "object store responded with status %d", status)
	}
	return body, nil
}

// List returns the sorted names of all objects that start with prefix. Errors carry code.PlatformDown.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	status, body, err := c.call(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil)
	if err != nil || status != http.StatusOK {
		return nil, code.New(code.PlatformDown, "list objects: status %d: %v", status, err)
	}
	var response struct {
		Names []string `json:"names"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, code.Wrap(code.PlatformDown, err, "response of the object store")
	}
	return response.Names, nil
}

// call sends a request to the object store and returns the status and the body of the response.
func (c *Client) call(ctx context.Context, method, path string, content []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.client.Do(req) //nolint:bodyclose // Limit.ReadAll closes the body.
	if err != nil {
		// If the call's connection is dead without a reset, those that were idle meanwhile may be as well.
		c.client.CloseIdleConnections()
		return 0, nil, err
	}
	body, err := httplimit.Limit{Max: maxObjectBytes, Memory: []*httplimit.Memory{c.memory}}.ReadAll(ctx, resp)
	return resp.StatusCode, body, err
}
