// Package httplimit bounds the memory that HTTP clients and servers spend on the messages of programs that may be faulty.
package httplimit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/sync/semaphore"
)

const (
	// MaxHeadBytes bounds the heads of the responses to one request, interim ones included. Browsers, too, accept up to 256 KiB.
	MaxHeadBytes = 256 << 10
	// SmallBytes is the size up to which a body is read without a reservation of Memory. Most bodies are smaller.
	SmallBytes = 64 << 10
	// mediumBytes is the size up to which a body isn't delayed by larger ones.
	mediumBytes = 1 << 20
	// growthFactor is the memory that a body of unknown length takes while it is read, as a multiple of its size.
	growthFactor = 2
)

// ErrTooLarge means that a body exceeds its limit. The rest of it isn't read.
var ErrTooLarge = errors.New("the body is too large")

// Memory bounds the bodies above SmallBytes that are read at the same time. Further ones wait, but those of up to 1 MiB not for larger
// ones. Create it with NewMemory.
type Memory struct {
	medium, large *semaphore.Weighted
	size          int64
}

// NewMemory returns a Memory with size bytes for bodies above 1 MiB, and half of that for those of up to 1 MiB.
func NewMemory(size int64) *Memory {
	return &Memory{medium: semaphore.NewWeighted(size / 2), large: semaphore.NewWeighted(size), size: size}
}

// acquire waits until a number of bytes may be held, or ctx ends. release returns them.
func (m *Memory) acquire(ctx context.Context, size int64) (release func(), err error) {
	reserved, of := min(size, m.size), m.large
	if size <= growthFactor*mediumBytes {
		reserved, of = min(size, m.size/2), m.medium
	}
	if err := of.Acquire(ctx, reserved); err != nil {
		return nil, fmt.Errorf("wait to read a large body: %w", err)
	}
	return func() { of.Release(reserved) }, nil
}

// Limit is the limit of the body of a response or a request. The zero value refuses all bodies but empty ones.
type Limit struct {
	// Max is the largest size of a body in bytes.
	Max int64
	// Memory bounds the bodies that are read at the same time, and each element of it at all levels: for example, those of one server and
	// those of all servers.
	Memory []*Memory
}

// Apply makes the body of a response fail with ErrTooLarge once it exceeds the limit. Reading more than SmallBytes of the body waits
// until the Memory has room, or ctx ends; the room is returned when the body is closed. If the length in the head exceeds the limit, Apply
// closes the body and returns ErrTooLarge.
func (l Limit) Apply(ctx context.Context, response *http.Response) error {
	if response.Body == nil || response.Body == http.NoBody {
		return nil
	}
	if response.ContentLength > l.Max {
		_ = response.Body.Close()
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, response.ContentLength, l.Max)
	}
	response.Body = l.body(ctx, response.Body, response.ContentLength)
	return nil
}

// ReadAll applies the limit to a response, reads its body and closes it.
func (l Limit) ReadAll(ctx context.Context, response *http.Response) ([]byte, error) {
	if err := l.Apply(ctx, response); err != nil {
		return nil, err
	}
	return ReadAll(response)
}

// ReadAll reads the body of a response to which a limit was applied and closes it.
func ReadAll(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	return readAll(response.Body)
}

// ReadRequest reads the body of a request to which a limit was applied.
func ReadRequest(r *http.Request) ([]byte, error) { return readAll(r.Body) }

// readAll reads a body into a buffer of its length, if that is known.
func readAll(reader io.Reader) ([]byte, error) {
	limited, ok := reader.(*body)
	if !ok || limited.length <= 0 {
		return io.ReadAll(reader)
	}
	if limited.length > limited.allowed {
		if err := limited.reserve(); err != nil {
			return nil, err
		}
	}
	var content bytes.Buffer
	// ReadFrom doubles a buffer that has less than MinRead bytes left.
	content.Grow(int(limited.length) + bytes.MinRead)
	_, err := content.ReadFrom(limited)
	return content.Bytes(), err
}

// Handler returns a handler that applies the limit to the bodies of requests, which the memory bounds until next returns.
func (l Limit) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > l.Max {
			http.Error(w, fmt.Sprintf("the request body has %d bytes, limit %d", r.ContentLength, l.Max), http.StatusRequestEntityTooLarge)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			limited := l.body(r.Context(), r.Body, r.ContentLength)
			defer func() { _ = limited.Close() }()
			r.Body = limited
		}
		next.ServeHTTP(w, r)
	})
}

func (l Limit) body(ctx context.Context, reader io.ReadCloser, length int64) *body {
	return &body{ReadCloser: reader, ctx: ctx, limit: l, length: length, allowed: min(SmallBytes, l.Max)}
}

// body is the body of a request or a response with a limit.
type body struct {
	io.ReadCloser
	ctx   context.Context //nolint:containedctx // It bounds the wait for memory while the body is read.
	limit Limit
	// length is the length in the head, or negative if there is none.
	length int64
	// read is the number of bytes that were read, and allowed the number of those that may be read without a further reservation.
	read, allowed int64
	releases      []func()
	err           error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if len(p) == 0 || b.err != nil {
		return 0, b.err
	}
	if b.read == b.allowed {
		if b.err = b.extend(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.allowed-b.read)])
	b.read += int64(n)
	if err != nil {
		b.err = err
	}
	return n, err
}

// extend allows further bytes to be read. It returns io.EOF if there are none.
func (b *body) extend() error {
	if b.allowed == b.limit.Max || b.length > 0 && b.read >= b.length {
		var next [1]byte
		if _, err := io.ReadFull(b.ReadCloser, next[:]); err != nil {
			return err
		}
		return fmt.Errorf("%w: more than %d bytes", ErrTooLarge, b.read)
	}
	return b.reserve()
}

// reserve allows the bytes of the whole body to be read, or, if its length isn't known, those up to the next level.
func (b *body) reserve() error {
	size, allowed := b.length, b.length
	if b.length <= b.allowed {
		// The length isn't known.
		allowed = b.limit.Max
		if b.allowed < mediumBytes {
			allowed = min(allowed, mediumBytes)
		}
		size = growthFactor * allowed
	}
	if size > SmallBytes {
		for _, m := range b.limit.Memory {
			release, err := m.acquire(b.ctx, size)
			if err != nil {
				return err
			}
			b.releases = append(b.releases, release)
		}
	}
	b.allowed = allowed
	return nil
}

// Close closes the body and releases its memory.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	for _, release := range b.releases {
		release()
	}
	b.releases = nil
	return err
}

// NewTransport returns a transport like http.DefaultTransport that bounds the heads of responses by MaxHeadBytes.
func NewTransport() *http.Transport {
	transport := &http.Transport{}
	if standard, ok := http.DefaultTransport.(*http.Transport); ok {
		transport = standard.Clone()
	}
	transport.MaxResponseHeaderBytes = MaxHeadBytes
	return transport
}

// Transport applies limits to the responses of a client that reads whole bodies, such as a generated one.
type Transport struct {
	Base http.RoundTripper
	// Limit returns the limit of a response.
	Limit func(request *http.Request, response *http.Response) Limit
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := t.Limit(request, response).Apply(request.Context(), response); err != nil {
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
